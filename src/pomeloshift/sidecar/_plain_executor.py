"""Forwards calls to a plain service that runs beside the sidecar."""

from typing import Any

from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.web.client import HTTPConnectionPool, RequestNotSent

from ..errors import ErrorCode, ErrorReport, PomeloshiftError, Ran
from ..http1 import is_final_status
from ..model import LoadReport
from ..net._bounded_body import read_bounded
from ..net._watched_agent import watched_agent
from ..wire import MAX_FRAME_BYTES, AttemptRequest
from ._frame_sink import FrameSink

CONNECT_TIMEOUT_S = 2.0
NEVER_SENT = (ConnectError, ConnectionRefusedError, RequestNotSent)
# A response is sent to the entry in one frame, which also holds a few fields.
MAX_BODY_BYTES = MAX_FRAME_BYTES - 64 * 1024
FORWARDED_HEADERS = ("idempotency-key", "accept")


class UnknownStatusError(PomeloshiftError):
    """A service responded with a status that HTTP does not have."""

    code = ErrorCode.BACKEND_SERVER_LOST
    ran = Ran.UNKNOWN


class PlainExecutor:
    """Executes the calls of one plain service.

    Each call is sent at most once: the connection pool does not retry requests, and
    a call whose response was lost fails with ``ran: unknown``.
    """

    def __init__(self, base_url: str, sink: FrameSink, reactor: Any) -> None:
        self._base_url = base_url.rstrip("/")
        self._sink = sink
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        agent: Any
        agent, self._end = watched_agent(reactor, self._pool, CONNECT_TIMEOUT_S)
        self._http = HTTPClient(agent)
        self._running: dict[str, Deferred[None]] = {}
        self._sequence = 0

    @property
    def is_idle(self) -> bool:
        """Whether no call is running."""
        return not self._running

    def load(self) -> LoadReport:
        """Returns the load, where each running call counts as one token."""
        self._sequence += 1
        running = len(self._running)
        return LoadReport(
            online_streams=running, online_tokens=running, sequence=self._sequence
        )

    def offer(self, req: AttemptRequest) -> None:
        """Sends the call to the service."""
        call = Deferred.fromCoroutine(self._call(req))
        self._running[req.attempt_id] = call
        call.addErrback(self._fail, req.attempt_id)
        call.addBoth(self._remove, req.attempt_id)

    def _remove(self, _: Any, attempt_id: str) -> None:
        self._running.pop(attempt_id, None)

    def withdraw(self, attempt_id: str) -> None:
        """Lets the call run on, because cancelling would not undo its effects."""

    async def close(self) -> None:
        """Closes the idle connections to the service."""
        await self._pool.closeCachedConnections()

    async def _call(self, req: AttemptRequest) -> None:
        headers: dict[bytes | str, bytes | str] = {
            name: value
            for name, value in req.headers.items()
            if name.lower() in FORWARDED_HEADERS
        }
        headers["content-type"] = req.content_type
        headers["x-request-id"] = req.request_id
        response = await self._http.request(
            req.method,
            self._base_url + req.path,
            headers=headers,
            data=req.body or None,
            timeout=req.deadline_s,
            unbuffered=True,
        )
        reading = read_bounded(response, MAX_BODY_BYTES, self._end)
        body = await reading.addTimeout(req.deadline_s, self._reactor)
        if not is_final_status(response.code):
            raise UnknownStatusError(f"status {response.code}")
        kinds = response.headers.getRawHeaders("content-type", [""])
        self._sink.append(req.attempt_id, body, 0, response.code, kinds[0])
        self._sink.finish(req.attempt_id)

    def _fail(self, failure: Any, attempt_id: str) -> None:
        never_sent = failure.check(*NEVER_SENT) is not None
        error = ErrorReport(
            ErrorCode.BACKEND_SERVER_LOST,
            f"the service did not respond: {failure.type.__name__}",
            Ran.NO if never_sent else Ran.UNKNOWN,
        )
        self._sink.fail(attempt_id, error)
