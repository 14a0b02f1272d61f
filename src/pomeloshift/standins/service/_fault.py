"""How calls of the plain service's stand-in go wrong."""

from enum import Enum


class ServiceFault(Enum):
    """What happens to the calls that follow.

    ``FAIL`` answers 500 without running the call. ``LOSE_ANSWER`` runs the call and
    closes the connection. ``HANG`` runs the call and never answers.
    """

    NONE = "none"
    FAIL = "fail"
    LOSE_ANSWER = "lose_answer"
    HANG = "hang"
