"""Faults that can be injected into the plain service's stand-in."""

from enum import Enum


class ServiceFault(Enum):
    """The fault of the calls that follow.

    ``FAIL`` responds with 500 and does not run the call. ``LOSE_ANSWER`` runs the
    call and aborts the connection. ``HANG`` runs the call and never responds.
    """

    NONE = "none"
    FAIL = "fail"
    LOSE_ANSWER = "lose_answer"
    HANG = "hang"
