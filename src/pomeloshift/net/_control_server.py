"""Receives control messages from other processes and replies to them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger
from pynng import Closed, NNGException, Rep0
from twisted.internet.defer import Deferred, ensureDeferred

from ..errors import ErrorCode, ErrorReport, PomeloshiftError
from ..wire import Refusal, WireError, decode_message, encode_message
from ._control_errors import SignatureError
from ._control_signer import ControlSigner, ReplayWindow
from ._control_tasks import TaskGroup
from ._control_threads import limit_threads

CONTEXTS = 16  # pynng contexts; each serves one message at a time
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

ControlHandler = Callable[[Any], Awaitable[Any]]


class ControlServer:
    """Listens for control messages and replies to each with the handler's result.

    ``url`` is ``tcp://host:port``; with port 0 the operating system chooses the port
    and `url` contains it once the server has started. ``handler`` is called with a
    message of `pomeloshift.wire` and may await deferreds. If it raises a
    `PomeloshiftError`, the reply is a `Refusal`. Messages that are malformed,
    replayed or have a wrong signature get no reply.
    """

    def __init__(
        self, url: str, handler: ControlHandler, key: bytes, reactor: Any
    ) -> None:
        self.url = url
        self._handler = handler
        self._signer = ControlSigner(key)
        self._replay_window = ReplayWindow()
        self._loop: asyncio.AbstractEventLoop = reactor._asyncioEventloop
        self._socket: Any = None
        self._tasks = TaskGroup(self._loop)

    def start(self) -> None:
        """Opens the port and starts to serve messages."""
        limit_threads()
        self._socket = Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(self.url)
        self.url = f"tcp://{self._socket.listeners[0].local_address}"
        for _ in range(CONTEXTS):
            self._tasks.start(self._serve())
        logger.info("event=control_listening url={}", self.url)

    async def stop(self) -> None:
        """Closes the port; messages under way get no reply."""
        await Deferred.fromFuture(self._loop.create_task(self._tasks.cancel()))
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _serve(self) -> None:
        context = self._socket.new_context()
        try:
            while True:
                await self._serve_one(context)
        except Closed:
            return
        finally:
            _close_context(context)

    async def _serve_one(self, context: Any) -> None:
        data = await context.arecv()
        try:
            nonce, body = self._signer.verify_request(data)
            self._replay_window.accept(nonce)
            message = decode_message(body)
        except (SignatureError, WireError) as exc:
            logger.warning("event=control_message_dropped reason={!r}", exc.message)
            return
        reply = encode_message(await self._handle(message))
        try:
            await context.asend(self._signer.sign_reply(nonce, reply))
        except Closed:
            raise
        except NNGException as exc:
            logger.warning("event=control_answer_lost error={}", type(exc).__name__)

    async def _handle(self, message: Any) -> Any:
        try:
            return await ensureDeferred(_await(self._handler(message))).asFuture(
                self._loop
            )
        except PomeloshiftError as exc:
            return Refusal(exc.report())
        except Exception as exc:
            logger.exception("event=unexpected_error message={}", type(message))
            text = f"unexpected {type(exc).__name__}"
            return Refusal(ErrorReport(ErrorCode.INTERNAL, text))


async def _await(awaitable: Awaitable[Any]) -> Any:
    return await awaitable


def _close_context(context: Any) -> None:
    try:
        context.close()
    except NNGException:
        return
