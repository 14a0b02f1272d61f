"""Callers' connections with a memory budget, in virtual time."""

import pytest

from pomeloshift.dispatch import HttpLimits
from pomeloshift.gateway._caller_budget import CallerBudget
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.http1 import HttpListener
from pomeloshift.memory import MemoryBudget, MemoryPolicy
from test_http1 import Transport, VirtualClock

MB = 1024 * 1024
BODY = 4 * MB
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
LENGTH = HEAD + b"Content-Length: %d\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = bytes(65536)


class CallerTransport(Transport):
    """Takes what is written unless ``takes`` is False; then it is buffered."""

    takes = True
    dataBuffer = b""  # noqa: N815
    offset = 0
    half_closed = False

    def write(self, data):
        super().write(data)
        if not self.takes:
            self.dataBuffer += data
            if len(self.dataBuffer) > 65536:
                self.producer.pauseProducing()

    def loseWriteConnection(self):  # noqa: N802
        self.half_closed = True


class Callers:
    def __init__(self, limit, max_connections=20):
        self.clock = VirtualClock()
        self.exchanges = []
        self.events = EventLog(self.clock, GatewayMetrics("g"))
        policy = MemoryPolicy(limit=limit)
        self.memory = CallerBudget(
            MemoryBudget(policy), self.clock, self.clock, self.events
        )
        self.listener = HttpListener(
            self.clock, self.clock, self.exchanges.append, max_connections, self.memory
        )

    def connect(self):
        connection = self.listener.buildProtocol(None)
        if connection is not None:
            connection.makeConnection(CallerTransport())
        return connection

    def begin(self, length=BODY, size=len(PIECE)):
        connection = self.connect()
        connection.dataReceived(LENGTH % length + bytes(size))
        return connection


def answer(connection):
    return connection.transport.value()


def is_reading(connection):
    return connection.transport.producerState == "producing"


