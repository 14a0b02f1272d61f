"""Control messages between processes in virtual time, in place of pynng."""

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
    """Faults of the next control messages, by the type name of the request.

    ``lose_answers`` holds how many replies to lose after the request was handled, and
    ``repeat`` how many requests to deliver twice. ``reply_delays`` holds the delays of
    the next replies in seconds. ``injected`` counts the faults that occurred.
    """

    lose_answers: dict[str, int] = attrs.field(factory=dict)
    repeat: dict[str, int] = attrs.field(factory=dict)
    reply_delays: dict[str, list[float]] = attrs.field(factory=dict)
    injected: int = 0

    def consume(self, counts: dict[str, int], message: Any) -> bool:
        """Consumes one fault for this message; returns whether there was one."""
        name = type(message).__name__
        if counts.get(name, 0) <= 0:
            return False
        counts[name] -= 1
        self.injected += 1
        return True

    def consume_delay(self, message: Any) -> float:
        """Consumes the delay of the reply to this message; returns it in seconds."""
        delays = self.reply_delays.get(type(message).__name__)
        if not delays:
            return 0.0
        self.injected += 1
        return delays.pop(0)


class ControlSwitch:
    """Connects the control clients and handlers of all processes.

    ``handlers`` maps each URL to its process and handler. ``on_request`` hooks are
    called with sender, receiver and message.
    """

    def __init__(self) -> None:
        self.faults = ControlFaults()
        self.handlers: dict[str, tuple[SimProcess, Handler]] = {}
        self.on_request: list[Callable[[SimProcess, SimProcess, Any], None]] = []
        self.generations: dict[frozenset[str], int] = {}
        self._ports = 30000

    def next_port(self) -> int:
        """Returns an unused port number."""
        self._ports += 1
        return self._ports

    def drop_traffic(self, one: str, other: str) -> None:
        """Makes the open control connections of two processes drop all messages.

        Neither side gets an error; connections opened later work.
        """
        pair = frozenset((one, other))
        self.generations[pair] = self.generations.get(pair, 0) + 1

    def generation(self, one: str, other: str) -> int:
        """Returns how often `drop_traffic` was called for two processes."""
        return self.generations.get(frozenset((one, other)), 0)


class SimControlServer:
    """Simulates `pomeloshift.net._control_server.ControlServer`."""

    switch: ControlSwitch

    def __init__(self, url: str, handler: Handler, key: bytes, reactor: Any) -> None:
        self._process: SimProcess = reactor
        self._handler = handler
        self.url = url

    def start(self) -> None:
        """Registers the handler under a URL with a new port."""
        self.url = f"{SCHEME}{self._process.host}:{self.switch.next_port()}"
        self.switch.handlers[self.url] = (self._process, self._handler)

    async def stop(self) -> None:
        """Unregisters the handler."""
        self.switch.handlers.pop(self.url, None)


class SimControlClient:
    """Simulates `pomeloshift.net._control_client.ControlClient`."""

    switch: ControlSwitch

    def __init__(self, key: bytes, reactor: Any) -> None:
        self._process: SimProcess = reactor
        self._generations: dict[str, int] = {}

    async def request(self, url: str, message: Any, timeout_s: float) -> Any:
        """Returns the peer's reply; raises the errors of `ControlClient.request`."""
        exchange = _Exchange(self, url, message, timeout_s)
        reply = await exchange.done
        if isinstance(reply, Refusal):
            raise ControlRefusedError(reply.error)
        return reply

    def retain(self, urls: Iterable[str]) -> None:
        """Removes the connections to all peers except the given ones."""
        keep = set(urls)
        for url in [url for url in self._generations if url not in keep]:
            del self._generations[url]

    async def close(self) -> None:
        """Does nothing; a simulated client holds no resources."""

    @property
    def process(self) -> SimProcess:
        """The process that owns the client."""
        return self._process

    def drops_traffic_to(self, url: str, peer: SimProcess) -> bool:
        """Returns whether the current connection to a peer drops all messages."""
        current = self.switch.generation(self._process.name, peer.name)
        return self._generations.setdefault(url, current) != current

    def reconnect(self, url: str) -> None:
        """Replaces the connection to a peer after a timeout."""
        self._generations.pop(url, None)


class _Exchange:
    """A request and its pending reply."""

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
        registered = client.switch.handlers.get(self._url)
        if registered is None:
            return
        peer, handler = registered
        network = client.process.network
        if not peer.is_alive or not network.can_reach(client.process, peer):
            return
        self._sent = True
        if client.drops_traffic_to(self._url, peer):
            client.switch.faults.injected += 1
            return
        data = encode_message(self._message)
        copies = 2 if self._consume_fault("repeat") else 1
        for _ in range(copies):
            delay_s = network.latency(client.process, peer)
            network.clock.callLater(
                delay_s, peer.run, lambda: self._deliver(peer, handler, data)
            )

    def _consume_fault(self, fault: str) -> bool:
        faults = self._client.switch.faults
        return faults.consume(getattr(faults, fault), self._message)

    def _deliver(self, peer: SimProcess, handler: Handler, data: bytes) -> None:
        message = decode_message(data)
        for hook in self._client.switch.on_request:
            hook(self._client.process, peer, message)
        if not peer.is_alive:
            return
        handling = Deferred.fromCoroutine(_await(handler(message)))
        handling.addErrback(_as_refusal)
        handling.addCallback(lambda reply: self._reply(peer, reply))

    def _reply(self, peer: SimProcess, reply: Any) -> None:
        if not peer.is_alive or self._consume_fault("lose_answers"):
            return
        client = self._client
        network = client.process.network
        if not network.can_reach(peer, client.process):
            return
        data = encode_message(reply)
        late_s = client.switch.faults.consume_delay(self._message)
        delay_s = network.latency(peer, client.process) + late_s
        network.clock.callLater(
            delay_s, client.process.run, lambda: self._finish(decode_message(data))
        )

    def _finish(self, reply: Any) -> None:
        if not self.done.called:
            self._timer.cancel()
            self.done.callback(reply)

    def _time_out(self) -> None:
        if self.done.called:
            return
        self._client.reconnect(self._url)
        kind = ControlTimeoutError if self._sent else ControlUnreachableError
        self.done.errback(kind(f"{self._url} sent no reply in time"))


async def _await(awaitable: Awaitable[Any]) -> Any:
    return await awaitable


def _as_refusal(failure: Any) -> Refusal:
    exc = failure.value
    if isinstance(exc, PomeloshiftError):
        return Refusal(exc.report())
    raise exc
