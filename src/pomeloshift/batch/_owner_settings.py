"""Settings of a partition's owner."""

import attrs
from attrs import validators as v


@attrs.frozen
class OwnerSettings:
    """How items are leased; times are in seconds.

    A lease that its holder does not renew expires after ``lease_s``. An item is retried
    after ``retry_delay_s``, and fails once ``max_tries`` of its runs ended with a
    transient error. An item that was running when a backend server was lost is not
    leased again for ``suspect_delay_s``, in which the loss can be confirmed. A run gets
    at least ``shortest_run_s``, even if its job is almost due. ``resume_bytes`` bounds
    the total size of resume tokens, and ``remembered_pulls`` the number of sidecars
    whose pulls and crash reports are remembered.
    """

    lease_s: float = attrs.field(default=30.0, validator=v.gt(0))
    max_tries: int = attrs.field(default=8, validator=v.ge(1))
    retry_delay_s: float = attrs.field(default=1.0, validator=v.ge(0))
    suspect_delay_s: float = attrs.field(default=2.0, validator=v.ge(0))
    shortest_run_s: float = attrs.field(default=600.0, validator=v.gt(0))
    resume_bytes: int = attrs.field(default=4_194_304, validator=v.ge(0))
    remembered_pulls: int = attrs.field(default=4096, validator=v.ge(1))
