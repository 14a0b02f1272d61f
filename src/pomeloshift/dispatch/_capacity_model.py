"""What placement asks of learned speeds of engines."""

from typing import Protocol

from ._engine import Engine


class CapacityModel(Protocol):
    """Expected times of one more request at an engine; all are in seconds."""

    def is_active(self, service: str, now: float) -> bool:
        """Whether the work of a service is placed by these times."""

    def start_s(self, engine: Engine, now: float) -> float:
        """Returns the expected time to the first event, once there is a slot."""

    def run_s(self, engine: Engine, now: float) -> float:
        """Returns the expected time from the first event to the last one."""

    def hold_s(self, engine: Engine, now: float) -> float:
        """Returns how long a request occupies a slot of the engine while it is full."""

    def max_requests(self, engine: Engine, now: float) -> int:
        """Returns with how many requests the engine still serves streams in time."""
