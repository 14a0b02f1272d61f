"""Settings of a sidecar, the process beside a backend server."""

import attrs
from attrs import validators as v

from ..config import ServiceKind
from ..model import Place
from ._entry import MIN_KEY_LENGTH
from ._field import port_setting, setting, url_setting
from ._log_level import LogLevel


@attrs.frozen
class EngineAddress:
    """One engine of the backend server."""

    name: str = setting("unique name of the engine", validator=v.min_len(1))
    url: str = url_setting("URL of the engine's HTTP interface")


@attrs.frozen
class SidecarSettings:
    """The settings of one sidecar, fixed from its start; times are in seconds."""

    name: str = setting("unique name of this backend server", validator=v.min_len(1))
    place: Place = setting("region and availability zone of this backend server")
    service: str = setting("name of the service that it runs", validator=v.min_len(1))
    engines: tuple[EngineAddress, ...] = setting(
        "the engines of this backend server, at least one", validator=v.min_len(1)
    )
    list_url: str = url_setting("URL of the platform's instance list")
    internal_key: str = setting(
        "secret that all processes of the system share, at least 16 characters",
        validator=v.min_len(MIN_KEY_LENGTH),
    )
    kind: ServiceKind = setting(
        "kind of the service, model or plain", default=ServiceKind.MODEL
    )
    host: str = setting(
        "IP address to listen on", default="127.0.0.1", validator=v.min_len(1)
    )
    port: int = port_setting("port of the HTTP interface for entries", default=8090)
    advertised_host: str = setting(
        "IP address that other instances connect to; empty for ``host``", default=""
    )
    weights_url: str = setting(
        "URL of the platform's weight store; empty if none is used", default=""
    )
    heartbeat_interval_s: float = setting(
        "time between heartbeats to entries, above 0", default=0.5, validator=v.gt(0)
    )
    lease_s: float = setting(
        "length of the lease for sending commands to engines, above 0",
        default=10.0,
        validator=v.gt(0),
    )
    drain_limit_s: float = setting(
        "longest time that a planned stop waits for running streams, 0 or more",
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
