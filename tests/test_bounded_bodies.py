"""Responses whose bodies do not end."""

import pytest
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone, ResponseFailed
from twisted.web.http import PotentialDataLoss

from pomeloshift.entry.online._short_body import MAX_BODY_BYTES, read_short_body
from pomeloshift.net._bounded_body import BodyTooLargeError, read_bounded
from pomeloshift.sidecar._engine_body import (
    MAX_EVENT_BYTES,
    OversizedEventError,
    receive,
)


class Response:
    """A response whose body the test delivers."""

    def __init__(self):
        self.transport = StringTransport()

    def deliverBody(self, body):  # noqa: N802
        self.body = body
        body.makeConnection(self.transport)

    def send(self, data):
        if not self.transport.disconnecting:
            self.body.dataReceived(data)

    def end(self, error):
        self.body.connectionLost(Failure(error))


@pytest.fixture
def response():
    return Response()


def failure_of(deferred):
    found = []
    deferred.addErrback(found.append)
    return found[0].type if found else None


def test_event_without_end_ends_the_engines_stream(response):
    ended = receive(response, lambda payload, tokens: None, True)
    for _ in range(2 * MAX_EVENT_BYTES // 1024):
        response.send(b"a" * 1024)
    assert response.transport.disconnecting
    response.end(ResponseFailed([]))
    assert failure_of(ended) is OversizedEventError


def test_events_are_passed_on_however_they_are_split(response):
    payloads = []
    ended = receive(response, lambda payload, tokens: payloads.append(payload), True)
    stream = b"data: a\n\ndata: b\n\ndata: [DONE]\n\n"
    for byte in stream:
        response.send(bytes([byte]))
    response.end(ResponseDone())
    assert b"".join(payloads) == stream
    assert len(payloads) == 3
    assert ended.result is True


def test_body_without_end_is_not_held(response):
    done = read_bounded(response, 4096)
    for _ in range(8):
        response.send(b"a" * 1024)
    assert response.transport.disconnecting
    response.end(ResponseFailed([]))
    assert failure_of(done) is BodyTooLargeError


def test_body_that_nobody_waits_for_is_not_read_on(response):
    done = read_bounded(response, 4096)
    response.send(b"a")
    done.cancel()
    assert response.transport.disconnecting
    done.addErrback(lambda _: None)


@pytest.mark.parametrize("size", [0, 4096])
@pytest.mark.parametrize("end", [ResponseDone, PotentialDataLoss])
def test_body_up_to_the_limit_is_read(response, size, end):
    done = read_bounded(response, 4096)
    response.send(b"a" * size)
    response.end(end())
    assert done.result == b"a" * size


def test_truncated_body_is_not_read(response):
    done = read_bounded(response, 4096)
    response.send(b"a")
    response.end(ResponseFailed([]))
    assert failure_of(done) is ResponseFailed


def test_error_body_without_end_is_cut_at_its_limit(response):
    done = read_short_body(response)
    for _ in range(2 * MAX_BODY_BYTES // 1024):
        response.send(b"a" * 1024)
    assert response.transport.disconnecting
    assert done.result == b"a" * MAX_BODY_BYTES
    response.end(ResponseFailed([]))
