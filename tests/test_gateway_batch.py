import msgspec
import pytest

from _gateway import CALL_TIMEOUT_S, config, job, route, text
from pomeloshift.dispatch import _peer_view
from pomeloshift.gateway import _batch_loop
from pomeloshift.gateway import _gateway as gateway_module
from pomeloshift.gateway._peer_exchange import PeerExchange
from pomeloshift.http1 import ConnectError, Headers, RequestHead
from pomeloshift.jobs import BatchSlots, ItemResumed
from pomeloshift.platform import StoreUnreachableError
from pomeloshift.standins.platform import Behaviour

POLLS = 200
BODIES = [b"one", b"two", b"x" * 10_000]  # the last one is split into several records


def test_job_is_run_and_read_at_any_gateway(play):
    async def scenario(deployment):
        engine = deployment.add_engine()
        first = await deployment.add_gateway()
        second = await deployment.add_gateway()
        accepted = await deployment.submit(first, "job1", BODIES)
        rows = await deployment.results(second, "job1", 3)
        again = await deployment.results(first, "job1", 3)
        return accepted.status, rows, again, engine.requests

    status, rows, again, seen = play(scenario)
    assert status == 202
    assert rows == again
    assert {row["id"]: row["state"] for row in rows} == {
        f"item{n}": "completed" for n in range(3)
    }
    assert {row["text"] for row in rows} == {text(4)}
    assert {s.id: s.body for s in seen} == dict(
        zip(["item0", "item1", "item2"], BODIES, strict=True)
    )
    assert all(s.headers["host"] == "app.example" for s in seen)


def test_repeated_submission_is_accepted_once(play):
    async def scenario(deployment):
        deployment.add_engine()
        gateways = [await deployment.add_gateway() for _ in range(2)]
        statuses = []
        for gateway in [*gateways, *gateways]:
            resp = await deployment.submit(gateway, "job1", BODIES)
            statuses.append(resp.status)
        await deployment.results(gateways[0], "job1", 3)
        await deployment.results(gateways[1], "job1", 3)
        resp = await deployment.call(gateways[1], "GET", "/api/lots/job1?after=1")
        return statuses, msgspec.json.decode(resp.body)

    statuses, page = play(scenario)
    assert statuses == [202] * 4
    assert (page["total"], page["nextToken"], len(page["results"])) == (3, 3, 2)


def test_lost_responses_of_the_store_do_not_duplicate_a_job(play):
    async def scenario(deployment):
        deployment.add_engine()
        gateway = await deployment.add_gateway()
        deployment.store.responses_to_drop = 2
        resp = await deployment.submit(gateway, "job1", BODIES)
        await deployment.results(gateway, "job1", 3)
        newest = deployment.store.state.partition("keyed.jobs", 0).newest()
        return resp.status, sum(key.startswith("job1/") for key in newest)

    # One record accepts the job, three hold the results of its items.
    assert play(scenario) == (202, 4)


def test_item_whose_stream_breaks_resumes_after_its_last_event(play):
    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(events=7, reset_after_events=3)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"one"])
        rows = await deployment.results(gateway, "job1", 1)
        return rows, [seen.headers.get("last-event-id") for seen in engine.requests]

    rows, resumed_from = play(scenario)
    assert rows[0]["text"] == text(7)
    assert resumed_from == [None, "3", "6"]


@pytest.mark.parametrize(("status", "runs"), [(422, 1), (500, 2)])
def test_item_that_fails_becomes_a_dead_letter(play, status, runs):
    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(status=status)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"one"])
        rows = await deployment.results(gateway, "job1", 1)
        return rows, len(engine.requests)

    rows, seen = play(scenario)
    assert rows == [{"id": "item0", "state": "dead_letter", "text": ""}]
    assert seen == runs


def test_engine_that_fails_everything_makes_no_dead_letters(play):
    async def scenario(deployment):
        engines = [deployment.add_engine() for _ in range(3)]
        engines[0].behaviour = Behaviour(status=500)
        gateways = [await deployment.add_gateway() for _ in range(2)]
        await deployment.submit(gateways[0], "job1", [b"one"] * 24)
        rows = await deployment.results(gateways[1], "job1", 24)
        return rows, len(engines[0].requests)

    rows, failed = play(scenario)
    assert {row["state"] for row in rows} == {"completed"}
    assert failed > 0


