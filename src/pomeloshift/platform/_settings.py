"""The settings file that the platform writes for each process."""

import os
from collections.abc import Mapping
from typing import Any

import attrs

from ..settings import Fault, FaultCode, SettingsError, read_text
from ._address import is_port
from ._names import SETTINGS_VARIABLE
from ._toml import parse_toml


@attrs.frozen
class StoreSettings:
    """The address of the platform's store, its rates and its size limits in bytes."""

    address: str
    writes_per_s: float
    reads_per_s: float
    record_bytes: int
    call_bytes: int


@attrs.frozen
class CallerMemorySettings:
    """The limits of callers' memory; they are optional settings of the gateway itself.

    ``reserve_bytes`` is what the process needs beside callers and its size at the
    start; 0 stands for a fifth of its memory. Bodies arrive at ``body_rate`` bytes a
    second at least, apart from pauses of ``body_pause_s`` in total. A request waits at
    most ``wait_s`` for memory. A caller that reads nothing for ``unread_s`` is
    disconnected.
    """

    reserve_bytes: int = 0
    body_rate: float = 4096.0
    body_pause_s: float = 30.0
    wait_s: float = 1.0
    unread_s: float = 2.0


@attrs.frozen
class PlatformSettings:
    """The settings of one process, as the platform sets them; times are in seconds.

    ``regions`` maps availability zones to their regions. ``grace_s`` is the time from
    the request to stop until the process has to exit, and ``job_status_s`` how long
    after its submission a job can be read. ``memory_bytes`` is the memory above which
    the process is killed, 0 if it is not known. ``revocation_s`` is the time after
    which a request with a revoked key must not run, None where that is not enforced.
    The rate limits of workspaces hold in each window of ``rate_window_s``, up to the
    share ``rate_overrun`` and ``rate_slack`` requests more. ``is_first_start`` is set
    only if the whole deployment starts for the first time. ``is_placement_learned`` is
    unset to place work without what is learned about engines' speeds.
    """

    name: str
    ip: str
    zone: str
    region: str
    regions: dict[str, str]
    caller_address: str
    ready_address: str
    internal_ports: tuple[int, int]
    max_descriptors: int
    grace_s: float
    job_status_s: float
    store: StoreSettings
    memory_bytes: int = 0
    revocation_s: float | None = None
    rate_window_s: float = 5.0
    rate_overrun: float = 0.0
    rate_slack: float = 0.0
    is_first_start: bool = False
    is_placement_learned: bool = False
    caller_memory: CallerMemorySettings = CallerMemorySettings()


class _Reader:
    """Reads typed fields and collects all faults."""

    def __init__(self, data: Mapping[str, Any]) -> None:
        self._data = data
        self.faults: list[Fault] = []

    def get(self, path: str, kind: Any, default: Any = None) -> Any:
        value: Any = self._data
        for key in path.split("."):
            if not isinstance(value, Mapping) or key not in value:
                return self._missing(path, kind, default)
            value = value[key]
        if isinstance(value, bool) or not isinstance(value, kind):
            name = getattr(kind, "__name__", "number")
            fault = Fault(path, FaultCode.WRONG_TYPE, f"is not of the type {name}")
            self.faults.append(fault)
            return default if default is not None else kind_default(kind)
        return value

    def _missing(self, path: str, kind: Any, default: Any) -> Any:
        if default is not None:
            return default
        self.faults.append(Fault(path, FaultCode.MISSING_KEY, "is missing"))
        return kind_default(kind)

    def positive(self, path: str, default: float) -> float:
        """Returns an optional number that has to be above 0 where it is set."""
        value: float = self.get(path, NUMBER, default)
        if value <= 0 and value != default:
            fault = Fault(path, FaultCode.OUT_OF_RANGE, f"{value} is not above 0")
            self.faults.append(fault)
            return default
        return value

    def flag(self, path: str) -> bool:
        """Returns a field that is true or false, false if it is missing."""
        value: Any = self._data
        for key in path.split("."):
            value = value.get(key, False) if isinstance(value, Mapping) else False
        if not isinstance(value, bool):
            fault = Fault(path, FaultCode.WRONG_TYPE, "is not true or false")
            self.faults.append(fault)
        return value is True

    def address(self, path: str) -> str:
        value: str = self.get(path, str)
        host, _, port = value.rpartition(":")
        if value and not (host and is_port(port)):
            fault = Fault(path, FaultCode.OUT_OF_RANGE, f"{value!r} is not IP:PORT")
            self.faults.append(fault)
        return value


