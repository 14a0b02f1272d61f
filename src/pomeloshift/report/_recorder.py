"""Counts the requests of one entry until the counts are in the log."""

from ..config import Configuration
from ._counts import BurnKey
from ._evaluate import evaluate
from ._histograms import Histograms
from ._indicator import Indicator
from ._sample import RequestSample
from ._summary import BurnSummary
from ._timeline import Timeline


class BurnRecorder:
    """Evaluates each request that ends and keeps the counts of this entry.

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
        self._unconfirmed: list[BurnSummary] = []

    def record(self, sample: RequestSample, cfg: Configuration, now: float) -> None:
        """Counts one request; requests of unknown services are ignored."""
        service = cfg.service(sample.service)
        if service is None:
            return
        priority = sample.priority.value
        results = evaluate(sample, service)
        if not results:
            return
        key = BurnKey(sample.service, sample.workspace, priority)
        counts = self._timeline.counts(key, int(now))
        for result in results:
            if result.cause is None:
                counts.add_good(result.indicator)
            else:
                counts.add_bad(result.indicator, result.cause)
        times = (
            (Indicator.FIRST_TOKEN, sample.first_token_s),
            (Indicator.BETWEEN_TOKENS, sample.between_tokens_s),
        )
        for indicator, seconds in times:
            if seconds is not None:
                self._histograms.record(sample.service, priority, indicator, seconds)

    def summarize(self) -> BurnSummary | None:
        """Returns the counts since the last summary, or `None` if there are none.

        The summary stays part of `pending` until it is confirmed.
        """
        cells = tuple(self._timeline.cells())
        if not cells:
            return None
        summary = BurnSummary(self._entry, cells, self._histograms.encode())
        self._timeline = Timeline()
        self._histograms = Histograms()
        self._unconfirmed.append(summary)
        return summary

    def confirm(self, summary: BurnSummary) -> None:
        """Removes a summary from `pending` once it is in the log."""
        self._unconfirmed.remove(summary)

    def pending(self) -> BurnSummary:
        """Returns all counts that are not known to be in the log."""
        cells = [cell for summary in self._unconfirmed for cell in summary.cells]
        cells += self._timeline.cells()
        histograms = [h for summary in self._unconfirmed for h in summary.histograms]
        histograms += self._histograms.encode()
        return BurnSummary(self._entry, tuple(cells), tuple(histograms))
