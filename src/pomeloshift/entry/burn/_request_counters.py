"""Counts finished online requests in metrics and for SLO accounting."""

from collections.abc import Callable, Mapping

from ...config import Configuration, ServiceKind
from ...metrics import Metrics
from ...model import Priority
from ...report import RequestSample
from ...wire import SidecarReport
from ..online import FinishedRequest

CALLER_GONE = "caller_gone"
OK = "ok"
CLASS = Priority.ONLINE.value


class RequestCounters:
    """Turns finished requests into metrics and samples for SLO accounting.

        counters = RequestCounters(
            region, metrics, burn.record, fleet.reports, current
        )
        counters.finished(finished)

    ``record`` receives the samples. ``reports`` returns the latest heartbeat of each
    backend server by name, and ``current`` the configuration in force.
    """

    def __init__(
        self,
        region: str,
        metrics: Metrics,
        record: Callable[[RequestSample], None],
        reports: Callable[[], Mapping[str, SidecarReport]],
        current: Callable[[], Configuration | None],
    ) -> None:
        self._region = region
        self._metrics = metrics
        self._record = record
        self._reports = reports
        self._current = current

    def finished(self, finished: FinishedRequest) -> None:
        """Counts one request; gives no sample if its caller disconnected."""
        sample = self._sample(finished)
        self._count(finished, sample)
        if not finished.caller_gone:
            self._record(sample)

    def _sample(self, finished: FinishedRequest) -> RequestSample:
        report = self._reports().get(finished.backend_server)
        return RequestSample(
            finished.service,
            finished.workspace,
            Priority.ONLINE,
            self._first_token_s(finished),
            _between_tokens_s(finished),
            finished.error,
            max(0, finished.attempts - 1),
            finished.region not in ("", self._region),
            report.load.batch_streams if report is not None else 0,
        )

    def _first_token_s(self, finished: FinishedRequest) -> float | None:
        if finished.stream or self._is_plain(finished.service):
            return finished.first_token_s
        return None

    def _is_plain(self, name: str) -> bool:
        cfg = self._current()
        service = cfg.service(name) if cfg is not None else None
        return service is not None and service.kind is ServiceKind.PLAIN

    def _count(self, finished: FinishedRequest, sample: RequestSample) -> None:
        metrics, service = self._metrics, finished.service
        outcome = finished.error.value if finished.error is not None else OK
        if finished.caller_gone:
            outcome = CALLER_GONE
        metrics.inc("requests_total", service=service, class_=CLASS, outcome=outcome)
        if finished.tokens:
            metrics.inc("tokens_total", finished.tokens, service=service, class_=CLASS)
        if sample.retries:
            metrics.inc("retries_total", sample.retries, service=service)
        times = (
            ("first_token_seconds", sample.first_token_s),
            ("between_tokens_seconds", sample.between_tokens_s),
        )
        for name, seconds in times:
            if seconds is not None:
                metrics.observe(name, seconds, service=service, class_=CLASS)


def _between_tokens_s(finished: FinishedRequest) -> float | None:
    if not finished.stream or finished.tokens < 2 or finished.first_token_s is None:
        return None
    return (finished.duration_s - finished.first_token_s) / (finished.tokens - 1)
