"""Settings of the log stand-in."""

import attrs
from attrs import validators as v


@attrs.frozen
class LogSettings:
    """The address and the limits of the log service.

    ``appends_per_s`` is the rate limit over all streams, and ``burst`` the number of
    appends that may come at once. A record expires at the age of ``retention_s``
    seconds, or when its stream holds more than ``max_records`` records. A page has at
    most ``max_page_bytes`` bytes of payload, or one record if that is larger.
    """

    host: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=[v.ge(0), v.le(65535)])
    appends_per_s: float = attrs.field(default=300.0, validator=v.gt(0))
    burst: float = attrs.field(default=60.0, validator=v.ge(1))
    retention_s: float = attrs.field(default=86400.0, validator=v.gt(0))
    max_records: int = attrs.field(default=10_000_000, validator=v.ge(1))
    max_page_bytes: int = attrs.field(default=4_194_304, validator=v.ge(1))
