"""Bytes of any kind from callers and engines, and second copies of responses."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloshift.http1 import ConnectionPool, Disconnected, PoolConfig, ResponseEnd
from pomeloshift.http1._client_connection import ClientConnection
from test_http1 import (
    REQUEST,
    Caller,
    Transport,
    VirtualClock,
    body_of,
    events_of,
    head,
    response,
)

MANY = settings(derandomize=True, deadline=None, max_examples=300)
SNIPPETS = [
    b"HTTP/1.1 200 OK\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: -1\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"X-Request-Id: r1\r\n",
    b"X-Request-Id: r0\r\n",
    b"Connection: close\r\n",
    b"Keep-Alive: timeout=9999999999999999999999\r\n",
    b"\r\n",
    b"hello",
    b"5\r\nhello\r\n",
    b"0\r\n\r\n",
    b"fffffffffffffffff\r\n",
    b"GET //[ HTTP/1.1\r\nHost: h\r\n",
    b"POST /a/ HTTP/1.1\r\nHost: h\r\n",
    b"\x00\xff\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    response("r1"),
    response("r0", b"other"),
    REQUEST,
]
PIECES = st.lists(
    st.sampled_from(SNIPPETS) | st.binary(min_size=1, max_size=20), max_size=12
)


def make_connection():
    clock = VirtualClock()
    connection = ClientConnection(
        ConnectionPool(clock, clock, PoolConfig()), "10.0.0.1:80"
    )
    connection.makeConnection(Transport())
    return connection


@MANY
@given(pieces=PIECES)
def test_no_bytes_of_an_engine_raise_or_give_a_body_of_another_request(pieces):
    connection = make_connection()
    call = connection.send(head("r1"), b"x")
    for piece in pieces:
        if connection.transport.ended is None:
            connection.dataReceived(piece)
    events = events_of(call)
    if any(isinstance(event, ResponseEnd) for event in events):
        assert b"other" not in body_of(events)


@MANY
@given(pieces=PIECES)
def test_no_bytes_of_a_caller_raise(pieces):
    caller = Caller(VirtualClock())
    for piece in pieces:
        if caller.transport.ended is None:
            caller.send(piece)
        for exchange in caller.exchanges:
            if not exchange.is_over:
                exchange.respond(200, [], b"ok")


@pytest.mark.parametrize("split", range(1, len(response("r1")) + 1, 7))
@pytest.mark.parametrize("copies", [1, 2])
def test_late_second_copy_on_a_reused_connection_does_not_answer_the_next_caller(
    split, copies
):
    connection = make_connection()
    first = connection.send(head("r1"), b"x")
    connection.dataReceived(response("r1"))
    assert body_of(events_of(first)) == b"hello"
    second = connection.send(head("r2"), b"y")
    late = response("r1") * copies + response("r2", b"own")
    connection.dataReceived(late[:split])
    connection.dataReceived(late[split:])
    events = events_of(second)
    assert body_of(events) == b"own"
    assert isinstance(events[-1], ResponseEnd)


@pytest.mark.parametrize("cut", range(1, 5))
def test_late_second_copy_that_breaks_off_ends_the_next_call_as_a_failure(cut):
    connection = make_connection()
    connection.send(head("r1"), b"x")
    connection.dataReceived(response("r1"))
    second = connection.send(head("r2"), b"y")
    connection.dataReceived(response("r1")[:-cut])
    connection.connectionLost()
    events = events_of(second)
    assert body_of(events) == b""
    assert isinstance(events[-1], Disconnected)
