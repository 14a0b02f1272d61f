"""The metrics of one process."""

from typing import Any

import aioprometheus

from ._catalogue import CATALOGUE
from ._errors import MetricError
from ._spec import MetricKind, MetricSpec


class Metrics:
    """Holds the metrics of one process in its own registry.

        metrics = Metrics("entry", name="entry-1")
        metrics.inc("requests_total", service="lm", outcome="ok", class_="online")
        body, headers = metrics.render()

    A label that is a Python keyword takes a trailing underscore. The methods raise
    `MetricError` for a name, kind or set of labels that the catalogue does not have
    for the role.
    """

    def __init__(self, role: str, name: str = "") -> None:
        self.role = role
        self._registry = aioprometheus.Registry()
        self._constant = {"instance": name} if name else None
        self._specs = {s.name: s for s in CATALOGUE if role in s.roles}
        self._collectors = {
            spec.name: self._make_collector(spec) for spec in self._specs.values()
        }

    def inc(self, metric: str, value: float = 1, **labels: str) -> None:
        """Adds to a counter."""
        collector, given = self._find(metric, MetricKind.COUNTER, labels)
        collector.add(given, value)

    def advance(self, metric: str, total: float, **labels: str) -> None:
        """Sets a counter to a total that is counted elsewhere."""
        collector, given = self._find(metric, MetricKind.COUNTER, labels)
        collector.set(given, total)

    def set(self, metric: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        collector, given = self._find(metric, MetricKind.GAUGE, labels)
        collector.set(given, value)

    def clear(self, metric: str) -> None:
        """Removes all values of a gauge, whatever their labels."""
        spec = self._spec(metric)
        if spec.kind is not MetricKind.GAUGE:
            raise MetricError(f"{metric} is a {spec.kind.value}")
        self._collectors[metric].values.clear()

    def observe(self, metric: str, value: float, **labels: str) -> None:
        """Adds an observation to a histogram."""
        collector, given = self._find(metric, MetricKind.HISTOGRAM, labels)
        collector.observe(given, value)

    def get(self, metric: str, **labels: str) -> Any:
        """Returns the value of a metric; raises `KeyError` if it has none yet."""
        spec = self._spec(metric)
        return self._collectors[metric].get(self._labels(spec, labels))

    def render(self, accept: tuple[str, ...] = ()) -> tuple[bytes, dict[str, str]]:
        """Returns the body and the headers of the response to a scrape."""
        return aioprometheus.render(self._registry, accept)

    def _make_collector(self, spec: MetricSpec) -> Any:
        options: dict[str, Any] = {
            "registry": self._registry,
            "const_labels": self._constant,
        }
        if spec.kind is MetricKind.HISTOGRAM:
            buckets = list(spec.buckets)
            return aioprometheus.Histogram(
                spec.full_name, spec.help, buckets=buckets, **options
            )
        if spec.kind is MetricKind.GAUGE:
            return aioprometheus.Gauge(spec.full_name, spec.help, **options)
        return aioprometheus.Counter(spec.full_name, spec.help, **options)

    def _find(
        self, metric: str, kind: MetricKind, labels: dict[str, str]
    ) -> tuple[Any, dict[str, str]]:
        spec = self._spec(metric)
        if spec.kind is not kind:
            raise MetricError(f"{metric} is a {spec.kind.value}")
        return self._collectors[metric], self._labels(spec, labels)

    def _spec(self, metric: str) -> MetricSpec:
        spec = self._specs.get(metric)
        if spec is None:
            raise MetricError(f"the role {self.role} has no metric {metric!r}")
        return spec

    def _labels(self, spec: MetricSpec, labels: dict[str, str]) -> dict[str, str]:
        given = {name.rstrip("_"): value for name, value in labels.items()}
        if given.keys() != set(spec.labels):
            raise MetricError(f"{spec.name} takes the labels {list(spec.labels)}")
        return given
