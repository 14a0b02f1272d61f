import json
from random import Random

import pytest

from _jobs import ENDPOINT, ScriptedSidecar, entry, job_service, jsonl
from pomeloshift.batch import (
    IdempotencyConflictError,
    InvalidJobError,
    InvalidJsonlError,
    UnknownFileError,
    UnknownJobError,
)
from pomeloshift.errors import ErrorCode, PomeloshiftError, Ran
from pomeloshift.net import SystemClock
from pomeloshift.net._serve import serve
from pomeloshift.standins.log import LogFaults, LogModel, LogSettings, MemoryLog


@pytest.fixture
def model():
    return LogModel(LogSettings(appends_per_s=2000, burst=500), Random(1))


@pytest.fixture
def log(model, pause):
    return MemoryLog(model, SystemClock().monotonic, pause)


@pytest.fixture
def start(reactor, log, run_async):
    started = []

    def build(name, entries=None, listens=False, **kwargs):
        known = [entry(name)] if entries is None else entries
        service = job_service(name, log, reactor, known, **kwargs)
        listener = None
        if listens:
            listener = serve(reactor, service.internal_resource, "127.0.0.1")
            known.append(entry(name, listener.address))
        service.start()
        started.append((service, listener))
        return service

    yield build
    for service, listener in started:
        run_async(service.stop())
        if listener is not None:
            run_async(listener.stop())


async def upload(service, data=None, workspace="w"):
    return await service.upload_file(workspace, "in.jsonl", "batch", data or jsonl(5))


async def content(service, file_id, workspace="w"):
    parts = [part async for part in service.file_content(workspace, file_id)]
    return b"".join(parts)


async def lines(service, file_id):
    text = await content(service, file_id)
    return [json.loads(line) for line in text.splitlines()]


async def run_to_end(service, sidecar, job_id, workspace="w"):
    while (await service.get_job(workspace, job_id)).status == "in_progress":
        await sidecar.run(service)
    return await service.get_job(workspace, job_id)


def test_job_runs_from_upload_to_readable_results(start, run_async):
    service = start("e1")

    async def scenario():
        file = await upload(service)
        assert await content(service, file.file_id) == jsonl(5)
        job = await service.create_job("w", file.file_id, ENDPOINT)
        done = await run_to_end(service, ScriptedSidecar(), job.job_id)
        assert (done.status, done.completed) == ("completed", 5)
        results = await lines(service, done.as_json()["output_file_id"])
        assert [line["custom_id"] for line in results] == [f"c{n}" for n in range(5)]
        assert [line["response"]["body"]["n"] for line in results] == list(range(5))
        output = await service.get_file("w", done.as_json()["output_file_id"])
        assert output.size == len(await content(service, output.file_id))

    run_async(scenario())


def test_repeated_requests_return_the_same_file_and_job(start, run_async):
    service = start("e1")

    async def scenario():
        first = await upload(service)
        assert await upload(service) == first
        args = ("w", first.file_id, ENDPOINT)
        job = await service.create_job(*args)
        assert (await service.create_job(*args)).job_id == job.job_id
        keyed = await service.create_job(*args, idempotency_key="k")
        assert keyed.job_id != job.job_id
        again = await service.create_job(*args, idempotency_key="k")
        assert again.job_id == keyed.job_id
        with pytest.raises(IdempotencyConflictError):
            await service.create_job(*args, metadata={"a": "b"}, idempotency_key="k")
        jobs, has_more = await service.list_jobs("w")
        assert len(jobs) == 2
        assert not has_more

    run_async(scenario())


def test_other_workspaces_see_nothing(start, run_async):
    service = start("e1")

    async def scenario():
        file = await upload(service)
        job = await service.create_job("w", file.file_id, ENDPOINT)
        for call in (
            service.get_file("v", file.file_id),
            service.delete_file("v", file.file_id),
            service.create_job("v", file.file_id, ENDPOINT),
            content(service, file.file_id, "v"),
        ):
            with pytest.raises(UnknownFileError):
                await call
        for call in (
            service.get_job("v", job.job_id),
            service.cancel_job("v", job.job_id),
        ):
            with pytest.raises(UnknownJobError):
                await call
        assert await service.list_jobs("v") == ([], False)
        assert await service.list_files("v") == ([], False)

    run_async(scenario())


@pytest.mark.parametrize(
    ("data", "line"),
    [
        (jsonl(2) + b"{broken\n", 3),
        (jsonl(1) + jsonl(1), 2),
        (jsonl(1) + jsonl(2, model="other").splitlines(True)[1], 2),
        (b"\n" + jsonl(1).replace(b"POST", b"GET"), 2),
        (b"[]\n", 1),
        (b" \n", 1),
    ],
)
def test_broken_input_is_refused_with_its_line(start, run_async, data, line):
    service = start("e1")

    async def scenario():
        with pytest.raises(InvalidJsonlError) as caught:
            await upload(service, data)
        assert caught.value.line == line
        assert caught.value.message.startswith(f"line {line}: ")
        assert await service.list_files("w") == ([], False)

    run_async(scenario())


def test_job_for_another_endpoint_or_model_is_refused(start, run_async):
    service = start("e1")

    async def scenario():
        file = await upload(service)
        with pytest.raises(InvalidJobError):
            await service.create_job("w", file.file_id, "/v1/completions")
        unknown = await upload(service, jsonl(1, model="nobody"))
        with pytest.raises(PomeloshiftError) as caught:
            await service.create_job("w", unknown.file_id, ENDPOINT)
        assert caught.value.code is ErrorCode.UNKNOWN_MODEL
        with pytest.raises(InvalidJobError):
            await service.create_job("w", file.file_id, ENDPOINT, "soon")

    run_async(scenario())


