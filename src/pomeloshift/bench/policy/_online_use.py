"""The online work of a run, in windows of one target step."""

from collections import Counter

import attrs


@attrs.define
class OnlineUse:
    """Output tokens, prefilled tokens and the peak of online streams in each window.

    ``window_s`` is the target for the time between tokens, in seconds.
    """

    window_s: float
    tokens: Counter[int] = attrs.field(factory=Counter)
    prefill_tokens: Counter[int] = attrs.field(factory=Counter)
    streams: dict[int, int] = attrs.field(factory=dict)

    def add(self, at: float, tokens: int, prefill_tokens: int, streams: int) -> None:
        """Adds one engine step that ended at ``at``."""
        window = int(at / self.window_s)
        self.tokens[window] += tokens
        self.prefill_tokens[window] += prefill_tokens
        self.streams[window] = max(streams, self.streams.get(window, 0))