@pytest.fixture
def callers():
    """The smallest budget: for one body of the largest size."""
    return Callers(8 * MB)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_largest_body_is_served_with_the_smallest_budget(callers, is_chunked):
    connection = callers.connect()
    connection.dataReceived(CHUNKED if is_chunked else LENGTH % BODY)
    for _ in range(BODY // len(PIECE)):
        framed = b"10000\r\n%s\r\n" % PIECE if is_chunked else PIECE
        connection.dataReceived(framed)
        assert is_reading(connection)
    if is_chunked:
        connection.dataReceived(b"0\r\n\r\n")
    (exchange,) = callers.exchanges
    assert len(exchange.body) == BODY
    exchange.respond(200, [], b"")
    assert callers.memory.budget.used < 16384


def test_second_large_body_waits_and_is_read_later(callers):
    """Otherwise both would hold a part and neither could end."""
    first, second = callers.begin(), callers.begin()
    assert is_reading(first)
    assert not is_reading(second)
    first.dataReceived(bytes(BODY - len(PIECE)))
    callers.exchanges[0].respond(200, [], b"")
    callers.clock.advance(0)
    assert is_reading(second)
    second.dataReceived(bytes(BODY - len(PIECE)))
    assert len(callers.exchanges) == 2


def test_body_that_waits_too_long_is_refused_as_not_run(callers):
    callers.begin()
    second = callers.begin()
    callers.clock.pump([0.1] * 11)
    assert answer(second).startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 0.500" in answer(second)
    assert b"Connection: close" in answer(second)
    assert (callers.exchanges, second.transport.half_closed) == ([], True)
    second.dataReceived(PIECE)  # read and dropped, so that the response arrives
    callers.clock.advance(1.0)
    assert second.transport.ended == "aborted"


def test_body_that_stopped_makes_room(callers):
    stopped = callers.begin()
    callers.clock.advance(2.0)
    second = callers.begin()
    assert answer(stopped).startswith(b"HTTP/1.1 503 ")
    assert is_reading(second)


def test_body_that_can_never_fit_is_refused_at_once(callers):
    callers.listener.limits = HttpLimits(max_body_bytes=20 * MB)
    connection = callers.begin(10 * MB)
    assert answer(connection).startswith(b"HTTP/1.1 503 ")


def test_small_requests_are_served_while_large_bodies_wait(callers):
    for _ in range(3):
        callers.begin()
    callers.begin(3, 3)
    (exchange,) = callers.exchanges
    assert exchange.body == bytes(3)


def test_slow_body_is_ended_but_not_one_with_pauses(callers):
    """A byte now and then holds the memory for as long as the caller likes."""
    slow, paused = callers.begin(60_000, 1), callers.begin(BODY)
    for _ in range(4):
        callers.clock.advance(14.0)
        slow.dataReceived(b"a")
        paused.dataReceived(PIECE)
    assert answer(slow).startswith(b"HTTP/1.1 408 ")
    assert answer(paused) == b""


def test_head_has_to_arrive_in_time(callers):
    """A byte now and then keeps the connection for as long as the caller likes."""
    connection = callers.connect()
    for byte in HEAD[:7]:
        connection.dataReceived(bytes([byte]))
        callers.clock.advance(0.5)
    assert answer(connection).startswith(b"HTTP/1.1 408 ")


def test_small_chunks_leave_time_for_others(callers):
    connection = callers.connect()
    connection.dataReceived(CHUNKED + b"1\r\na\r\n" * 1000 + b"0\r\n\r\n")
    assert (callers.exchanges, is_reading(connection)) == ([], False)
    for _ in range(5):
        callers.clock.advance(0)
    (exchange,) = callers.exchanges
    assert exchange.body == b"a" * 1000


def test_caller_that_reads_nothing_is_disconnected(callers):
    connection = callers.connect()
    connection.transport.takes = False
    connection.dataReceived(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
    callers.exchanges[0].respond(200, [], bytes(100_000))
    assert len(callers.exchanges) == 1  # the next response waits for this one
    callers.clock.advance(1.9)
    assert connection.transport.ended is None
    callers.clock.advance(0.2)
    assert connection.transport.ended == "aborted"


def test_caller_that_reads_slowly_is_not_disconnected(callers):
    connection = callers.connect()
    connection.transport.takes = False
    connection.dataReceived(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
    callers.exchanges[0].respond(200, [], bytes(100_000))
    for _ in range(5):
        callers.clock.advance(1.5)
        connection.transport.offset += 10_000
    assert connection.transport.ended is None
    connection.transport.dataBuffer = b""
    connection.resumeProducing()
    assert len(callers.exchanges) == 2


def test_what_is_written_while_the_caller_does_not_read_stays_in_order(callers):
    connection = callers.connect()
    connection.transport.takes = False
    connection.dataReceived(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    (exchange,) = callers.exchanges
    pauses = []
    exchange.on_pause = pauses.append
    exchange.start(200, [])
    for byte in b"abc":
        exchange.write(bytes([byte]) * 70_000)
    assert bytes([98]) not in connection.transport.dataBuffer[100:]
    connection.transport.dataBuffer = b""
    connection.resumeProducing()
    connection.transport.dataBuffer, connection.transport.takes = b"", True
    connection.resumeProducing()
    exchange.finish()
    order = answer(connection).split(b"\r\n\r\n", 1)[1]
    assert order.index(b"a" * 99) < order.index(b"b" * 99) < order.index(b"c" * 99)
    assert order.endswith(b"0\r\n\r\n")
    assert pauses == [True, True, False]


def test_ended_connection_holds_no_body(callers):
    """The garbage collector runs too late where callers come back again and again."""
    connection = callers.begin()
    connection.connectionLost(None)
    assert connection._body.size == 0
    assert callers.memory.budget.used == 0


def test_next_request_waits_for_a_slow_reader_without_a_time_out(callers):
    """It was complete, and must not get 408."""
    connection = callers.connect()
    connection.transport.takes = False
    connection.dataReceived(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
    callers.exchanges[0].respond(200, [], bytes(100_000))
    for _ in range(20):
        callers.clock.advance(1.0)
        connection.transport.offset += 3000
    assert b" 408 " not in answer(connection)
    connection.transport.dataBuffer = b""
    connection.resumeProducing()
    assert len(callers.exchanges) == 2


def test_new_connection_displaces_the_oldest_idle_one():
    callers = Callers(8 * MB, max_connections=2)
    idle = callers.begin(3, 3)
    callers.exchanges.pop().respond(200, [], b"end")
    callers.clock.advance(0.1)
    busy = callers.begin(3, 3)
    callers.begin(3, 3)
    # An abort would cut off what the system has not sent of the last response.
    assert idle.transport.ended == "closed"
    assert (busy.transport.ended, len(callers.exchanges)) == (None, 2)
    assert callers.connect() is None
