"""The number of requests that an entry keeps running at one service."""

import attrs


@attrs.define
class AdaptiveLimit:
    """Grows slowly while the service keeps up and shrinks when it is overloaded.

    It shrinks at most once in ``interval_s`` seconds, because the refusals of one
    overload arrive together.
    """

    limit: float = 64.0
    min_limit: float = 4.0
    max_limit: float = 4096.0
    decrease: float = 0.9
    interval_s: float = 0.5
    _shrunk_at: float | None = attrs.field(init=False, default=None)

    def succeeded(self, running: int) -> None:
        """Notes an answer that came in time; grows only where the limit binds."""
        if running >= 0.8 * self.limit:
            self.limit = min(self.max_limit, self.limit + 1.0 / self.limit)

    def overloaded(self, now: float) -> None:
        """Notes a refusal or an answer that came too late."""
        if self._shrunk_at is not None and now - self._shrunk_at < self.interval_s:
            return
        self._shrunk_at = now
        self.limit = max(self.min_limit, self.limit * self.decrease)