def test_job_completes_after_its_input_file_is_deleted(start, run_async):
    service = start("e1")

    async def scenario():
        file = await upload(service)
        job = await service.create_job("w", file.file_id, ENDPOINT)
        await service.delete_file("w", file.file_id)
        with pytest.raises(UnknownFileError):
            await service.get_file("w", file.file_id)
        done = await run_to_end(service, ScriptedSidecar(), job.job_id)
        assert done.completed == 5
        assert await upload(service) is not None

    run_async(scenario())


def test_cancelled_job_stops_and_keeps_its_results(start, run_async):
    service = start("e1")

    async def scenario():
        file = await upload(service)
        job = await service.create_job("w", file.file_id, ENDPOINT)
        sidecar = ScriptedSidecar()
        await sidecar.run(service, items=2)
        grants = await sidecar.pull(service, items=1)
        cancelled = await service.cancel_job("w", job.job_id)
        assert (cancelled.status, cancelled.completed) == ("cancelled", 2)
        after = await sidecar.pull(service)
        assert after.items == ()
        assert after.cancelled == (grants.items[0].lease_id,)
        output = cancelled.as_json()["output_file_id"]
        assert len(await lines(service, output)) == 2

    run_async(scenario())


def test_lists_are_paginated(start, run_async):
    service = start("e1")

    async def scenario():
        file = await upload(service)
        ids = set()
        for number in range(5):
            job = await service.create_job(
                "w", file.file_id, ENDPOINT, idempotency_key=str(number)
            )
            ids.add(job.job_id)
        seen, after, has_more = [], "", True
        while has_more:
            page, has_more = await service.list_jobs("w", limit=2, after=after)
            assert len(page) <= 2
            seen += [view.job_id for view in page]
            after = seen[-1]
        assert len(seen) == 5
        assert set(seen) == ids

    run_async(scenario())


def test_restart_of_all_entries_at_once_loses_nothing(start, run_async):
    first = start("e1")

    async def before():
        file = await upload(first)
        job = await first.create_job("w", file.file_id, ENDPOINT)
        await ScriptedSidecar().run(first, items=2)
        await first.stop()
        return job.job_id

    job_id = run_async(before())
    second = start("e2")

    async def after():
        sidecar = ScriptedSidecar("s2")
        done = await run_to_end(second, sidecar, job_id)
        assert (done.status, done.completed) == ("completed", 5)
        assert len(sidecar.ran) == 3
        assert len(await lines(second, done.as_json()["output_file_id"])) == 5

    run_async(after())


def test_entries_forward_calls_to_the_owner(start, run_async):
    entries = []
    services = [start(f"e{n}", entries, listens=True) for n in range(3)]

    async def scenario():
        for number, service in enumerate(services):
            file = await upload(service, jsonl(4 + number))
            job = await service.create_job("w", file.file_id, ENDPOINT)
            seen = [await each.get_job("w", job.job_id) for each in services]
            assert all(view == seen[0] for view in seen)
        sidecar = ScriptedSidecar()
        while any(
            view.status == "in_progress"
            for view in (await services[0].list_jobs("w"))[0]
        ):
            for service in services:
                await sidecar.run(service)
        assert len(sidecar.ran) == 4 + 5 + 6
        assert len(set(sidecar.ran)) == len(sidecar.ran)
        for service in services:
            (jobs, _) = await service.list_jobs("w")
            assert [view.completed for view in jobs] == [6, 5, 4]

    run_async(scenario())


def test_wrong_internal_key_is_refused(start, run_async, reactor):
    from pomeloshift.entry.batch._calls import GetJob
    from pomeloshift.entry.batch._peer_client import PeerClient

    entries = []
    start("e1", entries, listens=True)

    async def scenario():
        client = PeerClient(reactor, "wrong", 5)
        with pytest.raises(PomeloshiftError) as caught:
            await client.call(entries[0].address, GetJob(0, "batch_000_x", ""))
        assert caught.value.code is ErrorCode.FORBIDDEN
        await client.close()

    run_async(scenario())


def test_call_for_an_unreachable_owner_is_served_by_the_entry_asked(start, run_async):
    service = start("e1", [entry("e1"), entry("gone"), entry("away")])

    async def scenario():
        file = await upload(service)
        for key in "abcdefgh":
            job = await service.create_job(
                "w", file.file_id, ENDPOINT, idempotency_key=key
            )
            assert job.status == "in_progress"

    run_async(scenario())


def test_new_job_is_refused_while_the_log_is_down(start, run_async, model):
    import attrs

    from _jobs import SETTINGS

    service = start("e1", settings=attrs.evolve(SETTINGS, accept_s=3.0))

    async def scenario():
        file = await upload(service)
        model.faults = LogFaults(is_down=True)
        with pytest.raises(PomeloshiftError) as caught:
            await service.create_job("w", file.file_id, ENDPOINT)
        assert caught.value.code is ErrorCode.LOG_UNAVAILABLE
        assert caught.value.ran is Ran.NO
        assert caught.value.retry_after_s
        model.faults = LogFaults()
        job = await service.create_job("w", file.file_id, ENDPOINT)
        assert (await run_to_end(service, ScriptedSidecar(), job.job_id)).completed == 5

    run_async(scenario())


def test_lost_log_replies_neither_lose_nor_repeat_items(start, run_async, model):
    service = start("e1")

    async def scenario():
        model.faults = LogFaults(lost_answer_rate=0.5)
        file = await upload(service, jsonl(30))
        job = await service.create_job("w", file.file_id, ENDPOINT)
        sidecar = ScriptedSidecar()
        done = await run_to_end(service, sidecar, job.job_id)
        assert (done.completed, done.failed) == (30, 0)
        assert len(sidecar.ran) == 30
        assert model.lost_answers > 0

    run_async(scenario())
