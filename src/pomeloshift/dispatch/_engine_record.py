"""The record of one engine in the list of engines."""

import attrs

from ._software_version import SoftwareVersion


@attrs.frozen
class EngineRecord:
    """What an engine publishes about itself.

    ``slots`` is the number of requests that it runs concurrently. ``incarnation`` is
    the start time that the engine reports; it changes when the engine restarts under
    the same id. ``version`` is that of the engine's software.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    incarnation: int
    version: str = ""

    @property
    def software(self) -> SoftwareVersion:
        """The service and the version of its software."""
        return SoftwareVersion(self.service, self.version)
