"""Carries control messages in virtual time, in place of pynng."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from ...errors import PomeloshiftError
from ...net._control_errors import (
    ControlRefusedError,
    ControlTimeoutError,
    ControlUnreachableError,
)
from ...wire import Refusal, decode_message, encode_message
from ._process import SimProcess

Handler = Callable[[Any], Awaitable[Any]]
SCHEME = "tcp://"


@attrs.define
class ControlFaults:
    """Faults of the next control messages, by the type of the request.

    ``lose_answers`` counts answers that are lost after the request was handled and
    ``repeat`` requests that arrive twice; ``late`` holds the delays in seconds of the
    next answers.
    """

    lose_answers: dict[str, int] = attrs.field(factory=dict)
    repeat: dict[str, int] = attrs.field(factory=dict)
    late: dict[str, list[float]] = attrs.field(factory=dict)
    struck: int = 0

    def take(self, counts: dict[str, int], message: Any) -> bool:
        """Uses up one fault for this message; tells whether there was one."""
        name = type(message).__name__
        if counts.get(name, 0) <= 0:
            return False
        counts[name] -= 1
        self.struck += 1
        return True

    def take_delay(self, message: Any) -> float:
        """Uses up one delay for the answer to this message."""
        delays = self.late.get(type(message).__name__)
        if not delays:
            return 0.0
        self.struck += 1
        return delays.pop(0)


class ControlSwitch:
    """Knows the control handlers of all processes."""

    def __init__(self) -> None:
        self.faults = ControlFaults()
        self.handlers: dict[str, tuple[SimProcess, Handler]] = {}
        self.on_request: list[Callable[[SimProcess, SimProcess, Any], None]] = []
        self.generations: dict[frozenset[str], int] = {}
        self._ports = 30000

    def next_port(self) -> int:
        """Returns a free port."""
        self._ports += 1
        return self._ports

    def silence(self, one: str, other: str) -> None:
        """Makes the present control connections between two processes silent."""
        pair = frozenset((one, other))
        self.generations[pair] = self.generations.get(pair, 0) + 1

    def generation(self, one: str, other: str) -> int:
        """Counts how often connections between two processes went silent."""
        return self.generations.get(frozenset((one, other)), 0)


class SimControlServer:
    """Has the interface of `pomeloshift.net._control_server.ControlServer`."""

    switch: ControlSwitch

    def __init__(self, url: str, handler: Handler, key: bytes, reactor: Any) -> None:
        self._process: SimProcess = reactor
        self._handler = handler
        self.url = url

    def start(self) -> None:
        """Makes the handler reachable."""
        self.url = f"{SCHEME}{self._process.host}:{self.switch.next_port()}"
        self.switch.handlers[self.url] = (self._process, self._handler)

    async def stop(self) -> None:
        """Makes the handler unreachable."""
        self.switch.handlers.pop(self.url, None)


class SimControlClient:
    """Has the interface of `pomeloshift.net._control_client.ControlClient`."""

    switch: ControlSwitch

    def __init__(self, key: bytes, reactor: Any) -> None:
        self._process: SimProcess = reactor
        self._generations: dict[str, int] = {}

    async def ask(self, url: str, message: Any, timeout_s: float) -> Any:
        """Returns the peer's answer or raises what `ControlClient.ask` raises."""
        asking = _Question(self, url, message, timeout_s)
        answer = await asking.done
        if isinstance(answer, Refusal):
            raise ControlRefusedError(answer.error)
        return answer

    def retain(self, urls: Iterable[str]) -> None:
        """Forgets the connections to all peers but those given."""
        keep = set(urls)
        for url in [url for url in self._generations if url not in keep]:
            del self._generations[url]

    async def close(self) -> None:
        """Has nothing to close."""

    @property
    def process(self) -> SimProcess:
        """The process that asks."""
        return self._process

    def is_silent(self, url: str, peer: SimProcess) -> bool:
        """Tells whether the connection that is in use has gone silent."""
        current = self.switch.generation(self._process.name, peer.name)
        return self._generations.setdefault(url, current) != current

    def dial_anew(self, url: str) -> None:
        """Replaces the connection to a peer that did not answer."""
        self._generations.pop(url, None)


class _Question:
    """One message and the wait for its answer."""

    def __init__(
        self, client: SimControlClient, url: str, message: Any, timeout_s: float
    ) -> None:
        self.done: Deferred[Any] = Deferred()
        self._client = client
        self._url = url
        self._message = message
        self._sent = False
        self._timer = client.process.callLater(timeout_s, self._time_out)
        self._send()

    def _send(self) -> None:
        client = self._client
        known = client.switch.handlers.get(self._url)
        if known is None:
            return
        peer, handler = known
        network = client.process.network
        if not peer.alive or not network.reaches(client.process, peer):
            return
        self._sent = True
        if client.is_silent(self._url, peer):
            client.switch.faults.struck += 1
            return
        data = encode_message(self._message)
        copies = 2 if self._takes("repeat") else 1
        for _ in range(copies):
            delay_s = network.latency(client.process, peer)
            network.clock.callLater(
                delay_s, peer.run, lambda: self._arrive(peer, handler, data)
            )

    def _takes(self, fault: str) -> bool:
        faults = self._client.switch.faults
        return faults.take(getattr(faults, fault), self._message)

    def _arrive(self, peer: SimProcess, handler: Handler, data: bytes) -> None:
        message = decode_message(data)
        for hook in self._client.switch.on_request:
            hook(self._client.process, peer, message)
        if not peer.alive:
            return
        answering = Deferred.fromCoroutine(_await(handler(message)))
        answering.addErrback(_as_refusal)
        answering.addCallback(lambda answer: self._reply(peer, answer))

    def _reply(self, peer: SimProcess, answer: Any) -> None:
        if not peer.alive or self._takes("lose_answers"):
            return
        client = self._client
        network = client.process.network
        if not network.reaches(peer, client.process):
            return
        data = encode_message(answer)
        late_s = client.switch.faults.take_delay(self._message)
        delay_s = network.latency(peer, client.process) + late_s
        network.clock.callLater(
            delay_s, client.process.run, lambda: self._take(decode_message(data))
        )

    def _take(self, answer: Any) -> None:
        if not self.done.called:
            self._timer.cancel()
            self.done.callback(answer)

    def _time_out(self) -> None:
        if self.done.called:
            return
        self._client.dial_anew(self._url)
        kind = ControlTimeoutError if self._sent else ControlUnreachableError
        self.done.errback(kind(f"{self._url} did not answer in time"))


async def _await(awaitable: Awaitable[Any]) -> Any:
    return await awaitable


def _as_refusal(failure: Any) -> Refusal:
    exc = failure.value
    if isinstance(exc, PomeloshiftError):
        return Refusal(exc.report())
    raise exc