def test_engine_that_rejects_everything_does_not_keep_an_item_from_others(play):
    async def scenario(deployment):
        rejecting = deployment.add_engine(slots=8)
        rejecting.behaviour = Behaviour(is_full=True)
        deployment.add_engine(slots=4)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"one"])
        rows = []
        while not rows and len(rejecting.requests) < 5:
            await deployment.pause(0.02)
            resp = await deployment.call(gateway, "GET", "/api/lots/job1?after=0")
            rows = msgspec.json.decode(resp.body)["results"]
        return rows, len(rejecting.requests)

    rows, rejections = play(scenario)
    assert [row["state"] for row in rows] == ["completed"]
    assert rejections == 1


def test_new_gateway_knows_all_jobs_after_a_loss_of_history(play):
    async def scenario(deployment):
        deployment.add_engine()
        first = await deployment.add_gateway()
        await deployment.submit(first, "job1", BODIES)
        rows = await deployment.results(first, "job1", 3)
        for topic in ("keyed.jobs", "keyed.blobs"):
            deployment.store.state.partition(topic, 0).compact()
        second = await deployment.add_gateway()
        return rows, await deployment.results(second, "job1", 3)

    rows, again = play(scenario)
    assert rows == again


def test_body_is_read_and_a_job_ended(play):
    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", BODIES)
        body = await deployment.call(gateway, "GET", "/api/items/job1?id=item2")
        ends = [
            await deployment.call(gateway, "DELETE", "/api/lots/job1") for _ in range(2)
        ]
        deployment.add_engine()
        return body.body, [end.status for end in ends]

    assert play(scenario) == (BODIES[2], [200, 200])


def test_unknown_job_is_not_found_only_if_the_log_is_readable(play, monkeypatch):
    from pomeloshift.gateway import _batch_api

    monkeypatch.setattr(_batch_api, "RESULTS_MAX_AGE_S", -1.0)

    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        readable = await deployment.call(gateway, "GET", "/api/lots/job9?after=0")
        deployment.store.is_busy = True
        unreadable = await deployment.call(gateway, "GET", "/api/lots/job9?after=0")
        return readable.status, unreadable.status

    assert play(scenario) == (404, 503)


def test_job_that_does_not_fit_is_refused_and_never_runs(play):
    async def scenario(deployment):
        deployment.publish(config(2, [route("jobs", cap=100)]))
        gateway = await deployment.add_gateway()
        first = await deployment.submit(gateway, "job1", [b"a"], tokens=60)
        second = await deployment.submit(gateway, "job2", [b"a"], tokens=60)
        engine = deployment.add_engine()
        await deployment.results(gateway, "job1", 1)
        third = await deployment.submit(gateway, "job2", [b"a"], tokens=60)
        return [first.status, second.status, third.status, len(engine.requests)]

    statuses = play(scenario)
    assert statuses[:3] == [202, 429, 202]
    assert statuses[3] >= 1


def test_submission_is_refused_as_not_run_while_the_store_refuses(play, monkeypatch):
    from pomeloshift.gateway import _batch_api, _job_store

    monkeypatch.setattr(_job_store, "SUBMIT_TIMEOUT_S", 0.3)
    monkeypatch.setattr(_batch_api, "RESULTS_MAX_AGE_S", 60.0)

    async def scenario(deployment):
        engine = deployment.add_engine()
        gateway = await deployment.add_gateway()
        deployment.store.is_busy = True
        refused = await deployment.submit(gateway, "job1", BODIES)
        deployment.store.is_busy = False
        accepted = await deployment.submit(gateway, "job2", BODIES)
        await deployment.results(gateway, "job2", 3)
        unknown = await deployment.call(gateway, "GET", "/api/lots/job1?after=0")
        return refused.status, accepted.status, unknown.status, len(engine.requests)

    assert play(scenario) == (503, 202, 404, 3)


def test_submission_without_a_response_of_the_store_gets_504(play, monkeypatch):
    from pomeloshift.gateway import _batch_api, _job_store

    monkeypatch.setattr(_job_store, "SUBMIT_TIMEOUT_S", 0.3)
    monkeypatch.setattr(_batch_api, "RESULTS_MAX_AGE_S", 60.0)

    async def scenario(deployment):
        deployment.add_engine()
        gateway = await deployment.add_gateway()
        # The bodies are stored; the append of the job record gets no response.
        batch_api = gateway._batch_api
        put = batch_api.blobs.put

        async def put_then_silence(*args):
            refs = await put(*args)
            deployment.store.is_silent = True
            return refs

        batch_api.blobs.put = put_then_silence
        return await deployment.submit(gateway, "job1", BODIES)

    assert play(scenario).status == 504


