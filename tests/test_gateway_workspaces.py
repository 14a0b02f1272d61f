"""Requests with API keys, at gateways in the test's process."""

import msgspec
import pytest
from loguru import logger
from twisted.internet.defer import Deferred

from _gateway import CALL_TIMEOUT_S, ROUTES, config, job, route, workspace
from pomeloshift.http1 import ConnectError, Headers, RequestHead
from pomeloshift.net import SystemClock
from pomeloshift.standins.platform import Behaviour

STRICT = {"strictRevoke": True, "revokeMs": 1000}
NORTH = workspace("north", "key-n1", "key-n2")
SOUTH = workspace("south", "key-s1")
ALL_ROUTES = [
    *(route(name) for name in ROUTES),
    route("open", kind="idempotent", anonymous=True),
]


def tenants(version, *workspaces):
    return config(version, ALL_ROUTES, tenants=list(workspaces))


def bearer(key):
    return {"Authorization": f"Bearer {key}"} if key is not None else {}


async def submit(deployment, gateway, key, job_id="job1"):
    body = job([b"a"], tokens=1)
    items = msgspec.json.decode(body)
    items["items"][0]["headers"] |= {"authorization": "Bearer key-s1", "X-Tenant": "x"}
    body = msgspec.json.encode(items)
    return await deployment.call(
        gateway, "POST", "/jobs/new", body, job_id, **bearer(key)
    )


async def is_ready(deployment, gateway):
    head = RequestHead(b"GET", b"/api/ready", Headers([(b"Host", b"x")]))
    resp = await deployment.client.call(
        gateway.ready_address, head, b"", CALL_TIMEOUT_S
    )
    return resp.status == 200


def count_starts(log_lines):
    return sum("event=item_started" in line for line in log_lines)


@pytest.fixture
def log_lines():
    """The lines logged during a test."""
    lines = []
    sink = logger.add(lambda line: lines.append(str(line)), level="DEBUG")
    yield lines
    logger.remove(sink)


@pytest.mark.parametrize(
    ("path", "key", "status", "sent"),
    [
        ("/plain/a", "key-n1", 200, "north"),
        ("/plain/a", "key-n2", 200, "north"),
        ("/plain/a", "key-s1", 200, "south"),
        ("/plain/a", "key-x", 401, None),
        ("/plain/a", None, 401, None),
        ("/jobs/new", None, 401, None),
        ("/api/lots/job1", None, 401, None),
        ("/open/a", None, 200, None),
        ("/open/a", "key-x", 200, None),
        ("/open/a", "key-s1", 200, "south"),
    ],
)
def test_key_decides_and_engine_gets_the_workspace_only(
    play, log_lines, path, key, status, sent
):
    """A key that leaves the gateway, or a forged name, gives access to other teams."""

    async def scenario(deployment):
        engine = deployment.add_engine()
        deployment.publish(tenants(2, NORTH, SOUTH))
        gateway = await deployment.add_gateway()
        method = "GET" if path.startswith("/api") else "POST"
        resp = await deployment.call(
            gateway, method, path, b"x", "r1", X_Tenant="forged", **bearer(key)
        )
        return resp.status, [one.headers for one in engine.requests]

    answered, received = play(scenario)
    assert answered == status
    assert len(received) == int(status == 200)
    for headers in received:
        assert headers.get("x-tenant") == sent
        assert "authorization" not in headers
    assert not any("key-" in line for line in log_lines)


def test_headers_pass_where_callers_have_no_workspaces(play):
    async def scenario(deployment):
        engine = deployment.add_engine()
        gateway = await deployment.add_gateway()
        await deployment.call(
            gateway, "POST", "/plain/a", X_Tenant="own", **bearer("any")
        )
        return engine.requests[0].headers

    headers = play(scenario)
    assert (headers["x-tenant"], headers["authorization"]) == ("own", "Bearer any")


