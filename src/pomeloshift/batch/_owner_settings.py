"""Settings of a partition's owner."""

import attrs
from attrs import validators as v


@attrs.frozen
class OwnerSettings:
    """How items are leased; times are in seconds.

    A lease that its holder does not renew runs out after ``lease_s``. An item that
    came back ``max_tries`` times with an error that may pass fails.
    A struck item is not leased again for ``suspect_delay_s``, in which the loss of
    the backend server can be confirmed.
    """

    lease_s: float = attrs.field(default=30.0, validator=v.gt(0))
    max_tries: int = attrs.field(default=8, validator=v.ge(1))
    retry_delay_s: float = attrs.field(default=1.0, validator=v.ge(0))
    suspect_delay_s: float = attrs.field(default=2.0, validator=v.ge(0))
    shortest_run_s: float = attrs.field(default=600.0, validator=v.gt(0))
    resume_bytes: int = attrs.field(default=4_194_304, validator=v.ge(0))
    remembered_pulls: int = attrs.field(default=4096, validator=v.ge(1))
