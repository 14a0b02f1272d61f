import pytest
import treq

from pomeloshift.errors import ErrorCode, PomeloshiftError
from pomeloshift.model import Instance, InstanceRole, InstanceState, Place
from pomeloshift.net import SystemClock
from pomeloshift.standins.livelist import ListModel
from pomeloshift.standins.weights import WeightModel

ENTRY = Instance("entry-1", InstanceRole.ENTRY, Place("r", "r-a"), "127.0.0.1:1")


@pytest.fixture
def serve(reactor, run_async):
    from pomeloshift.net._serve import serve

    listeners = []

    def start(server):
        listener = serve(reactor, server.resource, "127.0.0.1")
        listeners.append(listener)
        return f"http://{listener.address}"

    yield start
    for listener in listeners:
        run_async(listener.stop())


@pytest.fixture
def send(reactor):
    from twisted.web.client import HTTPConnectionPool

    pool = HTTPConnectionPool(reactor, persistent=False)

    async def request(method, url, **kwargs):
        resp = await treq.request(method, url, reactor=reactor, pool=pool, **kwargs)
        return resp, await resp.json()

    return request


def test_list_shows_changes_after_the_lag_and_in_order():
    listed = ListModel(lag_s=2.0)
    listed.put(ENTRY, now=10.0)
    assert listed.instances(now=11.9) == ()
    assert listed.instances(now=12.0) == (ENTRY,)
    listed.remove("entry-1", now=12.0)
    listed.lag_s = 0.0
    listed.put(ENTRY, now=12.5)
    assert listed.instances(now=13.9) == (ENTRY,)
    assert listed.instances(now=14.0) == (ENTRY,)


def test_client_reads_the_changes_that_the_list_server_accepts(
    reactor, run_async, serve, send
):
    import attrs

    from pomeloshift.net._list_client import LiveListClient
    from pomeloshift.standins.livelist import ListSettings, LiveListServer

    settings = ListSettings(lag_s=60.0, instances=(ENTRY,))
    url = serve(LiveListServer(settings, reactor, SystemClock()))
    leaving = attrs.evolve(ENTRY, state=InstanceState.LEAVING)
    entry = f"{url}/instances/entry-1"

    async def change_and_read():
        client = LiveListClient(url, reactor)
        first = await client.instances()
        await send("PUT", f"{url}/lag", json={"lag_s": 0})
        resp, _ = await send("PUT", entry, json={"name": 3})
        await send("PUT", entry, data=_as_json(leaving))
        return first, resp.code, await client.instances()

    assert run_async(change_and_read()) == ((ENTRY,), 400, (leaving,))


def _as_json(value):
    import msgspec

    return msgspec.json.encode(value)


def test_list_client_reports_an_unreachable_list(reactor, run_async):
    from pomeloshift.net._list_client import LiveListClient

    client = LiveListClient("http://127.0.0.1:1", reactor)
    with pytest.raises(PomeloshiftError) as caught:
        run_async(client.instances())
    assert caught.value.code is ErrorCode.NOT_READY


def test_service_counts_runs_whose_response_was_lost(reactor, run_async, serve, send):
    from twisted.web.client import ResponseNeverReceived

    from pomeloshift.standins.service import PlainServiceServer, ServiceSettings

    url = serve(PlainServiceServer(ServiceSettings(), reactor, SystemClock()))
    headers = {"Idempotency-Key": "k1"}

    async def call():
        behaviour = f"{url}/_behaviour"
        _, first = await send("POST", f"{url}/notes", headers=headers, data=b"hello")
        await send("PUT", behaviour, json={"fault": "lose_answer"})
        with pytest.raises(ResponseNeverReceived):
            await send("POST", f"{url}/notes", headers=headers)
        await send("PUT", behaviour, json={"fault": "fail"})
        failed, _ = await send("POST", f"{url}/notes", headers=headers)
        _, calls = await send("GET", f"{url}/_calls")
        return first, failed.code, calls

    first, status, calls = run_async(call())
    assert first["body"] == "hello"
    assert status == 500
    assert calls["calls"][0]["runs"] == 2
    assert calls["run_again"] == ["k1"]


def test_weight_store_limits_the_rate_of_loads():
    store = WeightModel(loads_per_s=2.0, burst=2)
    assert [store.start_load(100.0) for _ in range(3)] == [None, None, 0.5]
    assert store.start_load(100.5) is None
    assert (store.started, store.refused) == (3, 1)


def test_weight_server_rejects_loads_beyond_its_rate(reactor, run_async, serve, send):
    from pomeloshift.standins.weights import WeightsServer, WeightsSettings

    settings = WeightsSettings(loads_per_s=0.01, burst=1, load_s=0, models=("lm",))
    url = serve(WeightsServer(settings, reactor, SystemClock()))

    async def load():
        first, _ = await send("GET", f"{url}/weights/lm/1")
        second, body = await send("GET", f"{url}/weights/lm/1")
        missing, _ = await send("GET", f"{url}/weights/other/1")
        return first.code, second.code, body["error"]["code"], missing.code

    assert run_async(load()) == (200, 429, "rate_limited", 404)
