import json
from collections import Counter

import attrs
import pytest

from _jobs import CONFIG, ENDPOINT, SETTINGS, ScriptedSidecar, entry, jsonl
from _virtual import Deployment, result_of, with_settings
from pomeloshift.batch import UnknownFileError, UnknownJobError
from pomeloshift.config import CallPattern, ServiceConfig
from pomeloshift.errors import ErrorCode, PomeloshiftError, Ran
from pomeloshift.standins.log import LogFaults, LogSettings
from pomeloshift.wire import ItemResults

UNREPEATABLE = attrs.evolve(
    CONFIG,
    services=(ServiceConfig("lm", unrepeatable_calls=(CallPattern("POST", "/v1"),)),),
)
SEEDS = range(6)


@pytest.fixture
def deploy():
    made = []

    def build(*args, **kwargs):
        made.append(Deployment(*args, **kwargs))
        return made[-1]

    yield build
    for deployment in made:
        deployment.model.faults = LogFaults()
        deployment.stop_all()


def finish(deployment, service, job_id, sidecar=None):
    sidecar = sidecar or ScriptedSidecar()
    for _ in range(2000):
        view = deployment.run(service.get_job("w", job_id))
        if view.status != "in_progress":
            return view
        deployment.run(sidecar.run(service))
        deployment.advance(0.1)
    raise AssertionError("the job did not end")


def read_lines(deployment, service, file_id):
    async def read():
        return b"".join([p async for p in service.file_content("w", file_id)])

    return [json.loads(line) for line in deployment.run(read()).splitlines()]


def test_results_outlive_the_log_retention_and_expire_with_their_own(deploy):
    cfg = attrs.evolve(CONFIG, result_retention_s=2000.0)
    retained = with_settings(log_retention_s=240.0, maintenance_s=10.0, cache_bytes=0)
    deployment = deploy(LogSettings(retention_s=240.0), retained)
    service = deployment.start("e1", cfg=cfg)
    done_job = deployment.submit(service, 20, "done")
    view = finish(deployment, service, done_job.job_id)
    open_job = deployment.submit(service, 30, "open")
    output = view.as_json()["output_file_id"]
    before = read_lines(deployment, service, output)
    for round_number in range(4):
        deployment.advance(400.0, 1.0)
        deployment.stop(service)
        service = deployment.start(f"e{round_number + 2}", cfg=cfg)
        assert read_lines(deployment, service, output) == before
        again = deployment.submit(service, 20, "done")
        assert (again.job_id, again.status) == (done_job.job_id, "completed")
    stream = f"jobs-{int(open_job.job_id.split('_')[1]):03d}"
    end = deployment.run(deployment.log.read(stream, 10**9)).first_offset
    assert end > 0
    assert finish(deployment, service, open_job.job_id).completed == 30
    deployment.advance(600.0, 1.0)
    with pytest.raises(UnknownFileError):
        read_lines(deployment, service, output)
    with pytest.raises(UnknownJobError):
        deployment.run(service.get_job("w", done_job.job_id))


