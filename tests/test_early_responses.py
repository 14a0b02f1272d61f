"""Engines that respond while their request's body is still being written."""

import socket

import pytest
from twisted.internet.protocol import Factory, Protocol

from _gateway import config, route
from _raw_engine import RawEngine, head, stamped
from pomeloshift.http1 import ConnectionBrokenError

WINDOW = 16_384
BODY = b"x" * 3_900_000
PART = b"part of a body"


class EarlyEngine(RawEngine):
    """Calls ``answer`` as soon as a request's head has arrived, and reads no body."""

    def listen(self, host="127.0.0.1", port=0):
        factory = Factory.forProtocol(lambda: EarlyChannel(self))
        self._port = self._raw_reactor.listenTCP(port, factory, interface=host)
        # Most of the body stays with its sender.
        self._port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        return f"{host}:{self._port.getHost().port}"


class EarlyChannel(Protocol):
    """One channel to an engine that answers early."""

    def __init__(self, engine):
        self.engine = engine
        self.received = b""
        engine.channels.append(self)

    def dataReceived(self, data):  # noqa: N802
        self.received += data
        if b"\r\n\r\n" not in self.received:
            return
        self.transport.pauseProducing()
        lines = self.received.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        fields = dict(line.lower().split(b": ", 1) for line in lines)
        self.engine.requests.append(self)
        self.engine.answer(self, fields[b"x-request-id"].decode())


def reset(delay_s):
    """Sends a part of a body without a length, and resets the channel."""

    def answer(channel, request_id):
        channel.transport.write(head(200, *stamped(request_id)) + PART)
        reactor = channel.engine._raw_reactor
        reactor.callLater(delay_s, channel.transport.abortConnection)

    return answer


@pytest.fixture
def upload(play):
    """Plays a long upload to an engine that answers as given; returns the success."""

    def run(answer, path="/plain/a", body=BODY):
        async def scenario(deployment):
            deployment.settings = {"limits": {"memoryMb": 2048}}
            deployment.publish(config(2, [route(path.split("/")[1])]))
            engine = EarlyEngine(deployment.reactor, deployment.clock, "i-0", answer)
            engine.address = engine.listen()
            deployment.register(engine)
            deployment.engines.append(engine)
            gateway = await deployment.add_gateway()
            while not gateway.count_engines()["serving"]:
                await deployment.pause(0.01)
            try:
                resp = await deployment.call(gateway, "POST", path, body)
            except ConnectionBrokenError:
                return None
            assert engine.requests
            return resp.body if resp.status == 200 else None

        return play(scenario)

    return run


@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a"])
@pytest.mark.parametrize("delay_s", [0.0, 0.01, 0.2])
def test_response_that_is_reset_during_the_upload_is_not_complete(
    upload, path, delay_s
):
    """Its part was passed on as a complete response (MIXED)."""
    assert upload(reset(delay_s), path) is None


@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a"])
def test_response_with_a_length_that_is_early_is_complete(upload, path):
    def answer(channel, request_id):
        fields = [*stamped(request_id), b"Content-Length: %d" % len(PART)]
        channel.transport.write(head(200, *fields) + PART)

    assert upload(answer, path) == PART