def test_malformed_job_is_rejected(play):
    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        bad = job([b"a"]).replace(b"YQ==", b"%%%%")
        responses = [
            await deployment.call(gateway, "POST", "/jobs/new", body)
            for body in (b"{", bad)
        ]
        return [resp.status for resp in responses]

    assert play(scenario) == [400, 400]


def test_isolated_gateway_leaves_rotation_and_refuses_jobs(play):
    async def scenario(deployment):
        first, second = [await deployment.add_gateway() for _ in range(2)]
        while not (first.peers.loads.states and second.peers.loads.states):
            await deployment.pause(0.01)

        async def fail(*args, **kwargs):
            raise StoreUnreachableError("isolated")

        second._store.read = second._store.append = fail
        while second.job_log.follower.is_reachable:
            await deployment.pause(0.02)
        jobs = [await deployment.submit(g, "job1", [b"a"]) for g in (second, first)]
        head = RequestHead(b"GET", b"/api/ready", Headers([(b"Host", b"x")]))
        ready = [
            (await deployment.client.call(g.ready_address, head, b"", 20.0)).status
            for g in (first, second)
        ]
        second.members.update_members()
        owned = any(second.batch_loop.ownership.owns(f"i-{n}") for n in range(20))
        return [job.status for job in jobs], ready, owned

    assert play(scenario) == ([503, 202], [200, 503], False)


def test_gateway_that_the_store_rejects_uses_another_as_relay(play):
    async def scenario(deployment):
        deployment.add_engine()
        first, second = [await deployment.add_gateway() for _ in range(2)]
        while not second.peers.relays():
            await deployment.pause(0.01)
        client = second._store._client
        call = client.call

        async def reject_direct(address, *args, **options):
            if address == deployment.store_address:
                raise ConnectError("rejected")
            return await call(address, *args, **options)

        client.call = reject_direct
        while second._store_link.path.is_direct:
            await deployment.pause(0.02)
        while not second.job_log.follower.is_reachable:
            await deployment.pause(0.02)
        accepted = await deployment.submit(second, "job1", BODIES)
        rows = await deployment.results(second, "job1", 3)
        others = await deployment.results(first, "job1", 3)
        del client.call
        while not second._store_link.path.is_direct:
            await deployment.pause(0.02)
        return accepted.status, rows == others, len(rows)

    assert play(scenario) == (202, True, 3)


def test_item_resumed_by_two_gateways_that_do_not_hear_each_other_runs_at_one(
    play, monkeypatch
):
    monkeypatch.setattr(PeerExchange, "datagramReceived", lambda *args: None)
    monkeypatch.setattr(_peer_view, "ALONE_S", 0.0)

    async def scenario(deployment):
        gateways = [await deployment.add_gateway() for _ in range(2)]
        await deployment.submit(gateways[0], "job1", [b"one"])
        await deployment.store_progress(gateways[0], "job1", events=2)
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(events=1000, event_gap_s=0.05)
        for _ in range(POLLS):
            if engine.aborted > 0:
                break
            await deployment.pause(0.01)
        return [s.headers.get("last-event-id") for s in engine.requests], engine.running

    resumed_from, running = play(scenario)
    assert set(resumed_from) == {"2"}
    assert running == 1


def test_run_of_an_item_ends_once_another_gateway_has_resumed_the_item(play):
    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(events=1000, event_gap_s=0.05)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"one"])
        while not engine.running:
            await deployment.pause(0.01)
        await gateway.job_log.append_within(ItemResumed("job1", 0, 2, "other"), 1.0)
        while engine.running:
            await deployment.pause(0.01)
        return gateway.batch_loop.running, len(engine.requests)

    assert play(scenario) == (0, 1)


def test_item_is_not_resumed_by_a_gateway_that_cannot_claim_it(play, monkeypatch):
    monkeypatch.setattr(_batch_loop, "ITEM_STORE_RETRY_S", 0.05)

    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"one"])
        await deployment.store_progress(gateway, "job1", events=2)
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(delay_s=CALL_TIMEOUT_S)
        while not engine.requests:
            await deployment.pause(0.01)
        deployment.store.is_busy = True
        while gateway.job_log.follower.is_reachable:
            await deployment.pause(0.01)
        gateway.batch_loop._tasks["job1", 0].cancel()
        await deployment.pause(0.5)
        unclaimed = len(engine.requests) - 1
        deployment.store.is_busy = False
        while len(engine.requests) < 2:
            await deployment.pause(0.01)
        return unclaimed

    assert play(scenario) == 0


