"""The number of requests that an entry keeps running at one service."""

import attrs

BINDING_SHARE = 0.8
SMOOTHING = 0.25
DECREASE = 0.2
INCREASE = 0.03
TOLERATED_SHARE = 0.1


@attrs.define
class AdaptiveLimit:
    """Follows the share of requests that met an overloaded service.

    Once in ``interval_s`` seconds the limit shrinks in proportion to the smoothed
    share above the tolerated one, or grows by a few in a hundred if it was in use.
    """

    limit: float = 64.0
    min_limit: float = 4.0
    max_limit: float = 4096.0
    interval_s: float = 0.5
    _share: float = attrs.field(init=False, default=0.0)
    _good: int = attrs.field(init=False, default=0)
    _bad: int = attrs.field(init=False, default=0)
    _was_binding: bool = attrs.field(init=False, default=False)
    _since: float | None = attrs.field(init=False, default=None)

    def succeeded(self, running: int, now: float) -> None:
        """Notes an answer that came in time while ``running`` requests ran."""
        self._good += 1
        self._was_binding |= running >= BINDING_SHARE * self.limit
        self._adapt(now)

    def overloaded(self, now: float) -> None:
        """Notes a refusal, or an answer that came too late."""
        self._bad += 1
        self._adapt(now)

    def _adapt(self, now: float) -> None:
        if self._since is None:
            self._since = now
        if now - self._since < self.interval_s:
            return
        share = self._bad / (self._good + self._bad)
        self._share += SMOOTHING * (share - self._share)
        excess = self._share - TOLERATED_SHARE
        if excess > 0:
            shrunk = self.limit * (1 - DECREASE * excess)
            self.limit = max(self.min_limit, shrunk)
        elif self._was_binding:
            grown = self.limit + max(1.0, INCREASE * self.limit)
            self.limit = min(self.max_limit, grown)
        self._good = self._bad = 0
        self._was_binding = False
        self._since = now
