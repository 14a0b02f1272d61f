"""The time and retry limits of an online request."""

import attrs
from attrs import validators as v


@attrs.frozen
class OnlineConfig:
    """Time limits in seconds and bounds on retries.

    The entry reconnects to a sidecar that has not acknowledged within
    ``accept_timeout_s`` or has sent nothing for ``stall_s``, at most
    ``max_reconnects`` times without an acknowledgement. Each delivered chunk moves
    the deadline to at least ``idle_limit_s`` later. A request is cancelled when its
    caller reads nothing for ``caller_stall_s``. A suspect waits ``propagation_s``
    before each run, the time that crash records take to reach all entries.
    """

    accept_timeout_s: float = attrs.field(default=1.0, validator=v.gt(0))
    stall_s: float = attrs.field(default=3.0, validator=v.gt(0))
    idle_limit_s: float = attrs.field(default=30.0, validator=v.gt(0))
    caller_stall_s: float = attrs.field(default=30.0, validator=v.gt(0))
    max_reconnects: int = attrs.field(default=2, validator=v.ge(1))
    max_retries: int = attrs.field(default=3, validator=v.ge(0))
    backoff_s: float = attrs.field(default=0.05, validator=v.gt(0))
    max_backoff_s: float = attrs.field(default=1.0, validator=v.gt(0))
    propagation_s: float = attrs.field(default=0.6, validator=v.gt(0))
    suspect_wait_s: float = attrs.field(default=0.1, validator=v.gt(0))
    retry_after_s: float = attrs.field(default=1.0, validator=v.gt(0))
