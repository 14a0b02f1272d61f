"""Runs each attempt id at most once at a sidecar."""

from ..errors import ErrorReport, PomeloshiftError
from ..wire import AttemptRequest, Frame
from ._errors import (
    AnswerDiscardedError,
    AttemptMayHaveRunError,
    AttemptUnknownError,
    NotRunningError,
    RegistryFullError,
    SuspectRunningError,
)
from ._open_result import OpenOutcome, OpenResult
from ._record import AttemptRecord
from ._registry_config import RegistryConfig

RETRY_AFTER_S = 1.0


class AttemptRegistry:
    """The attempts of one incarnation of a sidecar.

    registry = AttemptRegistry(incarnation=3)
    if registry.open(req, now).kind is OpenOutcome.STARTED:
        frame = registry.append(req.attempt_id, b"data: ...", tokens=1)
        last = registry.finish(req.attempt_id)
    """

    def __init__(
        self, cfg: RegistryConfig | None = None, *, incarnation: int = 0
    ) -> None:
        self._cfg = cfg or RegistryConfig()
        self._incarnation = incarnation
        self._records: dict[str, AttemptRecord] = {}
        # Maps ids that must not be run to their expiry and whether they were run.
        self._refused_ids: dict[str, tuple[float, bool]] = {}
        self._running = 0
        self._ended_bytes = 0

    @property
    def running(self) -> tuple[str, ...]:
        """The ids of the attempts that have not ended."""
        return tuple(r.attempt_id for r in self._records.values() if not r.is_ended)

    def is_running(self, attempt_id: str) -> bool:
        """Returns whether the attempt was started and has not ended."""
        record = self._records.get(attempt_id)
        return record is not None and not record.is_ended

    def is_known(self, attempt_id: str) -> bool:
        """Returns whether the id is still held, as started or as refused."""
        return attempt_id in self._records or attempt_id in self._refused_ids

    def open(self, req: AttemptRequest, now: float) -> OpenResult:
        """Starts or joins an attempt, or refuses it with a typed error."""
        error = self._refusal(req, now)
        if error is not None:
            return OpenResult(OpenOutcome.REFUSED, error.report())
        if req.attempt_id in self._records:
            return OpenResult(OpenOutcome.JOINED)
        self._records[req.attempt_id] = AttemptRecord(req.attempt_id, req.alone)
        self._running += 1
        return OpenResult(OpenOutcome.STARTED)

    def append(
        self,
        attempt_id: str,
        payload: bytes,
        tokens: int = 0,
        status: int = 200,
        content_type: str = "",
    ) -> Frame:
        """Adds a chunk of the response.

        Raises `NotRunningError` if the attempt is not running.
        """
        record = self._running_record(attempt_id)
        frame = record.append(payload, tokens, status, content_type)
        record.trim(self._cfg.max_attempt_bytes)
        return frame

    def finish(self, attempt_id: str) -> Frame:
        """Ends an attempt whose response is complete."""
        return self._end(attempt_id, None)

    def fail(self, attempt_id: str, error: ErrorReport) -> Frame:
        """Ends an attempt with an error."""
        return self._end(attempt_id, error)

    def frames_from(self, attempt_id: str, sequence: int) -> tuple[Frame, ...]:
        """Returns the frames from ``sequence`` on; none for an unknown attempt."""
        record = self._records.get(attempt_id)
        return () if record is None else record.frames_from(sequence)

    def abandon(self, attempt_id: str, now: float) -> bool:
        """Removes an attempt whose response is no longer needed.

        Returns whether it was running and has to be cancelled. Until the id expires,
        requests with it are refused, even one that arrives only after this call.
        """
        record = self._records.get(attempt_id)
        if record is None:
            if len(self._refused_ids) < self._cfg.max_ids:
                self._refused_ids.setdefault(
                    attempt_id, (now + self._cfg.id_retention_s, False)
                )
            return False
        was_running = not record.is_ended
        self._discard(record, now)
        return was_running

    def expire(self, now: float) -> None:
        """Removes ended attempts and refused ids whose retention has passed."""
        for record in [r for r in self._records.values() if r.is_ended]:
            if record.ended_at is None:
                record.ended_at = now
            elif now - record.ended_at >= self._cfg.retention_s:
                self._discard(record, now)
        for attempt_id in [k for k, (at, _) in self._refused_ids.items() if at <= now]:
            del self._refused_ids[attempt_id]

    def _refusal(self, req: AttemptRequest, now: float) -> PomeloshiftError | None:
        refused = self._refused_ids.get(req.attempt_id)
        if refused is not None:
            return _refused_id_error(was_run=refused[1])
        record = self._records.get(req.attempt_id)
        if record is not None:
            if req.next_sequence < record.first_sequence:
                return AnswerDiscardedError(
                    "the requested part of the response is no longer held"
                )
            return None
        if req.join_only or req.next_sequence > 0:
            return self._refuse_unknown(req, now)
        return self._refuse_start(req, now)

    def _refuse_unknown(self, req: AttemptRequest, now: float) -> PomeloshiftError:
        if req.incarnation != self._incarnation:
            return AttemptMayHaveRunError(
                "another incarnation of the sidecar may have run the attempt"
            )
        if len(self._refused_ids) >= self._cfg.max_ids:
            return AttemptMayHaveRunError(
                "too many refused attempts; a late request may still start this one"
            )
        self._refused_ids[req.attempt_id] = (now + self._cfg.id_retention_s, False)
        return AttemptUnknownError("the attempt was not run")

    def _refuse_start(self, req: AttemptRequest, now: float) -> PomeloshiftError | None:
        if self._running >= self._cfg.max_running or not self._has_capacity(now):
            return RegistryFullError(
                "too many attempts are running", retry_after_s=RETRY_AFTER_S
            )
        if req.alone and any(
            r.alone and not r.is_ended for r in self._records.values()
        ):
            return SuspectRunningError(
                "another suspect request is running", retry_after_s=RETRY_AFTER_S
            )
        return None

    def _has_capacity(self, now: float) -> bool:
        if len(self._records) + len(self._refused_ids) >= self._cfg.max_ids:
            self.expire(now)
        return len(self._records) + len(self._refused_ids) < self._cfg.max_ids

    def _running_record(self, attempt_id: str) -> AttemptRecord:
        record = self._records.get(attempt_id)
        if record is None or record.is_ended:
            raise NotRunningError(f"attempt {attempt_id} is not running")
        return record

    def _end(self, attempt_id: str, error: ErrorReport | None) -> Frame:
        record = self._running_record(attempt_id)
        frame = record.end(error)
        self._running -= 1
        self._ended_bytes += record.held_bytes
        self._trim_ended()
        return frame

    def _trim_ended(self) -> None:
        for record in self._records.values():
            if self._ended_bytes <= self._cfg.max_ended_bytes:
                return
            if record.is_ended and record.held_bytes:
                before = record.held_bytes
                record.trim(0)
                self._ended_bytes -= before - record.held_bytes

    def _discard(self, record: AttemptRecord, now: float) -> None:
        del self._records[record.attempt_id]
        if record.is_ended:
            self._ended_bytes -= record.held_bytes
        else:
            self._running -= 1
        self._refused_ids[record.attempt_id] = (now + self._cfg.id_retention_s, True)


def _refused_id_error(*, was_run: bool) -> PomeloshiftError:
    if was_run:
        return AnswerDiscardedError(
            "the attempt was run and its response is no longer held"
        )
    return AttemptUnknownError("the attempt was not run and is refused")
