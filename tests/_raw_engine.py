"""An engine whose bytes on the wire a test chooses."""

from functools import partial

from twisted.internet.protocol import Factory, Protocol

from pomeloshift.standins.platform import EngineServer
from pomeloshift.standins.platform._engine_server import ReceivedRequest

REPORT = b'{"waiting":0,"running":0,"born":1}'


class RawEngine(EngineServer):
    """Calls ``answer`` with each channel and request; answers reports itself.

    It serves one request at a time on a channel, until `Channel.finish` is called.
    ``requests`` holds what was received but reports, ``channels`` all channels.
    ``answer_report``, if set, is called with each report's channel instead.
    """

    def __init__(self, reactor, clock, engine_id, answer):
        super().__init__(reactor, clock, engine_id)
        self.answer = answer
        self.answer_report = None
        self.channels = []
        self._raw_reactor = reactor
        self._port = None

    def listen(self, host="127.0.0.1", port=0):
        factory = Factory.forProtocol(partial(Channel, self))
        self._port = self._raw_reactor.listenTCP(port, factory, interface=host)
        return f"{host}:{self._port.getHost().port}"

    async def stop(self):
        await self._port.stopListening()
        for channel in self.channels:
            channel.transport.abortConnection()


def add_raw_engine(deployment, answer, **fields):
    """Starts an engine that answers as given; ``fields`` are those of its record."""
    name = f"i-{len(deployment.engines)}"
    engine = RawEngine(deployment.reactor, deployment.clock, name, answer)
    engine.address = engine.listen()
    deployment.register(engine, **fields)
    deployment.engines.append(engine)
    return engine


class Channel(Protocol):
    """One channel to the engine; ``seen`` holds its requests."""

    def __init__(self, engine):
        self.engine = engine
        self.seen = []
        self.is_open = True
        self._buffer = b""
        self._waiting = []
        self._is_busy = False
        engine.channels.append(self)

    def connectionLost(self, reason=None):  # noqa: N802
        self.is_open = False

    def dataReceived(self, data):  # noqa: N802
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, rest = self._buffer.partition(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            pairs = (line.partition(": ") for line in lines)
            headers = {name.lower(): value for name, _, value in pairs}
            size = int(headers.get("content-length", 0))
            if len(rest) < size:
                return
            self._buffer = rest[size:]
            path = first.split(" ")[1]
            request_id = headers.get("x-request-id", "")
            request = ReceivedRequest(request_id, path, headers, rest[:size])
            self._waiting.append(request)
        self._serve_next()

    def _serve_next(self):
        if self._is_busy or not self._waiting:
            return
        self._is_busy = True
        request = self._waiting.pop(0)
        if request.path != "/api/report":
            self.engine.requests.append(request)
            self.seen.append(request)
            self.engine.answer(self, request)
        elif self.engine.answer_report is not None:
            self.engine.answer_report(self)
        else:
            self.finish(with_length(200, REPORT))

    def send(self, data):
        """Writes a part of a response."""
        if self.is_open:
            self.transport.write(data)

    def finish(self, data=b"", delay_s=0.0):
        """Writes the rest of a response after a time and serves the next request."""
        self.engine._raw_reactor.callLater(delay_s, self._finish, data)

    def _finish(self, data):
        self.send(data)
        self._is_busy = False
        self._serve_next()

    def end(self, data, delay_s=0.0):
        """Writes the rest of a response after a time and closes the channel."""
        self.engine._raw_reactor.callLater(delay_s, self._end, data)

    def _end(self, data):
        self.send(data)
        self.close()

    def close(self):
        """Closes the channel after what was written."""
        self.transport.loseConnection()


def head(status, *fields):
    lines = [b"HTTP/1.1 %d X" % status, *fields]
    return b"".join(line + b"\r\n" for line in lines) + b"\r\n"


def stamped(request_id):
    return [b"X-Request-Id: " + request_id.encode(), b"X-Response-Stamp: s.1"]


def with_length(status, body, *fields):
    return head(status, b"Content-Length: %d" % len(body), *fields) + body


def in_chunks(status, body, *fields):
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head(status, b"Transfer-Encoding: chunked", *fields) + chunk + b"0\r\n\r\n"


def without_length(status, body, *fields):
    """The response ends with its channel, which the test has to close."""
    return head(status, *fields) + body


FRAMINGS = {"length": with_length, "chunks": in_chunks, "neither": without_length}
