"""Settings of the plain service's stand-in."""

import attrs
from attrs import validators as v


@attrs.frozen
class ServiceSettings:
    """The address, and the delay before each response in seconds."""

    host: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=[v.ge(0), v.le(65535)])
    delay_s: float = attrs.field(default=0.0, validator=v.ge(0))
