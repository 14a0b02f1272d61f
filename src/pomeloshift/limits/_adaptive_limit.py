"""An adaptive limit of the requests that an entry runs at one service."""

import attrs

BINDING_SHARE = 0.8
SMOOTHING = 0.25
DECREASE = 0.2
INCREASE = 0.03
TOLERATED_SHARE = 0.1


@attrs.define
class AdaptiveLimit:
    """A concurrency limit that follows the share of overloaded requests.

    The capacity of the service is not known; the only input is how the entry's own
    requests end. ``limit`` is the number of requests that may run concurrently. Once
    every ``interval_s`` seconds it is decreased in proportion to the smoothed share of
    overloaded requests above `TOLERATED_SHARE`, or increased by `INCREASE` of itself
    (at least 1) if it was nearly reached. It stays between ``min_limit`` and
    ``max_limit``.
    """

    limit: float = 64.0
    min_limit: float = 4.0
    max_limit: float = 4096.0
    interval_s: float = 0.5
    _overload_share: float = attrs.field(init=False, default=0.0)
    _in_time: int = attrs.field(init=False, default=0)
    _overloads: int = attrs.field(init=False, default=0)
    _was_binding: bool = attrs.field(init=False, default=False)
    _interval_start: float | None = attrs.field(init=False, default=None)

    def succeeded(self, running: int, now: float) -> None:
        """Records a response in time while ``running`` requests ran."""
        self._in_time += 1
        self._was_binding |= running >= BINDING_SHARE * self.limit
        self._adapt(now)

    def overloaded(self, now: float) -> None:
        """Records a refusal by the service, or a response that came too late."""
        self._overloads += 1
        self._adapt(now)

    def _adapt(self, now: float) -> None:
        if self._interval_start is None:
            self._interval_start = now
        if now - self._interval_start < self.interval_s:
            return
        share = self._overloads / (self._in_time + self._overloads)
        self._overload_share += SMOOTHING * (share - self._overload_share)
        excess = self._overload_share - TOLERATED_SHARE
        if excess > 0:
            shrunk = self.limit * (1 - DECREASE * excess)
            self.limit = max(self.min_limit, shrunk)
        elif self._was_binding:
            grown = self.limit + max(1.0, INCREASE * self.limit)
            self.limit = min(self.max_limit, grown)
        self._in_time = self._overloads = 0
        self._was_binding = False
        self._interval_start = now