@pytest.mark.parametrize("seed", SEEDS)
def test_two_owners_under_lost_replies_complete_each_item_once(deploy, seed):
    deployment = deploy(seed=seed)
    services = [deployment.start(name) for name in ("e1", "e2")]
    job = deployment.submit(services[0], 40)
    deployment.model.faults = LogFaults(lost_answer_rate=0.3, refusal_rate=0.1)
    sidecars = [ScriptedSidecar("s1"), ScriptedSidecar("s2")]
    for _ in range(200):
        for service, sidecar in zip(services, sidecars, strict=True):
            pulled = deployment.run(sidecar.pull(service, items=5))
            outcomes = tuple(sidecar.outcome(item) for item in pulled.items)
            sidecar.ran += [item.index for item in pulled.items]
            for _ in range(50):
                results = ItemResults(sidecar.name, 1, outcomes)
                if deployment.run(service.results(results)).error is None:
                    break
        if deployment.run(services[0].get_job("w", job.job_id)).status == "completed":
            break
    deployment.model.faults = LogFaults()
    deployment.advance(2.0)
    views = [deployment.run(each.get_job("w", job.job_id)) for each in services]
    assert views[0] == views[1]
    assert (views[0].completed, views[0].failed) == (40, 0)
    results = [
        read_lines(deployment, each, views[0].as_json()["output_file_id"])
        for each in services
    ]
    assert results[0] == results[1]
    assert Counter(line["custom_id"] for line in results[0]) == Counter(
        f"c{n}" for n in range(40)
    )
    assert deployment.model.lost_answers > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_unrepeatable_items_are_granted_once_by_two_owners(deploy, seed):
    deployment = deploy(seed=seed)
    services = [deployment.start(name, cfg=UNREPEATABLE) for name in ("e1", "e2")]
    job = deployment.submit(services[0], 20)
    deployment.model.faults = LogFaults(lost_answer_rate=0.3, refusal_rate=0.1)
    granted = Counter()
    sidecars = [ScriptedSidecar("s1"), ScriptedSidecar("s2")]
    for turn in range(120):
        for service, sidecar in zip(services, sidecars, strict=True):
            grants = deployment.run(sidecar.pull(service, items=3))
            granted.update(item.index for item in grants.items)
            assert not any(item.idempotent for item in grants.items)
            outcomes = tuple(sidecar.outcome(item) for item in grants.items)
            if turn % 3:
                deployment.run(service.results(ItemResults(sidecar.name, 1, outcomes)))
        deployment.advance(0.2)
    deployment.model.faults = LogFaults()
    deployment.advance(20.0)
    view = deployment.run(services[0].get_job("w", job.job_id))
    assert view.status == "completed"
    assert max(granted.values()) == 1
    assert deployment.model.lost_answers > 0
    if view.failed:
        errors = read_lines(deployment, services[0], view.as_json()["error_file_id"])
        assert {line["error"]["code"] for line in errors} == {"outcome_unknown"}


def test_unrepeatable_items_wait_while_the_log_is_down(deploy):
    deployment = deploy()
    service = deployment.start("e1", cfg=UNREPEATABLE)
    deployment.submit(service, 3)
    deployment.model.faults = LogFaults(is_down=True)
    sidecar = ScriptedSidecar()
    for _ in range(3):
        assert deployment.run(sidecar.pull(service)).items == ()
    deployment.model.faults = LogFaults()
    deployment.advance(1.0)
    assert len(deployment.run(sidecar.pull(service)).items) == 3


def test_batch_work_continues_within_the_buffer_while_the_log_is_down(deploy):
    commit = attrs.evolve(SETTINGS.commit, buffer_records=40)
    deployment = deploy(settings=with_settings(commit=commit, commit_wait_s=0.2))
    service = deployment.start("e1")
    job = deployment.submit(service, 100)
    sidecar = ScriptedSidecar()
    deployment.model.faults = LogFaults(is_down=True)
    unacknowledged, started_at = [], deployment.reactor.seconds()
    for _ in range(60):
        grants = deployment.run(sidecar.pull(service, items=5))
        unacknowledged += [sidecar.outcome(item) for item in grants.items]
        reply = deployment.run(
            service.results(ItemResults("s1", 1, tuple(unacknowledged)))
        )
        assert unacknowledged == [] or reply.error.code is ErrorCode.LOG_UNAVAILABLE
        deployment.advance(1.0)
    assert deployment.reactor.seconds() - started_at > 60
    assert 20 <= len(unacknowledged) <= 40
    waiting = [runner._committer.waiting_records for runner in service.runners.values()]
    assert sum(waiting) <= 40
    deployment.model.faults = LogFaults()
    deployment.advance(1.0)
    reply = deployment.run(service.results(ItemResults("s1", 1, tuple(unacknowledged))))
    assert reply.error is None
    view = finish(deployment, service, job.job_id, sidecar)
    assert (view.completed, view.failed) == (100, 0)


def test_cancel_while_the_log_is_down_stops_at_once_and_shows_as_cancelling(deploy):
    deployment = deploy(settings=with_settings(commit_wait_s=0.2))
    service = deployment.start("e1")
    job = deployment.submit(service, 10)
    sidecar = ScriptedSidecar()
    held = deployment.run(sidecar.pull(service, items=2)).items
    deployment.model.faults = LogFaults(is_down=True)
    view = deployment.run(service.cancel_job("w", job.job_id))
    assert view.status == "cancelling"
    after = deployment.run(sidecar.pull(service))
    assert after.items == ()
    assert set(after.cancelled) == {item.lease_id for item in held}
    deployment.model.faults = LogFaults()
    deployment.advance(2.0)
    assert deployment.run(service.get_job("w", job.job_id)).status == "cancelled"


