"""The settings by which an entry runs a request."""

import attrs
from attrs import validators as v


@attrs.frozen
class OnlineConfig:
    """Time limits in seconds and bounds on retries.

    A sidecar that has not acknowledged within ``accept_timeout_s``, or has sent
    nothing for ``stall_s``, is called again over a new connection, at most
    ``max_reconnects`` times without an acknowledgement. A caller that takes nothing
    for ``caller_stall_s`` is given up. A suspect waits ``spread_s`` before each run,
    the time in which entries tell each other of crashes.
    """

    accept_timeout_s: float = attrs.field(default=1.0, validator=v.gt(0))
    stall_s: float = attrs.field(default=3.0, validator=v.gt(0))
    idle_limit_s: float = attrs.field(default=30.0, validator=v.gt(0))
    caller_stall_s: float = attrs.field(default=30.0, validator=v.gt(0))
    max_reconnects: int = attrs.field(default=2, validator=v.ge(1))
    max_retries: int = attrs.field(default=3, validator=v.ge(0))
    backoff_s: float = attrs.field(default=0.05, validator=v.gt(0))
    max_backoff_s: float = attrs.field(default=1.0, validator=v.gt(0))
    spread_s: float = attrs.field(default=0.6, validator=v.gt(0))
    suspect_wait_s: float = attrs.field(default=0.1, validator=v.gt(0))
    retry_after_s: float = attrs.field(default=1.0, validator=v.gt(0))
