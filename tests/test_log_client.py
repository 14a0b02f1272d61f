from random import Random

import pytest
import treq

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
def start(reactor, run_async):
    opened = []

    def build(settings=None, timeout_s=10.0):
        server = LogServer(settings or LogSettings(), reactor, SystemClock(), Random(1))
        listener = serve(reactor, server.resource, HOST)
        client = LogClient(f"http://{listener.address}", reactor, timeout_s)
        opened.append((listener, client))
        return server, client, listener

    build.stopped = stopped = []
    yield build
    for listener, client in opened:
        run_async(client.close())
        if listener not in stopped:
            run_async(listener.stop())


def put_faults(run_async, listener, **faults):
    async def put():
        url = f"http://{listener.address}/faults"
        response = await treq.put(url, json=faults, persistent=False)
        await response.content()
        return response.code

    return run_async(put())


def test_appends_get_consecutive_offsets_and_are_read_back(run_async, start):
    server, client, _ = start()
    assert run_async(client.append("jobs-000", [b"a", b"b"])) == 0
    assert run_async(client.append("jobs-000", [b"c"])) == 2
    assert run_async(client.append("jobs-001", [b"d"])) == 0
    page = run_async(client.read("jobs-000", 1))
    assert [(r.offset, r.data) for r in page.records] == [(1, b"b"), (2, b"c")]
    assert (page.first_offset, page.next_offset) == (0, 3)
    assert server.model.appends == 3


def test_service_that_is_down_rejects_without_effect(run_async, start):
    server, client, listener = start()
    assert put_faults(run_async, listener, is_down=True) == 200
    with pytest.raises(LogUnavailableError):
        run_async(client.append("s", [b"a"]))
    with pytest.raises(LogUnavailableError):
        run_async(client.read("s", 0))
    assert put_faults(run_async, listener, is_down=False) == 200
    assert run_async(client.read("s", 0)).next_offset == 0
    assert server.model.refused == 2


def test_refused_connection_raises_unavailable(run_async, start):
    _, client, listener = start()
    run_async(listener.stop())
    start.stopped.append(listener)
    with pytest.raises(LogUnavailableError):
        run_async(client.append("s", [b"a"]))


def test_lost_response_leaves_the_outcome_unknown(run_async, start):
    server, client, listener = start()
    put_faults(run_async, listener, lost_answers=1)
    with pytest.raises(AppendOutcomeUnknownError):
        run_async(client.append("s", [b"a"]))
    assert server.model.lost_answers == 1
    assert run_async(client.read("s", 0)).records[0].data == b"a"


def test_response_after_the_timeout_leaves_the_outcome_unknown(run_async, start):
    _, client, listener = start(timeout_s=0.2)
    put_faults(run_async, listener, delay_s=30)
    with pytest.raises(AppendOutcomeUnknownError):
        run_async(client.append("s", [b"a"]))
    with pytest.raises(LogUnavailableError):
        run_async(client.read("s", 0))
    put_faults(run_async, listener, delay_s=0)
    assert run_async(client.read("s", 0)).next_offset == 1


def test_rate_limit_counts_an_append_of_many_payloads_once(run_async, start):
    _, client, _ = start(LogSettings(appends_per_s=0.001, burst=2))
    run_async(client.append("s", [b"x"] * 500))
    run_async(client.append("s", [b"x"] * 500))
    with pytest.raises(LogRateLimitedError):
        run_async(client.append("s", [b"x"]))


def test_expired_offset_error_contains_the_first_readable_offset(run_async, start):
    _, client, _ = start(LogSettings(max_records=3))
    run_async(client.append("s", [bytes([n]) for n in range(8)]))
    with pytest.raises(LogExpiredError) as caught:
        run_async(client.read("s", 0))
    assert caught.value.first_offset == 5
    page = run_async(client.read("s", 5))
    assert [r.data for r in page.records] == [b"\x05", b"\x06", b"\x07"]


def test_invalid_faults_are_rejected(run_async, start):
    _, _, listener = start()
    assert put_faults(run_async, listener, no_such_fault=True) == 400
    assert put_faults(run_async, listener, lost_answer_rate=2) == 400
