"""Sidecars whose engine or service sends no valid response, or breaks it off."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from pomeloshift.errors import Ran
from pomeloshift.sidecar._engine_client import EngineClient
from pomeloshift.sidecar._engine_errors import EngineLostError
from pomeloshift.sidecar._plain_executor import PlainExecutor

STATUSES = [b"000", b"099", b"600", b"999"]
CHAT = "/v1/chat/completions"
CHECKS = {"attempt_id": "a1", "request_id": "r1", "method": "POST", "path": "/a"}


class Answer(Protocol):
    """Sends what the test chose as soon as a request's head has arrived.

    ``end`` is the name of the transport's method that ends the connection, if any.
    """

    def __init__(self, data, end):
        self.data = data
        self.end = end
        self.received = b""

    def connectionMade(self):  # noqa: N802
        self.factory.channels.append(self)

    def dataReceived(self, data):  # noqa: N802
        self.received += data
        if b"\r\n\r\n" not in self.received:
            return
        self.transport.pauseProducing()
        self.transport.write(self.data)
        if self.end is not None:
            end = getattr(self.transport, self.end)
            self.factory.reactor.callLater(0.1, end)


async def stop(port):
    await port.stopListening()


class Sink:
    """Notes how an attempt ended."""

    def __init__(self):
        self.parts = []
        self.end = Deferred()

    def append(self, attempt_id, payload, tokens, status, content_type):
        self.parts.append((status, payload))

    def finish(self, attempt_id):
        self.end.callback("finished")

    def fail(self, attempt_id, error):
        self.end.callback(error.ran)


@pytest.fixture
def serve(reactor, run_async):
    """Starts a server that answers each request with the same bytes."""
    ports = []

    def serve(data, end=None):
        factory = Factory.forProtocol(lambda: Answer(data, end))
        factory.reactor, factory.channels = reactor, []
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        ports.append((port, factory))
        return f"http://127.0.0.1:{port.getHost().port}"

    yield serve
    for port, factory in ports:
        for channel in factory.channels:
            channel.transport.abortConnection()
        run_async(stop(port))


@pytest.fixture
def call_service(reactor, run_async):
    """Calls a plain service; returns what was published and how the attempt ended."""

    def call_service(url, body):
        async def scenario():
            sink = Sink()
            executor = PlainExecutor(url, sink, reactor)
            req = SimpleNamespace(
                **CHECKS, headers={}, content_type="a/b", body=body, deadline_s=5.0
            )
            executor.offer(req)
            end = await sink.end
            await executor.close()
            return sink.parts, end

        return run_async(scenario())

    return call_service


def with_status(status):
    return b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok" % status


@pytest.mark.parametrize("status", STATUSES)
def test_unknown_status_of_an_engine_is_no_response(serve, reactor, run_async, status):
    """A status of 000 counted as a success (MIXED)."""
    url = serve(with_status(status))

    async def scenario():
        client = EngineClient(url, reactor)
        try:
            await client.run("s1", CHAT, b"{}", lambda *chunk: None)
        finally:
            await client.close()

    with pytest.raises(EngineLostError):
        run_async(scenario())


@pytest.mark.parametrize("status", STATUSES)
def test_unknown_status_of_a_service_is_no_response(serve, call_service, status):
    """The caller got it as the response (MIXED)."""
    assert call_service(serve(with_status(status)), b"body") == ([], Ran.UNKNOWN)


@pytest.mark.parametrize("body", [b"short", b"x" * 4_000_000])
def test_response_of_a_service_that_is_reset_is_not_complete(serve, call_service, body):
    """A part of a body without a length was published as a complete one (MIXED)."""
    url = serve(b"HTTP/1.1 200 OK\r\n\r\npart", "abortConnection")
    assert call_service(url, body) == ([], Ran.UNKNOWN)


def test_response_of_a_service_without_a_length_ends_with_its_connection(
    serve, call_service
):
    url = serve(b"HTTP/1.1 200 OK\r\n\r\nwhole", "loseConnection")
    assert call_service(url, b"body") == ([(200, b"whole")], "finished")
