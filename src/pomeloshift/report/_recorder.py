"""Counts the requests of one entry until they are stored."""

from ..config import Configuration
from ._counts import BurnKey
from ._evaluate import evaluate
from ._histograms import Histograms
from ._indicator import Indicator
from ._sample import RequestSample
from ._summary import BurnSummary
from ._timeline import Timeline


class BurnRecorder:
    """Judges each request that ends and keeps the counts of this entry.

        recorder = BurnRecorder("entry-1")
        recorder.record(sample, cfg, now)
        summary = recorder.summarize()     # append it to the log, then
        recorder.confirm(summary)

    Times are in seconds since the epoch.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._timeline = Timeline()
        self._histograms = Histograms()
        self._sent: list[BurnSummary] = []

    def record(self, sample: RequestSample, cfg: Configuration, now: float) -> None:
        """Counts one request; one of an unknown service is not counted."""
        service = cfg.service(sample.service)
        if service is None:
            return
        priority = sample.priority.value
        results = evaluate(sample, service)
        if not results:
            return
        key = BurnKey(sample.service, sample.workspace, priority)
        counts = self._timeline.counts(key, int(now))
        for verdict in results:
            if verdict.cause is None:
                counts.add_good(verdict.indicator)
            else:
                counts.add_spent(verdict.indicator, verdict.cause)
        times = (
            (Indicator.FIRST_TOKEN, sample.first_token_s),
            (Indicator.BETWEEN_TOKENS, sample.between_tokens_s),
        )
        for indicator, seconds in times:
            if seconds is not None:
                self._histograms.record(sample.service, priority, indicator, seconds)

    def summarize(self) -> BurnSummary | None:
        """Returns what was counted since the last summary, or `None` if nothing.

        The summary stays part of `pending` until it is confirmed.
        """
        cells = tuple(self._timeline.cells())
        if not cells:
            return None
        summary = BurnSummary(self._entry, cells, self._histograms.encode())
        self._timeline = Timeline()
        self._histograms = Histograms()
        self._sent.append(summary)
        return summary

    def confirm(self, summary: BurnSummary) -> None:
        """Forgets a summary that is in the log."""
        self._sent.remove(summary)

    def pending(self) -> BurnSummary:
        """Returns everything that is not known to be in the log."""
        cells = [cell for summary in self._sent for cell in summary.cells]
        cells += self._timeline.cells()
        histograms = [h for summary in self._sent for h in summary.histograms]
        histograms += self._histograms.encode()
        return BurnSummary(self._entry, tuple(cells), tuple(histograms))
