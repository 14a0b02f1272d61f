"""The HTTP interface on which entries start, join and abandon attempts."""

import hmac
from collections.abc import Callable
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from ..attempts import AttemptRegistry, OpenOutcome
from ..errors import ErrorReport
from ..errors._error import HTTP_STATUS_BY_CODE
from ..net import Clock
from ..net._auth_errors import UnauthenticatedError
from ..net._http import handles_errors, read_body
from ..wire import AttemptRequest, Frame, WireError, encode_frame

KEY_HEADER = "X-Pomeloshift-Key"
MESSAGE_CONTENT_TYPE = b"application/msgpack"


class Subscribers:
    """The open connections that receive the frames of each attempt."""

    def __init__(self) -> None:
        self._by_attempt: dict[str, list[Request]] = {}

    def add(self, attempt_id: str, req: Request) -> None:
        """Subscribes a connection to the attempt's frames."""
        self._by_attempt.setdefault(attempt_id, []).append(req)

    def remove(self, attempt_id: str, req: Request) -> None:
        """Removes a closed connection; does nothing if it is not subscribed."""
        reqs = self._by_attempt.get(attempt_id, [])
        if req in reqs:
            reqs.remove(req)
        if not reqs:
            self._by_attempt.pop(attempt_id, None)

    def has_any(self, attempt_id: str) -> bool:
        """Returns whether any connection is subscribed to the attempt."""
        return attempt_id in self._by_attempt

    def publish(self, frame: Frame) -> None:
        """Sends a frame to all subscribers; the last frame ends their responses."""
        data = encode_frame(frame)
        for req in list(self._by_attempt.get(frame.attempt_id, ())):
            req.write(data)
            if frame.total is not None:
                self.remove(frame.attempt_id, req)
                req.finish()


class AttemptsResource:
    """Serves ``/attempts`` to entries.

    ``start`` runs an attempt that the registry has just accepted, and ``stop``
    cancels one that its entry abandoned. ``refusal`` returns the error with which
    new attempts are rejected at present, or `None`.
    """

    app = Klein()

    def __init__(
        self,
        registry: AttemptRegistry,
        subscribers: Subscribers,
        clock: Clock,
        internal_key: str,
        start: Callable[[AttemptRequest], None],
        stop: Callable[[str], None],
        refusal: Callable[[], ErrorReport | None],
    ) -> None:
        self._registry = registry
        self._subscribers = subscribers
        self._clock = clock
        self._internal_key = internal_key
        self._start = start
        self._stop = stop
        self._refusal = refusal

    @property
    def resource(self) -> Any:
        """The twisted resource; its routes include the ``/attempts`` prefix."""
        return self.app.resource()

    @app.route("/attempts", methods=["POST"])
    @handles_errors
    async def open(self, req: Request) -> Any:
        """Starts or joins an attempt and streams its frames."""
        self._check_key(req)
        attempt = _decode(req, AttemptRequest)
        refusal = self._refusal()
        if refusal is not None and not self._is_known(attempt):
            return _refuse(req, refusal)
        opened = self._registry.open(attempt, self._clock.monotonic())
        if opened.error is not None:
            return _refuse(req, opened.error)
        if opened.kind is OpenOutcome.STARTED:
            self._start(attempt)
        return self._stream(req, attempt)

    @app.route("/attempts/abandon", methods=["POST"])
    @handles_errors
    async def abandon(self, req: Request) -> bytes:
        """Stops an attempt whose caller has disconnected."""
        self._check_key(req)
        self._stop(_decode(req, str))
        return b""

    def _stream(self, req: Request, attempt: AttemptRequest) -> Any:
        req.setHeader(b"content-type", MESSAGE_CONTENT_TYPE)
        # An empty write sends the headers, which acknowledge the attempt.
        req.write(b"")
        done: Deferred[None] = Deferred()
        attempt_id = attempt.attempt_id
        frames = self._registry.frames_from(attempt_id, attempt.next_sequence)
        for frame in frames:
            req.write(encode_frame(frame))
        if frames and frames[-1].total is not None:
            return b""
        self._subscribers.add(attempt_id, req)
        closed = req.notifyFinish()
        closed.addBoth(lambda _: self._subscribers.remove(attempt_id, req))
        closed.addBoth(lambda _: done.callback(None))
        return done

    def _is_known(self, attempt: AttemptRequest) -> bool:
        if attempt.join_only:
            return True
        return bool(self._registry.is_running(attempt.attempt_id)) or bool(
            self._registry.frames_from(attempt.attempt_id, 0)
        )

    def _check_key(self, req: Request) -> None:
        sent = req.getHeader(KEY_HEADER) or ""
        if not hmac.compare_digest(sent, self._internal_key):
            raise UnauthenticatedError(
                "the request lacks the deployment's internal key"
            )


def _decode(req: Request, kind: Any) -> Any:
    try:
        return msgspec.msgpack.decode(read_body(req), type=kind)
    except msgspec.DecodeError as exc:
        raise WireError(f"the message cannot be decoded: {exc}") from exc


def _refuse(req: Request, error: ErrorReport) -> bytes:
    req.setResponseCode(HTTP_STATUS_BY_CODE[error.code])
    req.setHeader(b"content-type", MESSAGE_CONTENT_TYPE)
    return msgspec.msgpack.encode(error)
