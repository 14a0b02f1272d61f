"""Drives a drain by the time and the amount of open work."""

from ._drain_machine import DrainState, DrainStep, new_drain


class Drain:
    """The drain of an entry or a sidecar before a planned stop.

    ``linger_s`` is how many seconds the process still accepts new work after it has
    announced the drain: 0 for a sidecar, and for an entry the time that the load
    balancer needs to stop sending requests to it.

        drain = Drain(linger_s=2.0)
        steps = drain.begin(now)
        steps = drain.observe(open_work=3, now=now)

    The caller executes the returned steps in order. ``CLOSE`` is returned only when
    no work is open, so that closing interrupts no request.
    """

    def __init__(self, linger_s: float) -> None:
        self._linger_s = linger_s
        self._machine = new_drain()
        self._refuse_at = float("inf")

    @property
    def state(self) -> DrainState:
        """The current state of the drain."""
        return self._machine.state()

    @property
    def accepts_work(self) -> bool:
        """Whether the process accepts new work."""
        return self.state in (DrainState.SERVING, DrainState.LINGERING)

    def begin(self, now: float) -> tuple[DrainStep, ...]:
        """Starts the drain once; returns the steps that are due."""
        steps = self._machine.begin()
        if steps:
            self._refuse_at = now + self._linger_s
        return steps + self._end_linger(now)

    def observe(self, open_work: int, now: float) -> tuple[DrainStep, ...]:
        """Returns the steps that are due.

        ``open_work`` is the number of open requests, streams and undelivered results.
        """
        steps = self._end_linger(now)
        if open_work == 0:
            steps += self._machine.finish()
        return steps

    def stop(self) -> tuple[DrainStep, ...]:
        """Ends the drain in any state, because the process closes."""
        return self._machine.stop()

    def _end_linger(self, now: float) -> tuple[DrainStep, ...]:
        return self._machine.end_linger() if now >= self._refuse_at else ()
