"""The times after which an unseen member is unresponsive, then lost."""

import attrs
from attrs import validators as v


@attrs.frozen
class MembershipTiming:
    """Times in seconds.

    A member that was seen before is unresponsive after ``suspect_after_s`` without any
    heartbeat or response and lost after ``lost_after_s``. A member that was only
    listed is lost once the list has not shown it for ``lost_after_s``.
    """

    suspect_after_s: float = attrs.field(default=2.0, validator=v.gt(0))
    lost_after_s: float = attrs.field(default=6.0, validator=v.gt(0))

    def __attrs_post_init__(self) -> None:
        if self.lost_after_s < self.suspect_after_s:
            raise ValueError("lost_after_s must not be below suspect_after_s")
