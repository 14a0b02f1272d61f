"""The baseline policies that admission is compared with."""

from ...admission import (
    AdmissionEffect,
    AdmissionEvent,
    PullBatch,
    StartStream,
    StreamEnded,
    StreamOffered,
    Tick,
)
from ...model import LoadReport, Priority

UNBOUNDED_BATCH_STREAMS = 256
NOMINAL_STREAM_TOKENS = 400


class FixedLimit:
    """Starts online streams at once and batch streams up to a fixed number.

    With a limit of 0 no batch work runs. A limit above the engine's capacity
    leaves batch work uncontrolled.
    """

    needs_tokens = False

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._online: dict[str, int] = {}
        self._batch: set[str] = set()
        self._sequence = 0

    def handle(self, event: AdmissionEvent, now: float) -> list[AdmissionEffect]:
        """Handles an event and returns the effects."""
        if isinstance(event, StreamOffered):
            return self._on_offered(event)
        if isinstance(event, StreamEnded):
            self._online.pop(event.stream_id, None)
            self._batch.discard(event.stream_id)
        if isinstance(event, StreamEnded | Tick):
            free = self._limit - len(self._batch)
            if free > 0:
                return [PullBatch(free * NOMINAL_STREAM_TOKENS, free)]
        return []

    def load(self, now: float) -> LoadReport:
        """Returns the load report for the router."""
        self._sequence += 1
        return LoadReport(
            online_streams=len(self._online),
            batch_streams=len(self._batch),
            online_tokens=sum(self._online.values()),
            sequence=self._sequence,
        )

    def _on_offered(self, offer: StreamOffered) -> list[AdmissionEffect]:
        if offer.priority is Priority.ONLINE:
            self._online[offer.stream_id] = offer.prompt_tokens + offer.max_tokens
        else:
            self._batch.add(offer.stream_id)
        return [StartStream(offer.stream_id)]
