"""Staggers the loading of weights, so that many sidecars do not load at once."""

from collections import OrderedDict
from random import Random

import attrs
from attrs import validators as v

from ..errors import ErrorCode, ErrorReport, Ran


@attrs.frozen
class LoadingLimits:
    """Times in seconds.

    The first attempt of a load is delayed by up to ``initial_jitter_s``. After each
    refusal the upper bound doubles, up to ``max_delay_s``, and the store's
    ``retry_after_s`` is added. A load fails after ``timeout_s``.
    """

    initial_jitter_s: float = attrs.field(default=1.0, validator=v.ge(0))
    max_delay_s: float = attrs.field(default=30.0, validator=v.gt(0))
    timeout_s: float = attrs.field(default=600.0, validator=v.gt(0))


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
    expires_at: float
    delay_s: float


class WeightLoading:
    """Loads one set of weights at a time, with jitter before each attempt."""

    def __init__(self, limits: LoadingLimits, rng: Random) -> None:
        self._limits = limits
        self._rng = rng
        self._loads: OrderedDict[Weights, _Load] = OrderedDict()
        self._running: Weights | None = None

    @property
    def waiting(self) -> tuple[Weights, ...]:
        """The requested weights that are not loaded yet."""
        return tuple(self._loads)

    def want(self, weights: Weights, now: float) -> list[LoadEffect]:
        """Requests weights, unless they are requested already."""
        if weights not in self._loads:
            limits = self._limits
            due_at = now + self._rng.uniform(0.0, limits.initial_jitter_s)
            expires_at = now + limits.timeout_s
            self._loads[weights] = _Load(due_at, expires_at, limits.initial_jitter_s)
        return self.tick(now)

    def loaded(self, weights: Weights, now: float) -> list[LoadEffect]:
        """Called when the weights were loaded."""
        self._end(weights)
        self._loads.pop(weights, None)
        return self.tick(now)

    def refused(
        self, weights: Weights, retry_after_s: float, now: float
    ) -> list[LoadEffect]:
        """Called when the store refused a load or failed; it is retried later.

        ``retry_after_s`` is the delay that the store asked for, or 0.
        """
        self._end(weights)
        load = self._loads.get(weights)
        if load is not None:
            load.delay_s = min(max(load.delay_s, 0.1) * 2.0, self._limits.max_delay_s)
            load.due_at = now + retry_after_s + self._rng.uniform(0.0, load.delay_s)
        return self.tick(now)

    def tick(self, now: float) -> list[LoadEffect]:
        """Returns the load to start now and the loads that have timed out."""
        effects: list[LoadEffect] = []
        for weights in self._expired(now):
            del self._loads[weights]
            effects.append(LoadFailed(weights, _timeout_error(weights)))
        start = self._next_due(now)
        if start is not None and self._running is None:
            self._running = start
            effects.append(StartLoad(start))
        return effects

    def _expired(self, now: float) -> list[Weights]:
        loads = self._loads.items()
        return [w for w, i in loads if i.expires_at <= now and w != self._running]

    def _next_due(self, now: float) -> Weights | None:
        due = (w for w, load in self._loads.items() if load.due_at <= now)
        return next(due, None)

    def _end(self, weights: Weights) -> None:
        if self._running == weights:
            self._running = None


def _timeout_error(weights: Weights) -> ErrorReport:
    message = f"weights {weights.model}/{weights.version} were not loaded in time"
    return ErrorReport(ErrorCode.DEADLINE_EXCEEDED, message, Ran.NO)
