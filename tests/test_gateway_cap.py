"""The cap of waiting tokens, with gateways on loopback."""

import pytest
from twisted.internet.defer import Deferred, gatherResults

from _gateway import config, route
from pomeloshift.gateway import _cap_decisions, _job_cleaner, _job_store
from pomeloshift.jobs import JobEnded, JobSubmitted
from pomeloshift.platform import (
    StoreFullError,
    StoreNoResponseError,
    StoreUnreachableError,
)

CAP = 100


@pytest.fixture
def capped(play):
    """Plays a scenario with two gateways whose batch route has a cap of `CAP`."""

    def run(scenario, cap=CAP):
        async def capped_scenario(deployment):
            deployment.publish(config(2, [route("jobs", cap=cap)]))
            first, second = [await deployment.add_gateway() for _ in range(2)]
            return await scenario(deployment, first, second)

        return play(capped_scenario)

    return run


async def submit_at_once(deployment, *submissions, tokens=60):
    calls = [
        deployment.submit(gateway, job_id, [b"a"], tokens=tokens)
        for gateway, job_id in submissions
    ]
    answers = await gatherResults([Deferred.fromCoroutine(call) for call in calls])
    return [answer.status for answer in answers]


async def read_statuses(deployment, job_id, *gateways):
    return [
        (await deployment.call(g, "GET", f"/api/lots/{job_id}?after=0")).status
        for g in gateways
    ]


def stored_keys(deployment, job_id):
    return [
        key
        for topic in ("keyed.jobs", "keyed.blobs")
        for key in deployment.store.state.partition(topic, 0).newest()
        if key.startswith(f"{job_id}/")
    ]


def count_calls(deployment, *gateways):
    """Counts the reads of the job log from here on, apart from long polls."""
    calls = []
    for gateway in gateways:
        read = gateway._store.read

        async def counted(topic, part, offset, wait_s, *rest, read=read):
            if topic == "keyed.jobs" and wait_s == 0:
                calls.append(topic)
            return await read(topic, part, offset, wait_s, *rest)

        gateway._store.read = counted
    return calls


def test_two_gateways_that_accept_at_once_stay_within_the_cap(capped):
    """Both accepted, since neither had replayed the other's record."""

    async def scenario(deployment, first, second):
        statuses = await submit_at_once(deployment, (first, "j1"), (second, "j2"))
        assert sorted(statuses) == [202, 429]
        third = await deployment.add_gateway()
        gateways = first, second, third
        reads = [await read_statuses(deployment, j, *gateways) for j in ("j1", "j2")]
        refused = f"j{1 + statuses.index(429)}"
        while stored_keys(deployment, refused):
            await deployment.pause(0.01)
        return statuses, reads

    statuses, reads = capped(scenario)
    assert reads == [[200 if status == 202 else 404] * 3 for status in statuses]


def test_refused_job_is_accepted_once_it_fits(capped):
    async def scenario(deployment, first, second):
        statuses = await submit_at_once(deployment, (first, "j1"), (second, "j2"))
        accepted, refused = sorted(("j1", "j2"), key=lambda j: statuses[int(j[1]) - 1])
        await deployment.call(second, "DELETE", f"/api/lots/{accepted}")
        again = await submit_at_once(deployment, (first, refused))
        return again, await read_statuses(deployment, refused, first, second)

    assert capped(scenario) == ([202], [200, 200])


def test_repeats_of_a_job_at_once_are_all_accepted(capped):
    """Repeats were refused, as the tokens of the first attempt were counted too."""

    async def scenario(deployment, first, second):
        repeats = [(g, "j1") for g in (first, second, first, second)]
        statuses = await submit_at_once(deployment, *repeats)
        return statuses, first.job_log.table.accepted_tokens("app.example/jobs/")

    assert capped(scenario) == ([202] * 4, 60)


def test_repeat_at_a_gateway_that_has_not_replayed_the_job_is_accepted(
    capped, monkeypatch
):
    async def scenario(deployment, first, second):
        deployment.store.overlooked_topics.add("keyed.jobs")
        await deployment.submit(first, "j1", [b"a"], tokens=60)
        return await submit_at_once(deployment, (second, "j1"))

    assert capped(scenario) == [202]


@pytest.mark.parametrize(("cap", "reads"), [(0, 0), (CAP, 1)])
def test_only_jobs_with_a_cap_cost_a_read(capped, cap, reads):
    async def scenario(deployment, first, second):
        deployment.store.overlooked_topics.add("keyed.jobs")
        calls = count_calls(deployment, first)
        resp = await deployment.submit(first, "j1", [b"a"], tokens=60)
        return resp.status, len(calls)

    assert capped(scenario, cap) == (202, reads)


def test_job_that_cannot_fit_is_refused_without_an_append(capped):
    async def scenario(deployment, first, second):
        await deployment.submit(first, "j1", [b"a"], tokens=60)
        await second.job_log.follower.catch_up()
        statuses = await submit_at_once(deployment, (first, "j2"), (second, "j3"))
        topics = ("keyed.jobs", "keyed.blobs")
        partitions = [deployment.store.state.partition(topic, 0) for topic in topics]
        return statuses, [len(partition.records) for partition in partitions]

    assert capped(scenario) == ([429, 429], [1, 1])


