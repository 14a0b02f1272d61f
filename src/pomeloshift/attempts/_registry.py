"""Runs each attempt id at most once at a sidecar."""

from ..errors import ErrorReport, PomeloshiftError
from ..wire import AttemptRequest, Frame
from ._errors import (
    AttemptEndedError,
    AttemptUnknownError,
    AttemptUnsettledError,
    NotRunningError,
    RegistryFullError,
    SuspectRunningError,
)
from ._opened import Opened, OpenedKind
from ._record import AttemptRecord
from ._registry_config import RegistryConfig

RETRY_AFTER_S = 1.0


class AttemptRegistry:
    """The attempts of one incarnation of a sidecar.

    registry = AttemptRegistry(incarnation=3)
    if registry.open(req, now).kind is OpenedKind.STARTED:
        frame = registry.append(req.attempt_id, b"data: ...", tokens=1)
        last = registry.finish(req.attempt_id)
    """

    def __init__(
        self, cfg: RegistryConfig | None = None, *, incarnation: int = 0
    ) -> None:
        self._cfg = cfg or RegistryConfig()
        self._incarnation = incarnation
        self._records: dict[str, AttemptRecord] = {}
        # Ids that must not be run, with their expiry and whether they were run.
        self._closed: dict[str, tuple[float, bool]] = {}
        self._running = 0
        self._ended_bytes = 0

    @property
    def running(self) -> tuple[str, ...]:
        """The ids of the attempts that have not ended."""
        return tuple(r.attempt_id for r in self._records.values() if not r.ended)

    def is_running(self, attempt_id: str) -> bool:
        """Tells whether the attempt was started and has not ended."""
        record = self._records.get(attempt_id)
        return record is not None and not record.ended

    def knows(self, attempt_id: str) -> bool:
        """Tells whether the attempt was started, abandoned or asked about before."""
        return attempt_id in self._records or attempt_id in self._closed

    def open(self, req: AttemptRequest, now: float) -> Opened:
        """Starts or joins an attempt, or refuses it with a typed error."""
        error = self._refusal(req, now)
        if error is not None:
            return Opened(OpenedKind.REFUSED, error.report())
        if req.attempt_id in self._records:
            return Opened(OpenedKind.JOINED)
        self._records[req.attempt_id] = AttemptRecord(req.attempt_id, req.alone)
        self._running += 1
        return Opened(OpenedKind.STARTED)

    def append(
        self,
        attempt_id: str,
        payload: bytes,
        tokens: int = 0,
        status: int = 200,
        content_type: str = "",
    ) -> Frame:
        """Adds a piece of the answer; raises `NotRunningError` after the end."""
        record = self._running_record(attempt_id)
        frame = record.append(payload, tokens, status, content_type)
        record.trim(self._cfg.max_attempt_bytes)
        return frame

    def finish(self, attempt_id: str) -> Frame:
        """Ends an attempt whose answer is whole."""
        return self._end(attempt_id, None)

    def fail(self, attempt_id: str, error: ErrorReport) -> Frame:
        """Ends an attempt with an error."""
        return self._end(attempt_id, error)

    def frames_from(self, attempt_id: str, sequence: int) -> tuple[Frame, ...]:
        """Returns the frames of an attempt from ``sequence`` on."""
        record = self._records.get(attempt_id)
        return () if record is None else record.frames_from(sequence)

    def abandon(self, attempt_id: str, now: float) -> bool:
        """Forgets an attempt that nobody waits for.

        Returns whether it was running and has to be cancelled. The id is refused
        from now on, also if its order arrives later.
        """
        record = self._records.get(attempt_id)
        if record is None:
            if len(self._closed) < self._cfg.max_ids:
                self._closed.setdefault(attempt_id, (now + self._cfg.id_s, False))
            return False
        was_running = not record.ended
        self._forget(record, now)
        return was_running

    def expire(self, now: float) -> None:
        """Forgets ended attempts and ids that have been kept long enough."""
        for record in [r for r in self._records.values() if r.ended]:
            if record.ended_at is None:
                record.ended_at = now
            elif now - record.ended_at >= self._cfg.keep_s:
                self._forget(record, now)
        for attempt_id in [k for k, (at, _) in self._closed.items() if at <= now]:
            del self._closed[attempt_id]

    def _refusal(self, req: AttemptRequest, now: float) -> PomeloshiftError | None:
        closed = self._closed.get(req.attempt_id)
        if closed is not None:
            return _closed_error(was_run=closed[1])
        record = self._records.get(req.attempt_id)
        if record is not None:
            if req.next_sequence < record.first_kept:
                return AttemptEndedError("the asked part of the answer is not kept")
            return None
        if req.join_only or req.next_sequence > 0:
            return self._refuse_unknown(req, now)
        return self._refuse_start(req, now)

    def _refuse_unknown(self, req: AttemptRequest, now: float) -> PomeloshiftError:
        if req.incarnation != self._incarnation:
            return AttemptUnsettledError("an earlier incarnation may have run it")
        if len(self._closed) >= self._cfg.max_ids:
            return AttemptUnsettledError("too many attempts are refused already")
        self._closed[req.attempt_id] = (now + self._cfg.id_s, False)
        return AttemptUnknownError("the attempt was not run")

    def _refuse_start(self, req: AttemptRequest, now: float) -> PomeloshiftError | None:
        if self._running >= self._cfg.max_running or not self._has_room(now):
            return RegistryFullError(
                "too many attempts are running", retry_after_s=RETRY_AFTER_S
            )
        if req.alone and any(r.alone and not r.ended for r in self._records.values()):
            return SuspectRunningError(
                "another suspect is running", retry_after_s=RETRY_AFTER_S
            )
        return None

    def _has_room(self, now: float) -> bool:
        if len(self._records) + len(self._closed) >= self._cfg.max_ids:
            self.expire(now)
        return len(self._records) + len(self._closed) < self._cfg.max_ids

    def _running_record(self, attempt_id: str) -> AttemptRecord:
        record = self._records.get(attempt_id)
        if record is None or record.ended:
            raise NotRunningError(f"attempt {attempt_id} is not running")
        return record

    def _end(self, attempt_id: str, error: ErrorReport | None) -> Frame:
        record = self._running_record(attempt_id)
        frame = record.end(error)
        self._running -= 1
        self._ended_bytes += record.kept_bytes
        self._trim_ended()
        return frame

    def _trim_ended(self) -> None:
        for record in self._records.values():
            if self._ended_bytes <= self._cfg.max_ended_bytes:
                return
            if record.ended and record.kept_bytes:
                before = record.kept_bytes
                record.trim(0)
                self._ended_bytes -= before - record.kept_bytes

    def _forget(self, record: AttemptRecord, now: float) -> None:
        del self._records[record.attempt_id]
        if record.ended:
            self._ended_bytes -= record.kept_bytes
        else:
            self._running -= 1
        self._closed[record.attempt_id] = (now + self._cfg.id_s, True)


def _closed_error(*, was_run: bool) -> PomeloshiftError:
    if was_run:
        return AttemptEndedError("the attempt was run and is no longer kept")
    return AttemptUnknownError("the attempt was not run and is refused")
