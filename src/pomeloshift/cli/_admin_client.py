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


class AdminRefusedError(PomeloshiftError):
    """The administration API answered with an error; ``body`` is its JSON form."""

    def __init__(self, body: dict[str, Any]) -> None:
        super().__init__(body.get("message", "no message"))
        self.code = ErrorCode(body.get("code", ErrorCode.INTERNAL.value))
        self.ran = Ran(body.get("ran", Ran.UNKNOWN.value))
        self.body = body


class EntryUnreachableError(PomeloshiftError):
    """No entry answered at the address."""

    code = ErrorCode.NOT_READY


class AdminClient:
    """Calls one entry's administration API with an operator's token.

    client = AdminClient("http://127.0.0.1:8080", token, reactor)
    status = await client.call("GET", "/status", StatusView)
    """

    def __init__(self, entry_url: str, token: str, reactor: Any) -> None:
        self._base = entry_url.rstrip("/") + PREFIX
        self._token = token
        self._agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        self._reactor = reactor

    async def call(
        self, method: str, path: str, answer: type[T], body: Any = None
    ) -> T:
        """Returns the decoded answer.

        Raises `AdminRefusedError` for an error answer and `EntryUnreachableError`
        if there was none.
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
            raise EntryUnreachableError(f"no answer from {self._base}: {exc}") from exc
        return _decode(response.code, content, answer)

    async def sleep(self, seconds: float) -> None:
        """Waits on the client's reactor."""
        fired: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, fired.callback, None)
        await fired

    def seconds(self) -> float:
        """Returns the reactor's time."""
        return self._reactor.seconds()


def _decode(status: int, content: bytes, answer: type[T]) -> T:
    try:
        if status < 300:
            return msgspec.json.decode(content, type=answer)
        error = msgspec.json.decode(content)["error"]
    except (msgspec.DecodeError, KeyError, TypeError) as exc:
        raise EntryUnreachableError(
            f"the address answers with status {status}, but not as an entry does"
        ) from exc
    raise AdminRefusedError(error)
