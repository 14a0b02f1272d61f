"""Settings of an entry instance."""

import attrs
from attrs import validators as v

from ..model import Place
from ._field import port_setting, setting, url_setting
from ._log_level import LogLevel

MIN_KEY_LENGTH = 16


@attrs.frozen
class EntrySettings:
    """The settings of one entry, fixed from its start.

    Times are in seconds. Values that can change while the fleet runs are in the
    configuration instead.
    """

    name: str = setting("unique name of this instance", validator=v.min_len(1))
    place: Place = setting("region and availability zone of this instance")
    log_url: str = url_setting("URL of the platform's log service")
    list_url: str = url_setting("URL of the platform's instance list")
    internal_key: str = setting(
        "secret that all processes of the system share, at least 16 characters",
        validator=v.min_len(MIN_KEY_LENGTH),
    )
    host: str = setting(
        "IP address to listen on", default="127.0.0.1", validator=v.min_len(1)
    )
    port: int = port_setting("port of the HTTP interface for callers", default=8080)
    control_port: int = port_setting("port of the control interface", default=8081)
    advertised_host: str = setting(
        "IP address that other instances connect to; empty for ``host``", default=""
    )
    partitions: int = setting(
        "number of partitions of batch jobs, the same on every entry, 1 to 4096",
        default=64,
        validator=[v.ge(1), v.le(4096)],
    )
    heartbeat_interval_s: float = setting(
        "time between heartbeats of idle connections, above 0",
        default=0.5,
        validator=v.gt(0),
    )
    log_retention_s: float = setting(
        "time for which the log service retains records, above 0",
        default=86400.0,
        validator=v.gt(0),
    )
    config_poll_s: float = setting(
        "time between reads of the configuration stream, above 0",
        default=0.5,
        validator=v.gt(0),
    )
    drain_linger_s: float = setting(
        "time to keep accepting requests after readiness is withdrawn, 0 or more",
        default=3.0,
        validator=v.ge(0),
    )
    drain_limit_s: float = setting(
        "longest time that a planned stop waits for open requests, 0 or more",
        default=120.0,
        validator=v.ge(0),
    )
    log_level: LogLevel = setting(
        "least severe level to log: DEBUG, INFO, WARNING or ERROR",
        default=LogLevel.INFO,
    )

    @property
    def reachable_host(self) -> str:
        """The IP address that other instances connect to."""
        return self.advertised_host or self.host
