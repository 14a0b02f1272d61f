"""The record of one engine in the list of engines."""

import attrs

from ._software_version import SoftwareVersion


@attrs.frozen
class EngineRecord:
    """What an engine publishes about itself.

    ``slots`` is the number of requests that it runs concurrently. ``incarnation`` is
    the start time that the engine reports; it changes when the engine restarts under
    the same id. ``version`` is that of the engine's software, and ``software`` names
    the service with it. ``cold_left_s`` is how much longer it stays slow after its
    start, at the time of the record.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    incarnation: int
    version: str = ""
    cold_left_s: float = 0.0
    software: SoftwareVersion = attrs.field(init=False, eq=False, repr=False)

    @software.default
    def _software(self) -> SoftwareVersion:
        return SoftwareVersion(self.service, self.version)