def test_key_that_is_newer_than_the_configuration_is_read_first(play):
    """Guards against a 401 for a key that another gateway already knows."""

    async def scenario(deployment):
        deployment.add_engine()
        deployment.publish(tenants(2, NORTH))
        gateway = await deployment.add_gateway()
        # Its long poll does not see the new configuration.
        deployment.store.overlooked_topics.add("keyed.op")
        await deployment.pause(0.4)
        deployment.publish(tenants(3, NORTH, SOUTH))
        calls = [
            deployment.call(gateway, "POST", "/plain/a", b"", f"r{n}", **bearer(key))
            for n, key in enumerate(["key-s1", "key-s1", "key-x"])
        ]
        return [(await call).status for call in calls]

    assert play(scenario) == [200, 200, 401]


def test_unknown_key_is_refused_as_not_run_while_the_configuration_may_be_old(play):
    """Guards against a 401 for a new key during an outage of the store."""

    async def scenario(deployment):
        deployment.add_engine()
        deployment.publish(tenants(2, NORTH))
        gateway = await deployment.add_gateway()
        deployment.store.is_busy = True
        await deployment.pause(0.4)
        unknown = await deployment.call(gateway, "POST", "/plain/a", **bearer("key-s1"))
        known = await deployment.call(gateway, "POST", "/plain/a", **bearer("key-n1"))
        return unknown.status, unknown.headers.get(b"retry-after"), known.status

    unknown, retry_after, known = play(scenario)
    assert (unknown, known) == (503, 200)
    assert float(retry_after) > 0


def test_job_belongs_to_its_workspace(play):
    """Guards against reading, ending or repeating the jobs of another workspace."""

    async def scenario(deployment):
        engine = deployment.add_engine()
        deployment.publish(tenants(2, NORTH, SOUTH))
        gateway = await deployment.add_gateway()
        accepted = await submit(deployment, gateway, "key-n1")

        async def each_call(key):
            calls = [
                ("GET", "/api/lots/job1?after=0"),
                ("GET", "/api/items/job1?id=item0"),
                ("DELETE", "/api/lots/job1"),
            ]
            return [
                (await deployment.call(gateway, *call, **bearer(key))).status
                for call in calls
            ]

        foreign = await each_call("key-s1")
        repeats = [
            (await submit(deployment, gateway, key)).status
            for key in ("key-s1", "key-n2", None)
        ]
        while not engine.requests:
            await deployment.pause(0.01)
        own = await each_call("key-n2")
        records = b"".join(
            record
            for partition in deployment.store.state._partitions.values()
            for record in partition.records
        )
        return accepted.status, foreign, repeats, own, engine.requests[0], records

    accepted, foreign, repeats, own, item, records = play(scenario)
    assert accepted == 202
    assert foreign == [404, 404, 404]
    assert repeats == [404, 202, 401]
    assert own == [200, 200, 200]
    assert item.headers["x-tenant"] == "north"
    assert "authorization" not in item.headers
    assert b"Bearer" not in records


def test_items_run_with_their_workspace_after_it_was_removed(play):
    """Guards against items that run without a name, or never."""

    async def scenario(deployment):
        deployment.publish(tenants(2, NORTH, SOUTH))
        gateway = await deployment.add_gateway()
        await submit(deployment, gateway, "key-n1")
        deployment.publish(tenants(3, SOUTH))
        while gateway.config.current.version < 3:
            await deployment.pause(0.01)
        refused = await submit(deployment, gateway, "key-n1", "job2")
        engine = deployment.add_engine()
        while not engine.requests:
            await deployment.pause(0.01)
        return refused.status, engine.requests[0].headers["x-tenant"]

    assert play(scenario) == (401, "north")


