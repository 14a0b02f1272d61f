"""The client of the log service in virtual time."""

from collections.abc import Callable, Sequence
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from ...errors import PomeloshiftError
from ...log import AppendOutcomeUnknownError, LogPage
from ...standins.log import LogModel
from ._process import SimProcess

LATENCY_S = 0.004
TIMEOUT_S = 5.0


@attrs.define
class LogHooks:
    """Hooks around the appends of all processes.

    ``on_append`` hooks are called with process, stream and payloads before an append
    is applied, and ``on_appended`` hooks after that, before the reply is sent.
    ``operations`` counts the appends and reads that reached the log.
    """

    on_append: list[Callable[[SimProcess, str, Sequence[bytes]], None]] = attrs.field(
        factory=list
    )
    on_appended: list[Callable[[SimProcess, str, Sequence[bytes]], None]] = attrs.field(
        factory=list
    )
    operations: int = 0


class SimLog:
    """A `LogStore` over a `LogModel`, with latency, timeouts and lost replies."""

    def __init__(self, model: LogModel, process: SimProcess, hooks: LogHooks) -> None:
        self._model = model
        self._process = process
        self._hooks = hooks

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends records and returns the offset of the first.

        Raises `AppendOutcomeUnknownError` if the reply is lost or too late.
        """
        payloads = tuple(payloads)
        return await self._operate(lambda: self._append(stream, payloads), True)

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogPage:
        """Returns at most ``limit`` records from ``offset`` on."""

        def read() -> LogPage:
            return self._model.read(stream, offset, limit, self._now())

        return await self._operate(read, False)

    def _append(self, stream: str, payloads: tuple[bytes, ...]) -> int:
        for hook in list(self._hooks.on_append):
            hook(self._process, stream, payloads)
        appended = self._model.append(stream, payloads, self._now())
        for hook in list(self._hooks.on_appended):
            hook(self._process, stream, payloads)
        if appended.is_lost:
            raise AppendOutcomeUnknownError("the reply to an append was lost")
        return appended.first_offset

    def _operate(self, operation: Callable[[], Any], is_append: bool) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        process = self._process
        clock = process.clock
        network_s = process.network.latency(process, process) + LATENCY_S

        def arrive() -> None:
            if not process.is_alive:
                return
            self._hooks.operations += 1
            try:
                result = operation()
            except PomeloshiftError as exc:
                reply(exc)
                return
            reply(result)

        def reply(result: Any) -> None:
            delay_s = network_s + self._model.faults.delay_s
            lost = isinstance(result, AppendOutcomeUnknownError)
            if lost or delay_s > TIMEOUT_S:
                delay_s = TIMEOUT_S
                if is_append:
                    result = AppendOutcomeUnknownError(
                        "the log sent no reply within the timeout"
                    )
            clock.callLater(delay_s, process.run, lambda: finish(result))

        def finish(result: Any) -> None:
            if isinstance(result, PomeloshiftError):
                done.errback(result)
            else:
                done.callback(result)

        clock.callLater(network_s, arrive)
        return done

    def _now(self) -> float:
        return self._process.clock.seconds()
