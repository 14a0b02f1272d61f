"""Leases on the monotonic clock that their holder drops after a pause."""

import attrs


@attrs.frozen
class Lease:
    """The right to act on ``name`` until ``expires_at`` on the monotonic clock.

    ``fencing_number`` is the fencing token: the log offset of the record that granted
    the lease.
    """

    name: str
    fencing_number: int
    expires_at: float


class PauseDetector:
    """Detects that its event loop did not run for longer than ``limit_s`` seconds.

    The owner calls `observe` first in every turn of the loop.
    """

    def __init__(self, limit_s: float, now: float) -> None:
        self._limit_s = limit_s
        self._observed_at = now

    def observe(self, now: float) -> float:
        """Returns the length of the pause in seconds, or 0 if there was none."""
        gap_s = now - self._observed_at
        self._observed_at = max(self._observed_at, now)
        return gap_s if gap_s > self._limit_s else 0.0


class HeldLeases:
    """The leases that one process holds.

    After a pause longer than ``lease_s`` all leases are dropped before any other
    decision, even leases granted for longer: another holder may have been chosen during
    the pause.
    """

    def __init__(self, lease_s: float, now: float) -> None:
        self._detector = PauseDetector(lease_s, now)
        self._leases: dict[str, Lease] = {}

    def observe(self, now: float) -> tuple[Lease, ...]:
        """Drops leases that have expired, or all after a pause, and returns them."""
        paused = self._detector.observe(now) > 0
        leases = self._leases.values()
        dropped = tuple(i for i in leases if paused or i.expires_at <= now)
        for lease in dropped:
            del self._leases[lease.name]
        return dropped

    def grant(self, lease: Lease) -> None:
        """Holds a lease unless one with a higher fencing token is held already."""
        held = self._leases.get(lease.name)
        if held is None or held.fencing_number <= lease.fencing_number:
            self._leases[lease.name] = lease

    def revoke(self, name: str) -> None:
        """Drops a lease, for example because its token was fenced."""
        self._leases.pop(name, None)

    def held(self, name: str, now: float) -> Lease | None:
        """Returns the lease if it is in force at ``now``, else `None`."""
        self.observe(now)
        return self._leases.get(name)
