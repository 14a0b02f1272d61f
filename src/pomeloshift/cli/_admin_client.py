"""A client of the administration API."""

from typing import Any, TypeVar

import msgspec
import treq
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, ResponseFailed
from twisted.web.http_headers import Headers

from ..admin import PREFIX
from ..errors import ErrorCode, PomeloshiftError, Ran

CONNECT_TIMEOUT_S = 5
T = TypeVar("T")


class AdminResponseError(PomeloshiftError):
    """The administration API responded with an error; ``body`` is its JSON form."""

    def __init__(self, body: dict[str, Any]) -> None:
        super().__init__(body.get("message", "no message"))
        self.code = ErrorCode(body.get("code", ErrorCode.INTERNAL.value))
        self.ran = Ran(body.get("ran", Ran.UNKNOWN.value))
        self.body = body


class EntryUnreachableError(PomeloshiftError):
    """The address sent no response, or a response that is not from an entry."""

    code = ErrorCode.NOT_READY


class AdminClient:
    """Calls one entry's administration API with an operator's token.

    Example: ``await AdminClient(url, token, reactor).call("GET", "/status",
    StatusView)``, where ``url`` is like ``http://127.0.0.1:8080``.
    """

    def __init__(self, entry_url: str, token: str, reactor: Any) -> None:
        self._base = entry_url.rstrip("/") + PREFIX
        self._token = token
        self._agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        self._reactor = reactor

    async def call(
        self, method: str, path: str, response_type: type[T], body: Any = None
    ) -> T:
        """Returns the response body, decoded as ``response_type``.

        ``path`` follows the API's prefix. Raises `AdminResponseError` for an error
        response and `EntryUnreachableError` if no entry responded.
        """
        try:
            response = await treq.request(
                method,
                self._base + path,
                agent=self._agent,
                headers=Headers({"Authorization": [f"Bearer {self._token}"]}),
                data=b"" if body is None else msgspec.json.encode(body),
            )
            content = await response.content()
        except (ConnectError, ResponseFailed) as exc:
            raise EntryUnreachableError(
                f"no response from {self._base}: {exc}"
            ) from exc
        return _decode(response.code, content, response_type)

    async def sleep(self, seconds: float) -> None:
        """Waits without blocking the client's reactor."""
        fired: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, fired.callback, None)
        await fired

    def seconds(self) -> float:
        """Returns the reactor's time in seconds."""
        return self._reactor.seconds()


def _decode(status: int, content: bytes, response_type: type[T]) -> T:
    try:
        if status < 300:
            return msgspec.json.decode(content, type=response_type)
        error = msgspec.json.decode(content)["error"]
    except (msgspec.DecodeError, KeyError, TypeError) as exc:
        raise EntryUnreachableError(
            f"the server at the address is not an entry: status {status}, unknown body"
        ) from exc
    raise AdminResponseError(error)