def test_slow_log_delays_acceptance_and_loses_nothing(deploy):
    deployment = deploy()
    service = deployment.start("e1")
    deployment.model.faults = LogFaults(delay_s=1.5)
    job = deployment.submit(service, 10)
    view = finish(deployment, service, job.job_id)
    assert (view.completed, view.failed) == (10, 0)
    assert deployment.reactor.seconds() > 6


def test_partition_is_not_served_before_its_stream_is_read(deploy):
    deployment = deploy(settings=with_settings(open_s=1.0))
    service = deployment.start("e1")
    job = deployment.submit(service, 3)
    deployment.stop(service)
    deployment.model.faults = LogFaults(is_down=True)
    successor = deployment.start("e2")
    with pytest.raises(PomeloshiftError) as caught:
        deployment.run(successor.get_job("w", job.job_id))
    assert caught.value.code is ErrorCode.LOG_UNAVAILABLE
    assert caught.value.ran is Ran.NO
    assert caught.value.retry_after_s
    deployment.model.faults = LogFaults()
    deployment.advance(10.0)
    assert deployment.run(successor.get_job("w", job.job_id)).items == 3


@pytest.mark.parametrize("seed", range(30))
def test_response_about_acceptance_agrees_with_the_log(deploy, seed):
    deployment = deploy(settings=with_settings(accept_s=0.3), seed=seed)
    service = deployment.start("e1")
    file = deployment.run(service.upload_file("w", "f", "batch", jsonl(3)))
    faults = LogFaults(lost_answer_rate=0.4, refusal_rate=0.4)
    deployment.model.faults = faults
    seen = {}
    for key in "abcdef":
        call = service.create_job("w", file.file_id, ENDPOINT, idempotency_key=key)
        try:
            seen[key] = deployment.run(call).job_id
        except PomeloshiftError as exc:
            seen[key] = exc.ran
            assert exc.ran in (Ran.NO, Ran.UNKNOWN)
    deployment.model.faults = LogFaults()
    deployment.advance(20.0)
    deployment.stop(service)
    successor = deployment.start("e2")
    jobs, _ = deployment.run(successor.list_jobs("w", limit=100))
    accepted = {job.job_id for job in jobs}
    confirmed = {job_id for job_id in seen.values() if isinstance(job_id, str)}
    unknown = [key for key, value in seen.items() if value is Ran.UNKNOWN]
    assert confirmed <= accepted
    assert len(accepted) <= len(confirmed) + len(unknown)


@pytest.mark.parametrize("seed", SEEDS)
def test_restarts_of_entries_lose_no_items(deploy, seed):
    deployment = deploy(seed=seed)
    entries = []
    first = deployment.start("e1", [entry("e1")])
    job = deployment.submit(first, 30)
    deployment.model.faults = LogFaults(lost_answer_rate=0.2)
    sidecar, entries = ScriptedSidecar(), [first]
    for number in range(12):
        if number % 3 == 2:
            deployment.stop(entries.pop(0))
            entries.append(deployment.start(f"e{number}"))
        deployment.run(sidecar.run(entries[-1], items=4))
        deployment.advance(1.0)
    deployment.model.faults = LogFaults()
    view = finish(deployment, entries[-1], job.job_id, sidecar)
    assert (view.completed, view.failed) == (30, 0)
    output = view.as_json()["output_file_id"]
    lines = read_lines(deployment, entries[-1], output)
    assert len({line["custom_id"] for line in lines}) == len(lines) == 30


def test_job_survives_the_loss_of_its_entry_right_after_acceptance(deploy):
    deployment = deploy()
    service = deployment.start("e1")
    file = deployment.run(service.upload_file("w", "f", "batch", jsonl(3)))
    creating = deployment.begin(service.create_job("w", file.file_id, ENDPOINT))
    while not creating.called:
        deployment.advance(0.01, 0.01)
    job = result_of(creating)
    deployment.stop(service)
    successor = deployment.start("e2")
    assert finish(deployment, successor, job.job_id).completed == 3


