"""The state of one stream in admission."""

from enum import Enum

import attrs

from ..model import Priority
from ._messages import StreamOffered


class Phase(Enum):
    """The phase of a stream between its offer and its end."""

    WAITING = "waiting"
    PREFILL = "reading"
    DECODING = "decoding"
    PREEMPTED = "taken_back"


@attrs.define(eq=False)
class Stream:
    """A stream with its progress; times are monotonic seconds of the caller.

    ``prefill_tokens`` estimates how many tokens the engine has to prefill before the
    next token, and ``tokens`` counts the generated ones. ``changed_at`` is when the
    phase changed. ``steps_at_start`` is the engine's step count when the stream was
    started, and ``is_sole_prefill`` is set while no other prompt shared its prefill.
    While an online stream is in prefill, at most ``batch_cap`` batch streams run; if
    the online stream is protected, no batch prompt is in prefill.
    """

    offer: StreamOffered
    prefill_tokens: float
    phase: Phase = Phase.WAITING
    tokens: int = 0
    changed_at: float = 0.0
    last_token_at: float = 0.0
    steps_at_start: int = 0
    is_sole_prefill: bool = True
    batch_cap: float = float("inf")
    is_protected: bool = False
    started_at: float = 0.0

    @property
    def stream_id(self) -> str:
        """The id that the stream was offered with."""
        return self.offer.stream_id

    @property
    def is_online(self) -> bool:
        """Whether a caller is waiting for the stream."""
        return self.offer.priority is Priority.ONLINE

    @property
    def context_tokens(self) -> int:
        """The number of prompt and generated tokens.

        A resumed stream prefills all of them if they are no longer cached.
        """
        return self.offer.prompt_tokens + self.tokens

    @property
    def tokens_left(self) -> int:
        """The largest number of tokens still to be prefilled and generated."""
        output = max(0, self.offer.max_tokens - self.tokens)
        prefilling = self.phase is not Phase.DECODING
        return output + (int(self.prefill_tokens) if prefilling else 0)
