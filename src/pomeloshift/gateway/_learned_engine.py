"""What is learned of one engine, as it is logged and measured."""

import attrs


@attrs.frozen
class LearnedEngine:
    """What is learned of one engine; times are in seconds.

    ``start_s`` and ``gap_s`` are the expected times to the first event and between
    events at half of the slots, ``requests`` the number with which streams are in time.
    ``evidence`` is the weight of recent measurements, in samples, and ``age_s`` the
    time since the last one, -1 if there is none.
    """

    engine: str
    incarnation: int
    start_s: float
    gap_s: float
    requests: int
    slowdown: float
    is_cold: bool
    evidence: float
    age_s: float
