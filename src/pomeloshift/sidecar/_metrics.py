"""The Prometheus metrics of a sidecar."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..wire import SidecarReport

if TYPE_CHECKING:
    from ..metrics import Metrics


class SidecarMetrics:
    """Renders the contents of the sidecar's heartbeat as metrics.

    The metrics libraries are imported on the first scrape: many sidecars are never
    scraped, and a sidecar is meant to use little memory.
    """

    def __init__(self, name: str, make_report: Callable[[], SidecarReport]) -> None:
        self._name = name
        self._make_report = make_report
        self._metrics: Metrics | None = None

    def render(self) -> bytes:
        """Returns the body of the response to a scrape."""
        from ..metrics import Metrics, collect_process

        if self._metrics is None:
            self._metrics = Metrics("sidecar", self._name)
        metrics = self._metrics
        report = self._make_report()
        load = report.load
        metrics.set("streams", load.online_streams, class_="online")
        metrics.set("streams", load.batch_streams, class_="batch")
        metrics.set("queued_streams", load.queued_online, class_="online")
        metrics.set("engines_answer", 1 if report.engine_alive else 0)
        metrics.set("draining", 1 if report.draining else 0)
        metrics.set("config_version", report.config_version)
        collect_process(metrics)
        body, _ = metrics.render()
        return body