NUMBER = (int, float)
MB = 1024 * 1024


def kind_default(kind: Any) -> Any:
    """Returns a placeholder of a type, so that further faults can be collected."""
    return 0 if kind is NUMBER else kind()


def load_platform_settings(path: str = "") -> PlatformSettings:
    """Returns the settings in ``path``, or in the file named by `POMELOSHIFT_CONFIG`.

    Raises `SettingsError` with every fault of the file; unknown keys are ignored.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        message = f"no file is given and {SETTINGS_VARIABLE} is not set"
        raise SettingsError([Fault("", FaultCode.UNREADABLE_FILE, message)])
    return parse_platform_settings(parse_toml(read_text(path), path), path)


def parse_platform_settings(
    data: Mapping[str, Any], path: str = ""
) -> PlatformSettings:
    """Returns the settings in a decoded file; raises `SettingsError`."""
    reader = _Reader(data)
    ports = reader.get("internalPorts", list, [0, 0])
    settings = PlatformSettings(
        name=reader.get("nodeName", str),
        ip=reader.get("ip", str),
        zone=reader.get("zone", str),
        region=reader.get("region", str),
        regions=dict(reader.get("zones", dict, {})),
        caller_address=reader.address("listen.front"),
        ready_address=reader.address("listen.ready"),
        internal_ports=_port_range(ports, reader),
        max_descriptors=reader.get("limits.maxFds", int, 1024),
        grace_s=reader.get("bounds.graceS", NUMBER, 8),
        job_status_s=reader.get("bounds.statusS", NUMBER, 120),
        store=_read_store(reader),
        memory_bytes=int(reader.get("limits.memoryMb", NUMBER, 0) * MB),
        revocation_s=_read_revocation(reader),
        rate_window_s=reader.get("bounds.quotaWindowS", NUMBER, 5),
        rate_overrun=reader.get("bounds.quotaOverrun", NUMBER, 0),
        rate_slack=reader.get("bounds.quotaSlack", NUMBER, 0),
        is_first_start=reader.flag("bootstrap"),
        is_placement_learned=reader.flag("placement.learned"),
        caller_memory=_read_caller_memory(reader),
    )
    if reader.faults:
        raise SettingsError(reader.faults, path)
    return settings


def _read_store(reader: _Reader) -> StoreSettings:
    return StoreSettings(
        address=reader.address("platform.address"),
        writes_per_s=reader.get("platform.writesPerS", NUMBER, 100),
        reads_per_s=reader.get("platform.readsPerS", NUMBER, 100),
        record_bytes=reader.get("platform.recordBytes", int, 262144),
        call_bytes=reader.get("platform.callBytes", int, 2097152),
    )


def _read_caller_memory(reader: _Reader) -> CallerMemorySettings:
    return CallerMemorySettings(
        reserve_bytes=int(reader.positive("callerMemory.reserveMb", 0) * MB),
        body_rate=reader.positive("callerMemory.bodyBytesPerS", 4096),
        body_pause_s=reader.positive("callerMemory.bodyPauseMs", 30_000) / 1000,
        wait_s=reader.positive("callerMemory.waitMs", 1000) / 1000,
        unread_s=reader.positive("callerMemory.unreadMs", 2000) / 1000,
    )


def _read_revocation(reader: _Reader) -> float | None:
    if not reader.flag("bounds.strictRevoke"):
        return None
    return float(reader.get("bounds.revokeMs", NUMBER)) / 1000


def _port_range(ports: list[Any], reader: _Reader) -> tuple[int, int]:
    if len(ports) == 2 and all(type(port) is int for port in ports):
        return ports[0], ports[1]
    message = "is not a list of two ports"
    reader.faults.append(Fault("internalPorts", FaultCode.WRONG_TYPE, message))
    return 0, 0
