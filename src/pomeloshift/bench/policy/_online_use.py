"""The online work of a run, in windows of one target step."""

from collections import Counter

import attrs


@attrs.define
class OnlineUse:
    """Online tokens, prompt tokens read and most streams in each window.

    A window is as long as the target between tokens, in seconds.
    """

    window_s: float
    tokens: Counter[int] = attrs.field(factory=Counter)
    read_tokens: Counter[int] = attrs.field(factory=Counter)
    streams: dict[int, int] = attrs.field(factory=dict)

    def add(self, at: float, tokens: int, read_tokens: int, streams: int) -> None:
        """Adds one engine step that ended at ``at``."""
        window = int(at / self.window_s)
        self.tokens[window] += tokens
        self.read_tokens[window] += read_tokens
        self.streams[window] = max(streams, self.streams.get(window, 0))