def test_resumed_run_is_claimed_in_the_log_before_it_reaches_an_engine(play):
    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"one"])
        await deployment.store_progress(gateway, "job1", events=2)
        # Its version is recorded, but nothing is sent to it yet.
        engine = deployment.add_engine(state="draining")
        while not deployment.store.state.partition("keyed.streams", 0).records:
            await deployment.pause(0.01)
        deployment.store.responses_to_drop = 2
        engine.behaviour = Behaviour(events=1000, event_gap_s=0.05)
        deployment.register(engine)
        while not engine.requests:
            await deployment.pause(0.01)
        appends = deployment.store.appends
        await gateway.job_log.follower.catch_up()
        claim = gateway.job_log.table.jobs["job1"].claims[0]
        return claim.by == gateway.batch_loop.queue.name, appends

    # A body, the job, a text, its progress, and the claim, which is tried three times,
    # beside the gateway's address and the version of the engine's software.
    assert play(scenario) == (True, 9)


def test_address_that_a_poll_missed_is_read_when_its_gateway_is_heard(
    play, monkeypatch
):
    """The poll of the addresses ends long after the test."""
    monkeypatch.setattr(gateway_module, "PEER_REFRESH_S", 0.05)

    async def scenario(deployment):
        first = await deployment.add_gateway()
        deployment.store.overlooked_topics = {"keyed.peers"}
        await deployment.add_gateway()
        for _ in range(POLLS):
            if first.peers.zone_of("127.0.0.2"):
                break
            await deployment.pause(0.01)
        return first.peers.zone_of("127.0.0.2")

    assert play(scenario) == "a"


def test_gateway_that_starts_again_runs_nothing_that_its_peers_run(play, monkeypatch):
    """The peers' heartbeats arrive 0.5 s late, after the log has been replayed."""
    send = PeerExchange._send

    def send_later(exchange, *args):
        exchange._reactor.callLater(0.5, send, exchange, *args)

    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(events=1000, event_gap_s=0.05)
        first = await deployment.add_gateway()
        await deployment.submit(first, "job1", [b"one"])
        while not engine.running:
            await deployment.pause(0.01)
        monkeypatch.setattr(PeerExchange, "_send", send_later)
        second = await deployment.add_gateway()
        while not second.peers.loads.states:
            await deployment.pause(0.01)
        await deployment.pause(0.3)
        return len(engine.requests)

    assert play(scenario) == 1


def test_item_preempted_while_its_gateway_drains_is_handed_off(play, monkeypatch):
    monkeypatch.setattr(_batch_loop, "HOLD_STOPPED_S", 0.05)

    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(events=1000, event_gap_s=0.02)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"one"])
        loop = gateway.batch_loop
        while not loop._runs or loop._runs["job1", 0].progress is None:
            await deployment.pause(0.01)
        job = gateway.job_log.table.jobs["job1"]
        loop.stop_starting()
        loop._stop(("job1", 0), loop._runs["job1", 0], loop.access.now(), "slot needed")
        for _ in range(POLLS):
            if job.progress:
                break
            await deployment.pause(0.01)
        return set(job.progress)

    assert play(scenario) == {0}


def test_heartbeats_cost_nothing_for_engines_without_own_items(play, monkeypatch):
    looked_at = []

    def items_to_preempt(self, engine, now):
        looked_at.append(engine.record.id)
        return 0

    monkeypatch.setattr(BatchSlots, "items_to_preempt", items_to_preempt)

    async def scenario(deployment):
        engines = [deployment.add_engine() for _ in range(3)]
        engines[0].behaviour = Behaviour(delay_s=CALL_TIMEOUT_S)
        gateway = await deployment.add_gateway()
        while gateway.count_engines()["serving"] < 3:
            await deployment.pause(0.01)
        before = list(looked_at)
        for engine in engines[1:]:
            engine.behaviour = Behaviour(is_full=True)
        await deployment.submit(gateway, "job1", [b"one"])
        while not engines[0].requests:
            await deployment.pause(0.01)
        looked_at.clear()
        gateway.batch_loop.preempt_items()
        return before, looked_at

    before, looked_at = play(scenario)
    assert before == []
    assert set(looked_at) == {"i-0"}