def test_gateway_without_the_store_serves_no_keys_until_it_is_back(play, log_lines):
    """Guards against serving a key that was revoked during an outage."""

    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(is_full=True)
        deployment.publish(tenants(2, NORTH))
        gateway = await deployment.add_gateway(**STRICT)
        accepted = await submit(deployment, gateway, "key-n1")
        deployment.store.is_busy = True
        while gateway.workspaces.may_start():
            await deployment.pause(0.02)
        engine.behaviour = Behaviour()
        before = count_starts(log_lines)
        statuses = [
            await deployment.call(gateway, "POST", path, **bearer(key))
            for path, key in (
                ("/plain/a", "key-n1"),
                ("/plain/a", None),
                ("/open/a", "key-n1"),
                ("/open/a", None),
            )
        ]
        job2 = await submit(deployment, gateway, "key-n1", "job2")
        ready = await is_ready(deployment, gateway)
        for _ in range(5):
            await deployment.pause(0.1)
            gateway.batch_loop.tick()
        started = count_starts(log_lines) - before
        deployment.store.is_busy = False
        await deployment.until_ready(gateway)
        again = await deployment.call(gateway, "POST", "/plain/a", **bearer("key-n1"))
        while count_starts(log_lines) == before:
            await deployment.pause(0.02)
        refused = [resp.status for resp in (*statuses, job2)]
        retry = statuses[0].headers.get(b"retry-after")
        return accepted.status, refused, float(retry), ready, started, again.status

    accepted, refused, retry, ready, started, again = play(scenario)
    assert (accepted, again) == (202, 200)
    assert refused == [503, 503, 503, 200, 503]
    assert 0 < retry < 1
    assert not ready
    assert started == 0


@pytest.mark.parametrize("fault", ["rejected", "silent"])
def test_lease_is_renewed_through_a_relay(play, fault):
    """Guards against a gateway that the store alone does not serve losing its lease."""

    async def scenario(deployment):
        deployment.add_engine()
        deployment.publish(tenants(2, NORTH))
        first, second = [await deployment.add_gateway(**STRICT) for _ in range(2)]
        while not second.peers.relays():
            await deployment.pause(0.01)
        client = second._store._client
        call = client.call

        async def fail_direct(address, *args, **options):
            if address != deployment.store_address:
                return await call(address, *args, **options)
            if fault == "silent":
                await deployment.pause(60.0)
            raise ConnectError("rejected")

        client.call = fail_direct
        statuses = set()
        for _ in range(40):
            await deployment.pause(0.1)
            resp = await deployment.call(second, "POST", "/plain/a", **bearer("key-n1"))
            statuses.add(resp.status)
        return statuses

    assert play(scenario) == {200}


class ShiftedClock(SystemClock):
    """A clock of a machine that was suspended for ``suspended_s`` seconds."""

    suspended_s = 0.0

    def boottime(self):
        return super().boottime() + self.suspended_s


def test_request_is_not_sent_again_after_the_lease_and_a_sent_one_continues(play):
    """Guards against a retry, after a suspension, of a request whose key is revoked."""

    async def scenario(deployment):
        engines = [deployment.add_engine() for _ in range(2)]
        routes = [route("plain", targetLatencyMs=200), route("once")]
        deployment.publish(config(2, routes, tenants=[NORTH]))
        gateway = await deployment.add_gateway(**STRICT)
        gateway.workspaces.clock = clock = ShiftedClock()
        for engine in engines:
            engine.behaviour = Behaviour(events=20, event_gap_s=0.05)
        sent = Deferred.fromCoroutine(
            deployment.call(gateway, "POST", "/once/a", **bearer("key-n1"))
        )
        while not any(engine.requests for engine in engines):
            await deployment.pause(0.01)
        for engine in engines:
            engine.behaviour = Behaviour(is_silent=True)
        retried = Deferred.fromCoroutine(
            deployment.call(gateway, "POST", "/plain/a", b"", "r2", **bearer("key-n1"))
        )
        while sum(len(engine.requests) for engine in engines) < 2:
            await deployment.pause(0.01)
        for engine in engines:
            engine.behaviour = Behaviour()
        deployment.store.is_busy = True
        clock.suspended_s = 10.0
        statuses = (await sent).status, (await retried).status
        return statuses, sum(len(engine.requests) for engine in engines)

    assert play(scenario) == ((200, 502), 2)
