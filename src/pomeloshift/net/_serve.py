"""Listens for HTTP connections."""

from collections.abc import Callable
from io import BytesIO
from typing import Any

import attrs
from twisted.internet.defer import maybeDeferred
from twisted.web.http import HTTPChannel
from twisted.web.resource import IResource
from twisted.web.server import Request, Site

from ..errors import ErrorCode, PomeloshiftError, Ran

MAX_BODY_BYTES = 256 * 1024 * 1024
IDLE_TIMEOUT_S = 75


class BodyTooLargeError(PomeloshiftError):
    """The body of a request is longer than this interface accepts."""

    code = ErrorCode.BODY_TOO_LARGE
    ran = Ran.NO


class MemoryRequest(Request):
    """A request whose body is kept in memory, because instances have no disk."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepares to receive a body of ``length`` bytes."""
        self.content = BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse(length)

    def _refuse(self, length: int) -> None:
        error = BodyTooLargeError(
            f"the body has {length} bytes; at most {MAX_BODY_BYTES} are accepted"
        )
        import msgspec

        body = msgspec.json.encode(error.report().as_json())
        channel: Any = self.channel
        channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\n"
            b"Content-Type: application/json\r\n"
            b"Connection: close\r\n"
            b"Content-Length: " + str(len(body)).encode() + b"\r\n\r\n" + body
        )
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
        """Closes the port, unless it is closed already; open connections go on."""
        await maybeDeferred(self._port.stopListening)

    async def stop(self) -> None:
        """Closes the port and all its connections."""
        await self.stop_accepting()
        for channel in list(self._channels):
            transport = channel.transport
            if transport is not None:
                transport.abortConnection()


class _TrackedChannel(HTTPChannel):
    """Keeps a site's set of open channels up to date."""

    channels: set[HTTPChannel]

    def connectionMade(self) -> None:  # noqa: N802
        self.channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.channels.discard(self)
        super().connectionLost(reason)


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
