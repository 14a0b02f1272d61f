"""Leases on the monotonic clock that a paused holder gives up by itself."""

import attrs


@attrs.frozen
class Lease:
    """The right to act on ``name`` until ``expires_at`` on the monotonic clock.

    ``fencing_number`` is the log offset of the record that granted the right.
    """

    name: str
    fencing_number: int
    expires_at: float


class PauseDetector:
    """Notices that its loop did not run for longer than ``limit_s`` seconds.

    `observe` is called first thing in every turn of the loop.
    """

    def __init__(self, limit_s: float, now: float) -> None:
        self._limit_s = limit_s
        self._last = now

    def observe(self, now: float) -> float:
        """Returns the length of the pause in seconds, or 0 if there was none."""
        gap_s = now - self._last
        self._last = max(self._last, now)
        return gap_s if gap_s > self._limit_s else 0.0


class HeldLeases:
    """The leases that one process holds.

    After a pause longer than the lease all of them are dropped before anything else
    is decided, those granted for longer included: another holder may have been
    chosen in the meantime.
    """

    def __init__(self, lease_s: float, now: float) -> None:
        self._detector = PauseDetector(lease_s, now)
        self._leases: dict[str, Lease] = {}

    def observe(self, now: float) -> tuple[Lease, ...]:
        """Returns the leases that are dropped because of a pause or have expired."""
        paused = self._detector.observe(now) > 0
        leases = self._leases.values()
        dropped = tuple(i for i in leases if paused or i.expires_at <= now)
        for lease in dropped:
            del self._leases[lease.name]
        return dropped

    def grant(self, lease: Lease) -> None:
        """Takes a lease, unless one with a higher fencing number is held."""
        held = self._leases.get(lease.name)
        if held is None or held.fencing_number <= lease.fencing_number:
            self._leases[lease.name] = lease

    def revoke(self, name: str) -> None:
        """Gives a lease up."""
        self._leases.pop(name, None)

    def held(self, name: str, now: float) -> Lease | None:
        """Returns the lease if it is in force right now."""
        self.observe(now)
        return self._leases.get(name)
