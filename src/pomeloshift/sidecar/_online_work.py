"""Adapts an attempt of an online request to the `Work` interface."""

from ..admission import StreamOffered
from ..errors import ErrorCode, ErrorReport, Ran
from ..wire import AttemptRequest
from ._answer_assembler import AnswerAssembler, request_stream
from ._frame_sink import FrameSink

STREAM_CONTENT_TYPE = "text/event-stream"
JSON_CONTENT_TYPE = "application/json"
STATUS_OK = 200


class OnlineWork:
    """Turns the engine's events into numbered frames of the attempt.

    The engine always streams, because admission counts tokens as they arrive. A
    non-streaming attempt gets one frame with the joined response.
    """

    def __init__(self, req: AttemptRequest, sink: FrameSink) -> None:
        self._req = req
        self._sink = sink
        self._assembler = None if req.stream else AnswerAssembler()
        self.stream_id = req.attempt_id
        self.is_batch = False
        self.path = req.path
        self.body = req.body if req.stream else request_stream(req.body)

    def offer(self, now: float) -> StreamOffered:
        """Returns the event that offers this attempt to admission."""
        return StreamOffered(
            self.stream_id,
            self._req.priority,
            self._req.prompt_tokens,
            self._req.max_tokens,
            now + self._req.deadline_s,
            self._req.workspace,
            self._req.alone,
        )

    def handle_events(self, payload: bytes, tokens: int) -> None:
        """Publishes the events as a frame, or adds them to the joined response."""
        if self._assembler is not None:
            self._assembler.feed(payload)
            return
        self._append(payload, tokens, STREAM_CONTENT_TYPE)

    def restart(self) -> None:
        """Fails the attempt, because published frames cannot be withdrawn."""
        message = "the engine lost the attempt's progress"
        self.fail(ErrorReport(ErrorCode.BACKEND_SERVER_LOST, message, Ran.YES))

    def finish(self, status: int, content_type: str) -> None:
        """Publishes the joined response, if any, and the last frame."""
        if self._assembler is not None:
            self._append(self._assembler.response(), 0, JSON_CONTENT_TYPE)
        self._sink.finish(self.stream_id)

    def fail(self, error: ErrorReport) -> None:
        """Publishes the error as the last frame."""
        self._sink.fail(self.stream_id, error)

    def release(self, resume: bytes) -> None:
        """Fails the attempt, because only batch leases can be released."""
        message = "the backend server stopped the attempt"
        self.fail(ErrorReport(ErrorCode.DRAINING, message, Ran.YES))

    def _append(self, payload: bytes, tokens: int, content_type: str) -> None:
        self._sink.append(self.stream_id, payload, tokens, STATUS_OK, content_type)
