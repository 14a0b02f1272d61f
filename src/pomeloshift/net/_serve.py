"""HTTP servers on top of Twisted's web server."""

from collections.abc import Callable
from io import BytesIO
from typing import Any

import attrs
import msgspec
from twisted.internet.defer import maybeDeferred
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.web.http import HTTPChannel
from twisted.web.resource import IResource
from twisted.web.server import Request, Site
from zope.interface import implementer

from ..errors import ErrorCode, PomeloshiftError, Ran

MAX_BODY_BYTES = 256 * 1024 * 1024
IDLE_TIMEOUT_S = 75


class BodyTooLargeError(PomeloshiftError):
    """The body of a request is longer than this interface accepts."""

    code = ErrorCode.BODY_TOO_LARGE
    ran = Ran.NO


class TruncatedRequestError(PomeloshiftError):
    """The caller closed its side before the complete request had arrived."""

    code = ErrorCode.INVALID_REQUEST
    ran = Ran.NO


class MemoryRequest(Request):
    """A request whose body is kept in memory, because instances have no disk."""

    is_received = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepares to receive a body of ``length`` bytes."""
        self.content = BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self._reject(length)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Marks the request as received and handles it."""
        self.is_received = True
        super().requestReceived(command, path, version)

    def _reject(self, length: int) -> None:
        error = BodyTooLargeError(
            f"the body has {length} bytes; at most {MAX_BODY_BYTES} are accepted"
        )
        _respond_and_close(self.channel, b"413 Content Too Large", error)


def _respond_and_close(channel: Any, status: bytes, error: PomeloshiftError) -> None:
    """Sends an error response to an invalid request and closes its connection."""
    body = msgspec.json.encode(error.report().as_json())
    lines = [
        b"HTTP/1.1 " + status,
        b"Content-Type: application/json",
        b"Connection: close",
        b"Content-Length: " + str(len(body)).encode(),
        b"",
        body,
    ]
    channel.transport.write(b"\r\n".join(lines))
    channel.transport.loseConnection()


@attrs.define
class Listener:
    """A listening HTTP port."""

    host: str
    port: int
    _port: Any = attrs.field(alias="port_handle")
    _channels: set[HTTPChannel] = attrs.field(factory=set, alias="channels")

    @property
    def address(self) -> str:
        """The ``host:port`` that clients connect to."""
        return f"{self.host}:{self.port}"

    async def stop_accepting(self) -> None:
        """Closes the port, unless it is closed already; connections stay open."""
        await maybeDeferred(self._port.stopListening)

    async def stop(self) -> None:
        """Closes the port and all its connections."""
        await self.stop_accepting()
        for channel in list(self._channels):
            transport = channel.transport
            if transport is not None:
                transport.abortConnection()


@implementer(IHalfCloseableProtocol)
class _TrackedChannel(HTTPChannel):
    """A channel that is in its site's set of channels while it is open.

    A caller that half-closes its connection in the middle of a request gets an error
    response. A half-close after the request is treated as a disconnect, since it
    cannot be told apart from a full close.
    """

    channels: set[HTTPChannel]

    def connectionMade(self) -> None:  # noqa: N802
        self.channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.channels.discard(self)
        super().connectionLost(reason)

    def readConnectionLost(self) -> None:  # noqa: N802
        request: Any = self.requests[-1] if self.requests else None
        if request is None or request.is_received:
            self._abort()
            return
        error = TruncatedRequestError(
            "the connection was closed before the complete request arrived"
        )
        _respond_and_close(self, b"400 Bad Request", error)

    def writeConnectionLost(self) -> None:  # noqa: N802
        self._abort()

    def _abort(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()


def serve(reactor: Any, resource: IResource, host: str, port: int = 0) -> Listener:
    """Serves ``resource`` on ``host`` and returns the listener.

    With port 0 the operating system chooses the port.
    """
    channels: set[HTTPChannel] = set()
    site = Site(resource, requestFactory=MemoryRequest, timeout=IDLE_TIMEOUT_S)
    site.protocol = _channel_factory(channels)  # type: ignore[assignment]
    handle = reactor.listenTCP(port, site, interface=host)
    return Listener(host, handle.getHost().port, handle, channels)


def _channel_factory(channels: set[HTTPChannel]) -> Callable[[], HTTPChannel]:
    def build() -> HTTPChannel:
        channel = _TrackedChannel()
        channel.channels = channels
        return channel

    return build
