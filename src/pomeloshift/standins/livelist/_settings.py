"""Settings of the live list's stand-in."""

import attrs
from attrs import validators as v

from ...model import Instance


@attrs.frozen
class ListSettings:
    """Where the stand-in listens, what it lists at first, and its lag in seconds."""

    host: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=[v.ge(0), v.le(65535)])
    lag_s: float = attrs.field(default=1.0, validator=v.ge(0))
    instances: tuple[Instance, ...] = ()
