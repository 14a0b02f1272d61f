"""Structured log lines, one for each decision."""

from typing import Any

from loguru import logger

from ._metrics import GatewayMetrics

# Lines of one event per second; further ones at level INFO are only counted.
LINES_PER_S = 40


class EventLog:
    """Writes lines of ``key=value`` pairs and bounds their rate.

        events.info("request_answered", id="9c41", status=200)

    At most `LINES_PER_S` lines of an event are written per second at level INFO.
    Warnings are always written.
    """

    def __init__(self, clock: Any, metrics: GatewayMetrics) -> None:
        self.metrics = metrics
        self._clock = clock
        self._second = 0
        self._counts: dict[str, int] = {}

    def info(self, event: str, **fields: Any) -> None:
        """Writes a line at level INFO unless the event is over `LINES_PER_S`."""
        self.metrics.count_event(event)
        second = int(self._clock.monotonic())
        if second != self._second:
            self._report_omitted()
            self._second = second
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= LINES_PER_S:
            self._write("INFO", event, fields)

    def warn(self, event: str, **fields: Any) -> None:
        """Writes a line at level WARNING: a failure or an unavailable dependency."""
        self.metrics.count_event(event)
        self._write("WARNING", event, fields)

    def _report_omitted(self) -> None:
        for event, count in self._counts.items():
            if count > LINES_PER_S:
                omitted = {"kind": event, "count": count - LINES_PER_S}
                self._write("INFO", "lines_omitted", omitted)
        self._counts.clear()

    @staticmethod
    def _write(level: str, event: str, fields: dict[str, Any]) -> None:
        pairs = " ".join(f"{key}={_format(value)}" for key, value in fields.items())
        logger.opt(raw=False).log(level, "{}", f"event={event} {pairs}")


def _format(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if not text or any(c in text for c in ' "\n='):
        return '"' + text.replace('"', "'").replace("\n", " ") + '"'
    return text
