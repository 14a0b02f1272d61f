"""The state of one stream that admission knows."""

from enum import Enum

import attrs

from ..model import Priority
from ._messages import StreamOffered


class Phase(Enum):
    """Where a stream is between its offer and its end."""

    WAITING = "waiting"
    READING = "reading"
    DECODING = "decoding"
    PREEMPTED = "taken_back"


@attrs.define(eq=False)
class Stream:
    """A stream with its progress; times are on the clock of ``now``.

    ``read_tokens`` estimates what the engine has to read before the next token.
    ``steps_at_start`` is the number of engine steps seen when it was started. While
    an online stream is read, at most ``max_batch`` batch streams run; while one that
    is protected is read, no batch prompt is.
    """

    offer: StreamOffered
    read_tokens: float
    phase: Phase = Phase.WAITING
    tokens: int = 0
    changed_at: float = 0.0
    last_token_at: float = 0.0
    steps_at_start: int = 0
    read_alone: bool = True
    max_batch: float = float("inf")
    is_protected: bool = False
    started_at: float = 0.0

    @property
    def stream_id(self) -> str:
        """The stream's name."""
        return self.offer.stream_id

    @property
    def is_online(self) -> bool:
        """Tells whether a caller is waiting for the stream."""
        return self.offer.priority is Priority.ONLINE

    @property
    def held_tokens(self) -> int:
        """The tokens that would be read again if the engine forgot the stream."""
        return self.offer.prompt_tokens + self.tokens

    @property
    def tokens_left(self) -> int:
        """The tokens still to be read and produced at most."""
        output = max(0, self.offer.max_tokens - self.tokens)
        reading = self.phase is not Phase.DECODING
        return output + (int(self.read_tokens) if reading else 0)
