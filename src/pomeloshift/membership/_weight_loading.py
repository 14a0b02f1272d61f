"""Spreads the loading of weights by many sidecars over time."""

from collections import OrderedDict
from random import Random

import attrs
from attrs import validators as v

from ..errors import ErrorCode, ErrorReport, Ran


@attrs.frozen
class LoadingLimits:
    """Times in seconds.

    The first try of a load is delayed by up to ``spread_s``, and after a refusal the
    next by up to twice as much each time, at most ``max_delay_s`` beyond what the
    store asks for. A load is given up after ``give_up_s``.
    """

    spread_s: float = attrs.field(default=1.0, validator=v.ge(0))
    max_delay_s: float = attrs.field(default=30.0, validator=v.gt(0))
    give_up_s: float = attrs.field(default=600.0, validator=v.gt(0))


@attrs.frozen
class Weights:
    """The weights of one version of a model."""

    model: str
    version: str


@attrs.frozen
class StartLoad:
    """Load the weights now."""

    weights: Weights


@attrs.frozen
class LoadFailed:
    """The weights were not loaded in time."""

    weights: Weights
    error: ErrorReport


LoadEffect = StartLoad | LoadFailed


@attrs.define
class _Load:
    due_at: float
    give_up_at: float
    delay_s: float


class WeightLoading:
    """Loads one set of weights at a time, with random delays between tries."""

    def __init__(self, limits: LoadingLimits, rng: Random) -> None:
        self._limits = limits
        self._rng = rng
        self._loads: OrderedDict[Weights, _Load] = OrderedDict()
        self._running: Weights | None = None

    @property
    def waiting(self) -> tuple[Weights, ...]:
        """The weights that are wanted and not yet loaded."""
        return tuple(self._loads)

    def want(self, weights: Weights, now: float) -> list[LoadEffect]:
        """Asks for weights; asking again while they are wanted changes nothing."""
        if weights not in self._loads:
            limits = self._limits
            due_at = now + self._rng.uniform(0.0, limits.spread_s)
            give_up_at = now + limits.give_up_s
            self._loads[weights] = _Load(due_at, give_up_at, limits.spread_s)
        return self.tick(now)

    def loaded(self, weights: Weights, now: float) -> list[LoadEffect]:
        """Notes that the weights are there."""
        self._end(weights)
        self._loads.pop(weights, None)
        return self.tick(now)

    def refused(
        self, weights: Weights, retry_after_s: float, now: float
    ) -> list[LoadEffect]:
        """Notes that the store refused or failed; ``retry_after_s`` may be 0."""
        self._end(weights)
        load = self._loads.get(weights)
        if load is not None:
            load.delay_s = min(max(load.delay_s, 0.1) * 2.0, self._limits.max_delay_s)
            load.due_at = now + retry_after_s + self._rng.uniform(0.0, load.delay_s)
        return self.tick(now)

    def tick(self, now: float) -> list[LoadEffect]:
        """Returns the load that is due and those that are given up."""
        effects: list[LoadEffect] = []
        for weights in self._expired(now):
            del self._loads[weights]
            effects.append(LoadFailed(weights, _too_late(weights)))
        start = self._next_due(now)
        if start is not None and self._running is None:
            self._running = start
            effects.append(StartLoad(start))
        return effects

    def _expired(self, now: float) -> list[Weights]:
        loads = self._loads.items()
        return [w for w, i in loads if i.give_up_at <= now and w != self._running]

    def _next_due(self, now: float) -> Weights | None:
        due = (w for w, load in self._loads.items() if load.due_at <= now)
        return next(due, None)

    def _end(self, weights: Weights) -> None:
        if self._running == weights:
            self._running = None


def _too_late(weights: Weights) -> ErrorReport:
    message = f"weights {weights.model}/{weights.version} were not loaded in time"
    return ErrorReport(ErrorCode.DEADLINE_EXCEEDED, message, Ran.NO)
