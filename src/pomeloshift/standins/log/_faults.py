"""Faults that the log stand-in shows on demand."""

import attrs
from attrs import validators as v


@attrs.frozen
class LogFaults:
    """Which faults are switched on.

    ``delay_s`` seconds pass before each answer. A share ``lost_answer_rate`` of
    appends, and the next ``lost_answers`` of them, take effect without an answer.
    A share ``refusal_rate`` of all operations is refused without effect.
    """

    is_down: bool = attrs.field(default=False, validator=v.instance_of(bool))
    delay_s: float = attrs.field(default=0.0, validator=v.ge(0))
    lost_answer_rate: float = attrs.field(default=0.0, validator=[v.ge(0), v.le(1)])
    lost_answers: int = attrs.field(default=0, validator=v.ge(0))
    refusal_rate: float = attrs.field(default=0.0, validator=[v.ge(0), v.le(1)])
