from random import Random

import pytest
import treq

from _loop import shared_loop
from pomeloshift.log import (
    AppendOutcomeUnknownError,
    LogExpiredError,
    LogRateLimitedError,
    LogUnavailableError,
)
from pomeloshift.net import SystemClock
from pomeloshift.net._log_client import LogClient
from pomeloshift.net._serve import serve
from pomeloshift.standins.log import LogServer, LogSettings

HOST = "127.0.0.1"


@pytest.fixture
def loop():
    return shared_loop()


@pytest.fixture
def start(loop):
    opened = []

    def build(settings=None, timeout_s=10.0):
        server = LogServer(
            settings or LogSettings(), loop.reactor, SystemClock(), Random(1)
        )
        listener = loop.run(serve, loop.reactor, server.resource, HOST)
        client = loop.run(
            LogClient, f"http://{listener.address}", loop.reactor, timeout_s
        )
        opened.append((listener, client))
        return server, client, listener

    build.stopped = stopped = []
    yield build
    for listener, client in opened:
        loop.run(client.close)
        if listener not in stopped:
            loop.run(listener.stop)


def put_faults(loop, listener, **faults):
    async def put():
        url = f"http://{listener.address}/faults"
        response = await treq.put(url, json=faults, persistent=False)
        await response.content()
        return response.code

    return loop.run(put)


def test_appends_get_consecutive_offsets_and_are_read_back(loop, start):
    server, client, _ = start()
    assert loop.run(client.append, "jobs-000", [b"a", b"b"]) == 0
    assert loop.run(client.append, "jobs-000", [b"c"]) == 2
    assert loop.run(client.append, "jobs-001", [b"d"]) == 0
    page = loop.run(client.read, "jobs-000", 1)
    assert [(r.offset, r.data) for r in page.records] == [(1, b"b"), (2, b"c")]
    assert (page.first_offset, page.next_offset) == (0, 3)
    assert server.model.appends == 3


def test_service_that_is_down_refuses_without_effect(loop, start):
    server, client, listener = start()
    assert put_faults(loop, listener, is_down=True) == 200
    with pytest.raises(LogUnavailableError):
        loop.run(client.append, "s", [b"a"])
    with pytest.raises(LogUnavailableError):
        loop.run(client.read, "s", 0)
    assert put_faults(loop, listener, is_down=False) == 200
    assert loop.run(client.read, "s", 0).next_offset == 0
    assert server.model.refused == 2


def test_refused_connection_certainly_has_no_effect(loop, start):
    _, client, listener = start()
    loop.run(listener.stop)
    start.stopped.append(listener)
    with pytest.raises(LogUnavailableError):
        loop.run(client.append, "s", [b"a"])


def test_lost_answer_leaves_the_outcome_unknown(loop, start):
    server, client, listener = start()
    put_faults(loop, listener, lost_answers=1)
    with pytest.raises(AppendOutcomeUnknownError):
        loop.run(client.append, "s", [b"a"])
    assert server.model.lost_answers == 1
    assert loop.run(client.read, "s", 0).records[0].data == b"a"


def test_answer_after_the_timeout_leaves_the_outcome_unknown(loop, start):
    _, client, listener = start(timeout_s=0.2)
    put_faults(loop, listener, delay_s=30)
    with pytest.raises(AppendOutcomeUnknownError):
        loop.run(client.append, "s", [b"a"])
    with pytest.raises(LogUnavailableError):
        loop.run(client.read, "s", 0)
    put_faults(loop, listener, delay_s=0)
    assert loop.run(client.read, "s", 0).next_offset == 1


def test_rate_ceiling_counts_an_append_of_many_payloads_once(loop, start):
    _, client, _ = start(LogSettings(appends_per_s=0.001, burst=2))
    loop.run(client.append, "s", [b"x"] * 500)
    loop.run(client.append, "s", [b"x"] * 500)
    with pytest.raises(LogRateLimitedError):
        loop.run(client.append, "s", [b"x"])


def test_expired_offset_names_the_first_one_kept(loop, start):
    _, client, _ = start(LogSettings(max_records=3))
    loop.run(client.append, "s", [bytes([n]) for n in range(8)])
    with pytest.raises(LogExpiredError) as caught:
        loop.run(client.read, "s", 0)
    assert caught.value.first_offset == 5
    page = loop.run(client.read, "s", 5)
    assert [r.data for r in page.records] == [b"\x05", b"\x06", b"\x07"]


def test_unknown_fault_is_refused(loop, start):
    _, _, listener = start()
    assert put_faults(loop, listener, no_such_fault=True) == 400
    assert put_faults(loop, listener, lost_answer_rate=2) == 400