def test_poison_item_fails_and_its_job_finishes(deploy):
    deployment = deploy()
    service = deployment.start("e1")
    job = deployment.submit(service, 4)
    lost = 0
    for number in range(20):
        sidecar = ScriptedSidecar(f"s{number}")
        grants = deployment.run(sidecar.pull(service))
        if any(item.index == 2 for item in grants.items):
            lost += 1
            service.instance_lost(sidecar.name, 1)
        else:
            outcomes = tuple(sidecar.outcome(item) for item in grants.items)
            deployment.run(service.results(ItemResults(sidecar.name, 1, outcomes)))
        deployment.advance(0.5)
    view = deployment.run(service.get_job("w", job.job_id))
    assert lost == 2
    assert view.status == "completed"


@pytest.mark.parametrize("count", [1, 3, 9])
def test_append_rate_stays_within_its_share_for_any_number_of_entries(deploy, count):
    limited = with_settings(appends_per_s=10.0, commit_wait_s=2.0, accept_s=60.0)
    deployment = deploy(LogSettings(), settings=limited)
    entries = [entry(f"e{number}", f"e{number}") for number in range(count)]
    services = [deployment.start(each.name, entries) for each in entries]
    for service in services:
        deployment.begin(service.upload_file("w", "f", "batch", jsonl(40)))
    before, started_at = deployment.model.appends, deployment.reactor.seconds()
    sidecar = ScriptedSidecar()
    for key in "abcdef":
        deployment.submit(services[0], 40, key)
    while len(sidecar.ran) < 240:
        for service in services:
            deployment.run(sidecar.run(service, items=9))
            deployment.advance(0.1)
    spent_s = deployment.reactor.seconds() - started_at
    appends = deployment.model.appends - before
    partitions = services[0].partitions
    assert spent_s > 5
    assert appends <= spent_s * 10.0 + partitions


def test_entries_that_cannot_reach_each_other_converge(deploy):
    deployment = deploy()
    entries = [entry(f"e{number}", f"e{number}") for number in range(3)]
    services = [deployment.start(each.name, entries) for each in entries]
    deployment.peers.unreachable.update(each.name for each in services)
    jobs = [deployment.submit(service, 12, "same") for service in services]
    assert len({job.job_id for job in jobs}) == 1
    sidecars = [ScriptedSidecar(f"s{number}") for number in range(3)]
    for _ in range(20):
        for service, sidecar in zip(services, sidecars, strict=True):
            deployment.run(sidecar.run(service, items=3))
        deployment.advance(0.2)
    views = [deployment.run(each.get_job("w", jobs[0].job_id)) for each in services]
    assert views[0] == views[1] == views[2]
    assert (views[0].status, views[0].completed) == ("completed", 12)


def test_owner_whose_unread_records_expired_replays_its_stream(deploy):
    retained = with_settings(log_retention_s=240.0, maintenance_s=10.0, cache_bytes=0)
    deployment = deploy(LogSettings(retention_s=240.0), retained)
    paused = deployment.start("e1")
    job = deployment.submit(paused, 6)
    assert deployment.run(ScriptedSidecar().run(paused, items=2)) == 2
    paused._periodic_tasks.stop()
    active = deployment.start("e2")
    view = finish(deployment, active, job.job_id, ScriptedSidecar("s2"))
    deployment.advance(900.0, 1.0)
    partition = int(job.job_id.split("_")[1])
    runner = paused.runners[partition]
    first_retained = deployment.run(
        deployment.log.read(runner.stream, 10**9)
    ).first_offset
    assert runner.state.next_offset < first_retained
    deployment.run(runner.sync())
    deployment.advance(1.0)
    assert deployment.run(paused.get_job("w", job.job_id)) == view
    output = view.as_json()["output_file_id"]
    assert len(read_lines(deployment, paused, output)) == 6


def test_entries_agree_on_the_status_of_a_job_after_each_result(deploy):
    deployment = deploy(settings=with_settings(poll_s=600.0, ownership_s=600.0))
    services = [deployment.start(name) for name in ("e1", "e2")]
    job = deployment.submit(services[0], 5)
    assert deployment.run(services[1].get_job("w", job.job_id)).items == 5
    for service, other in (services, services[::-1]):
        sidecar = ScriptedSidecar(service.name)
        while deployment.run(sidecar.run(service, items=2)):
            view = deployment.run(service.get_job("w", job.job_id))
            assert deployment.run(other.get_job("w", job.job_id)) == view
    assert view.status == "completed"
