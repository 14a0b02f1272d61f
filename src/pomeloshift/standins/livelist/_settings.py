"""Settings of the instance list's stand-in."""

import attrs
from attrs import validators as v

from ...model import Instance


@attrs.frozen
class ListSettings:
    """The address, the instances listed at the start, and the lag in seconds."""

    host: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=[v.ge(0), v.le(65535)])
    lag_s: float = attrs.field(default=1.0, validator=v.ge(0))
    instances: tuple[Instance, ...] = ()
