"""Sends control messages to other processes and awaits their replies."""

import asyncio
from collections.abc import Iterable
from typing import Any

from loguru import logger
from pynng import NNGException, Req0
from twisted.internet.defer import Deferred

from ..wire import Refusal, decode_message, encode_message
from ._control_errors import (
    ControlRefusedError,
    ControlTimeoutError,
    ControlUnreachableError,
    SignatureError,
)
from ._control_signer import ControlSigner
from ._control_tasks import TaskGroup
from ._control_threads import limit_threads

NO_RESEND_MS = -1
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class _Channel:
    """The socket to one peer and the number of requests pending on it."""

    def __init__(self, url: str) -> None:
        self.socket = Req0(
            resend_time=NO_RESEND_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self.pending = 0
        self.is_retired = False
        self.socket.dial(url, block=False)

    def retire(self) -> None:
        """Closes the socket once no request is pending on it."""
        self.is_retired = True
        self._close_if_done()

    def end_request(self) -> None:
        """Called when a pending request has ended."""
        self.pending -= 1
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self.is_retired and self.pending == 0:
            self.socket.close()


class ControlClient:
    """Sends a control message to a peer and returns its reply.

        reply = await client.request(url, message, timeout_s=1.0)

    A message is sent at most once. After a timeout, the next message to that peer
    uses a new connection, since the old one may be dead without having been closed.
    """

    def __init__(self, key: bytes, reactor: Any) -> None:
        limit_threads()
        self._signer = ControlSigner(key)
        self._loop: asyncio.AbstractEventLoop = reactor._asyncioEventloop
        self._tasks = TaskGroup(self._loop)
        self._channels: dict[str, _Channel] = {}

    async def request(self, url: str, message: Any, timeout_s: float) -> Any:
        """Returns the peer's reply; for coroutines that await deferreds.

        Raises `ControlUnreachableError` if the message was not sent,
        `ControlTimeoutError` if its outcome is unknown, and `ControlRefusedError` if
        the peer replied with a `Refusal`.
        """
        task = self._tasks.start(self._request(url, message, timeout_s))
        reply = await Deferred.fromFuture(task)
        if isinstance(reply, Refusal):
            raise ControlRefusedError(reply.error)
        return reply

    def retain(self, urls: Iterable[str]) -> None:
        """Closes the connections to all peers except those at ``urls``."""
        retained = set(urls)
        for url in [url for url in self._channels if url not in retained]:
            self._channels.pop(url).retire()

    async def close(self) -> None:
        """Closes all connections and cancels pending requests."""
        await Deferred.fromFuture(self._loop.create_task(self._tasks.cancel()))
        for channel in self._channels.values():
            channel.socket.close()
        self._channels.clear()

    async def _request(self, url: str, message: Any, timeout_s: float) -> Any:
        channel = self._channel(url)
        channel.pending += 1
        try:
            return await self._exchange(channel, url, message, timeout_s)
        except ControlTimeoutError:
            self._replace(url, channel)
            raise
        finally:
            channel.end_request()

    def _channel(self, url: str) -> _Channel:
        channel = self._channels.get(url)
        if channel is None:
            channel = _Channel(url)
            self._channels[url] = channel
        return channel

    def _replace(self, url: str, channel: _Channel) -> None:
        if self._channels.get(url) is channel:
            del self._channels[url]
            channel.retire()
            logger.warning("event=control_peer_silent url={}", url)

    async def _exchange(
        self, channel: _Channel, url: str, message: Any, timeout_s: float
    ) -> Any:
        deadline = self._loop.time() + timeout_s
        nonce = self._signer.make_nonce()
        data = self._signer.sign_request(nonce, encode_message(message))
        context = _open_context(channel.socket, url)
        try:
            await self._send(context, data, url, timeout_s)
            remaining_s = max(0.0, deadline - self._loop.time())
            reply = await self._receive(context, url, remaining_s)
        finally:
            _close_context(context)
        return self._decode_reply(nonce, reply, url)

    async def _send(
        self, context: Any, data: bytes, url: str, timeout_s: float
    ) -> None:
        try:
            await asyncio.wait_for(context.asend(data), timeout_s)
        except TimeoutError as exc:
            raise ControlUnreachableError(f"no connection to {url}") from exc
        except NNGException as exc:
            raise ControlTimeoutError(f"sending to {url} failed: {exc}") from exc

    async def _receive(self, context: Any, url: str, timeout_s: float) -> bytes:
        try:
            return await asyncio.wait_for(context.arecv(), timeout_s)
        except TimeoutError as exc:
            raise ControlTimeoutError(f"no reply from {url} in time") from exc
        except NNGException as exc:
            raise ControlTimeoutError(
                f"connection to {url} closed before the reply"
            ) from exc

    def _decode_reply(self, nonce: bytes, reply: bytes, url: str) -> Any:
        try:
            return decode_message(self._signer.verify_reply(nonce, reply))
        except SignatureError as exc:
            raise ControlTimeoutError(
                f"reply from {url} has a wrong signature"
            ) from exc


def _open_context(socket: Any, url: str) -> Any:
    try:
        return socket.new_context()
    except NNGException as exc:
        raise ControlUnreachableError(
            f"cannot open a request context for {url}: {exc}"
        ) from exc


def _close_context(context: Any) -> None:
    try:
        context.close()
    except NNGException:
        return
