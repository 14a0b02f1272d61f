"""Drives a planned stop by the time and the work that is still open."""

from ._drain_machine import DrainState, DrainStep, new_drain


class Drain:
    """The planned stop of an entry or a sidecar.

    ``linger_s`` is how long new work is still taken after the announcement: 0 for a
    sidecar, and for an entry the time in seconds until the balancer has noticed.

        drain = Drain(linger_s=2.0)
        steps = drain.begin(now)
        steps = drain.observe(open_work=3, now=now)

    The steps are to be taken in their order. ``CLOSE`` comes only when nothing is
    open, so that closing cuts no request off.
    """

    def __init__(self, linger_s: float) -> None:
        self._linger_s = linger_s
        self._machine = new_drain()
        self._refuse_at = float("inf")

    @property
    def state(self) -> DrainState:
        """The state of the stop."""
        return self._machine.state()

    @property
    def accepts_work(self) -> bool:
        """Whether new work is taken."""
        return self.state in (DrainState.SERVING, DrainState.LINGERING)

    def begin(self, now: float) -> tuple[DrainStep, ...]:
        """The process is asked to leave; asking again changes nothing."""
        steps = self._machine.begin()
        if steps:
            self._refuse_at = now + self._linger_s
        return steps + self._end_linger(now)

    def observe(self, open_work: int, now: float) -> tuple[DrainStep, ...]:
        """Takes the number of requests, streams and results that are still open."""
        steps = self._end_linger(now)
        if open_work == 0:
            steps += self._machine.finish()
        return steps

    def stop(self) -> tuple[DrainStep, ...]:
        """Notes that the process closes, in whatever state it is."""
        return self._machine.stop()

    def _end_linger(self, now: float) -> tuple[DrainStep, ...]:
        return self._machine.end_linger() if now >= self._refuse_at else ()