def test_job_whose_record_cannot_be_read_back_has_an_unknown_outcome(
    capped, monkeypatch
):
    """A 503 would state that the job never runs, but its record is in the log."""
    monkeypatch.setattr(_cap_decisions, "DECISION_TIMEOUT_S", 0.3)

    async def scenario(deployment, first, second):
        read = first._store.read
        append = first._store.append

        async def append_then_fail(topic, *args, **kwargs):
            offset = await append(topic, *args, **kwargs)
            if topic == "keyed.jobs":
                first._store.read = fail
            return offset

        async def fail(*args, **kwargs):
            raise StoreUnreachableError("isolated")

        deployment.store.overlooked_topics.add("keyed.jobs")
        first._store.append = append_then_fail
        statuses = await submit_at_once(deployment, (first, "j1"))
        first._store.read, first._store.append = read, append
        return statuses + await read_statuses(deployment, "j1", second)

    assert capped(scenario) == [504, 200]


@pytest.mark.parametrize("is_applied", [True, False])
def test_append_without_a_response_is_looked_up_in_the_log(
    capped, monkeypatch, is_applied
):
    """It is accepted if the log holds it; otherwise its outcome is unknown."""
    monkeypatch.setattr(_job_store, "SUBMIT_TIMEOUT_S", 0.3)

    async def scenario(deployment, first, second):
        append = first._store.append

        async def lose_response(topic, *args, **kwargs):
            if topic == "keyed.jobs":
                if is_applied:
                    await append(topic, *args, **kwargs)
                raise StoreNoResponseError("lost")
            return await append(topic, *args, **kwargs)

        first._store.append = lose_response
        statuses = await submit_at_once(deployment, (first, "j1"))
        # A repeat at the same gateway must not be refused as not run either.
        room = await submit_at_once(deployment, (second, "j2"))
        again = await submit_at_once(deployment, (first, "j1"))
        return statuses, room, again

    statuses, room, again = capped(scenario)
    assert (statuses, room) == (([202], [429]) if is_applied else ([504], [202]))
    assert again == ([202] if is_applied else [504])


def test_job_that_a_full_store_does_not_take_is_refused_as_not_run(capped):
    async def scenario(deployment, first, second):
        append = first._store.append

        async def reject(topic, *args, **kwargs):
            if topic == "keyed.jobs":
                raise StoreFullError("the store is full")
            return await append(topic, *args, **kwargs)

        first._store.append = reject
        refused = await submit_at_once(deployment, (first, "j1"))
        first._store.append = append
        return refused + await submit_at_once(deployment, (first, "j1"))

    assert capped(scenario) == [503, 202]


def test_record_that_a_killed_submitter_left_is_removed(capped, monkeypatch):
    """A gateway that starts after the other jobs have ended must not accept it."""
    monkeypatch.setattr(_job_cleaner, "REFUSED_S", 0.2)

    async def scenario(deployment, first, second):
        await deployment.submit(first, "j1", [b"a"], tokens=60)
        await leave_refused_record(second, "j1", "j2")
        while stored_keys(deployment, "j2"):
            await deployment.pause(0.02)
        await first.job_log.append_within(JobEnded("j1"), 5.0)
        third = await deployment.add_gateway()
        return await read_statuses(deployment, "j2", first, second, third)

    assert capped(scenario) == [404] * 3


def test_finished_job_is_removed_after_the_refused_record_that_depends_on_it(
    capped, monkeypatch
):
    """A gateway that started in between would find room for the refused one."""
    monkeypatch.setattr(_job_cleaner, "REMOVAL_MARGIN_S", 0.0)
    monkeypatch.setattr(_job_cleaner, "REFUSED_S", 1000.0)

    async def scenario(deployment, first, second):
        await deployment.submit(first, "j1", [b"a"], tokens=60)
        await leave_refused_record(second, "j1", "j2")
        await first.job_log.append_within(JobEnded("j1"), 5.0)
        for gateway in (first, second):
            await gateway.job_log.follower.catch_up()
            gateway.batch_loop.cleaner.job_status_s = 0.0
            gateway.batch_loop.cleaner.tick(deployment.clock.monotonic())
        has_waited = "j1" in first.job_log.table.jobs
        monkeypatch.setattr(_job_cleaner, "REFUSED_S", 0.0)
        while stored_keys(deployment, "j1") or stored_keys(deployment, "j2"):
            await deployment.pause(0.02)
        records = deployment.store.state.partition("keyed.jobs", 0).records
        # A removal has a key and no value.
        removed = [r[1:3] for r in records if len(r) == 1 + r[0]]
        while "j1" in first.job_log.table.jobs or "j1" in second.job_log.table.jobs:
            await deployment.pause(0.02)
        return has_waited, removed[0], set(removed)

    assert capped(scenario) == (True, b"j2", {b"j1", b"j2"})


async def leave_refused_record(gateway, accepted_id, job_id):
    """Appends a job like an accepted one, as a submitter that is killed then."""
    refs = await gateway._batch_api.blobs.put(job_id, [b"a"], 5.0)
    await gateway.job_log.follower.catch_up()
    accepted = gateway.job_log.table.jobs[accepted_id]
    await gateway.job_log.append_within(_record_like(accepted, job_id, refs), 5.0)


def _record_like(job, job_id, refs):
    rows = [
        (i.id, i.path, [], ref, i.tokens)
        for i, ref in zip(job.items, refs, strict=True)
    ]
    return JobSubmitted(job_id, job.queue, job.host, job.path, 0.0, rows, "", CAP)
