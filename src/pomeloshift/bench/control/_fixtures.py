"""Messages and configurations of realistic size."""

from ...config import (
    ApiKeyConfig,
    BackendServerConfig,
    Configuration,
    RegionConfig,
    ServiceConfig,
    WorkspaceConfig,
    encode_configuration,
)
from ...model import Instance, InstanceRole, LoadReport, Place
from ...wire import SidecarReport

SERVICES = ("lm-a", "lm-b", "lm-c")
HEX_DIGEST = "0123456789abcdef" * 4
BODY_BYTES = 1000


def make_instance(number: int, service: str = SERVICES[0]) -> Instance:
    """Returns the instance of backend server ``number``."""
    place = Place("region-1", "zone-1a")
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8090"
    name = f"backend-{number:05d}"
    return Instance(name, InstanceRole.BACKEND_SERVER, place, address, service=service)


def make_report(number: int, sequence: int = 1) -> SidecarReport:
    """Returns a heartbeat of a busy backend server."""
    load = LoadReport(24, 40, 24_000, 80_000, 2, 0.031, 400_000, sequence, 1234.5)
    return SidecarReport(make_instance(number), 1_700_000_000, sequence, 12_345, load)


def make_configuration(workspaces: int, backend_servers: int) -> Configuration:
    """Returns a configuration with a key for each workspace."""
    return Configuration(
        deployment="large",
        regions=tuple(
            RegionConfig(f"region-{r}", tuple(f"zone-{r}{z}" for z in "abc"))
            for r in range(7)
        ),
        services=tuple(ServiceConfig(name) for name in SERVICES),
        workspaces=tuple(
            WorkspaceConfig(f"workspace-{n:03d}") for n in range(workspaces)
        ),
        api_keys=tuple(
            ApiKeyConfig(f"key-{n:03d}", f"workspace-{n:03d}", "a" * 16, HEX_DIGEST)
            for n in range(workspaces)
        ),
        backend_servers=tuple(
            BackendServerConfig(f"backend-{n:05d}", SERVICES[n % 3], n % 2 == 0)
            for n in range(backend_servers)
        ),
    )


def make_document(workspaces: int, backend_servers: int) -> bytes:
    """Returns the encoded document of a configuration of that size."""
    return encode_configuration(make_configuration(workspaces, backend_servers))
