"""Faults that can be injected into the log stand-in."""

import attrs
from attrs import validators as v


@attrs.frozen
class LogFaults:
    """The faults that are injected.

    With ``is_down`` all operations are refused. ``delay_s`` seconds pass before each
    response. The next ``lost_answers`` appends are applied but get no response. Of the
    appends after these, a share ``lost_answer_rate`` gets none either. A share
    ``refusal_rate`` of all operations is refused and not applied. Shares are from 0 to
    1.
    """

    is_down: bool = attrs.field(default=False, validator=v.instance_of(bool))
    delay_s: float = attrs.field(default=0.0, validator=v.ge(0))
    lost_answer_rate: float = attrs.field(default=0.0, validator=[v.ge(0), v.le(1)])
    lost_answers: int = attrs.field(default=0, validator=v.ge(0))
    refusal_rate: float = attrs.field(default=0.0, validator=[v.ge(0), v.le(1)])
