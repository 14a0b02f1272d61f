import json
from random import Random

import pytest

from pomeloshift.admission import (
    PreemptStream,
    ReleaseStream,
    ResumeStream,
    StartStream,
    StreamOffered,
)
from pomeloshift.errors import Ran
from pomeloshift.net import SystemClock
from pomeloshift.net._serve import serve
from pomeloshift.sidecar._batch_work import BatchWork
from pomeloshift.sidecar._engine_client import EngineClient
from pomeloshift.sidecar._engine_executor import EngineExecutor
from pomeloshift.standins.engine import EngineServer, EngineSettings, expected_answer
from pomeloshift.wire import GrantedItem

BODY = {
    "model": "vezi-lm",
    "messages": [{"role": "user", "content": "seams of signature 12"}],
    "max_tokens": 40,
    "ignore_eos": True,
}


class ScriptedAdmission:
    """Starts each offered stream; returns ``effects``, set by the test, once."""

    def __init__(self):
        self.effects = []

    def handle(self, event, now):
        effects, self.effects = self.effects, []
        if isinstance(event, StreamOffered):
            return [StartStream(event.stream_id), *effects]
        return effects


class UnusedSource:
    def request_items(self, executor, tokens, items):
        raise AssertionError("the executor requested batch work")


class Results:
    def __init__(self):
        self.outcomes = []
        self.released = []

    def work(self, resume=b""):
        item = GrantedItem(
            0,
            "job",
            0,
            "lease",
            30.0,
            "vezi-lm",
            "/v1/chat/completions",
            json.dumps(BODY).encode(),
            4,
            40,
            60.0,
            resume=resume,
        )
        return BatchWork(item, self.outcomes.append, self._release)

    def _release(self, item, resume):
        self.released.append(resume)

    @property
    def text(self):
        [outcome] = self.outcomes
        return json.loads(outcome.body)["choices"][0]["message"]["content"]


@pytest.fixture
def in_executor(reactor, run_async, pause):
    """Runs a coroutine function with an executor that calls the engine stand-in."""

    def run(function):
        async def main():
            clock = SystemClock()
            settings = EngineSettings(models=("vezi-lm",), step_base_s=0.004)
            server = EngineServer(settings, reactor, clock, Random(1))
            listener = serve(reactor, server.resource, "127.0.0.1")
            engine = EngineClient(f"http://{listener.address}", reactor)
            admission = ScriptedAdmission()
            executor = EngineExecutor(
                "e", engine, admission, UnusedSource(), clock, pause
            )
            try:
                await function(executor, admission, server)
            finally:
                server.stop()
                await executor.close()
                await listener.stop()

        run_async(main())

    return run


async def until(pause, condition):
    for _ in range(3000):
        if condition():
            return
        await pause(0.01)
    raise AssertionError("the condition was not met in time")


def tokens_of(work):
    return work._tokens


@pytest.mark.parametrize("resume_at_once", [True, False])
def test_preempted_and_resumed_stream_gives_the_complete_response(
    in_executor, pause, resume_at_once
):
    results = Results()

    async def scenario(executor, admission, server):
        work = results.work()
        executor.offer(work)
        for target in (5, 15):
            await until(pause, lambda target=target: tokens_of(work) >= target)
            admission.effects = [PreemptStream(work.stream_id)]
            if resume_at_once:
                admission.effects.append(ResumeStream(work.stream_id))
            executor.tick()
            await pause(0.05)
            if not resume_at_once:
                admission.effects = [ResumeStream(work.stream_id)]
                executor.tick()
        await until(pause, lambda: results.outcomes)

    in_executor(scenario)
    assert results.text == expected_answer(BODY)
    assert results.outcomes[0].output_tokens == 40


def test_released_item_resumes_from_its_progress_under_a_new_lease(in_executor, pause):
    first, second = Results(), Results()

    async def release(executor, admission, server):
        work = first.work()
        executor.offer(work)
        await until(pause, lambda: tokens_of(work) >= 8)
        admission.effects = [ReleaseStream(work.stream_id)]
        executor.tick()
        await until(pause, lambda: first.released)
        assert executor.is_idle

    async def resume_elsewhere(executor, admission, server):
        work = second.work(first.released[0])
        assert tokens_of(work) >= 8
        executor.offer(work, work.resume)
        await until(pause, lambda: second.outcomes)

    in_executor(release)
    in_executor(resume_elsewhere)
    assert not first.outcomes
    assert second.text == expected_answer(BODY)


def test_engine_crash_during_preemption_restarts_the_stream(in_executor, pause):
    results = Results()

    async def scenario(executor, admission, server):
        work = results.work()
        executor.offer(work)
        await until(pause, lambda: tokens_of(work) >= 5)
        admission.effects = [PreemptStream(work.stream_id)]
        server.crash()
        executor.tick()
        await pause(0.05)
        server.restart()
        admission.effects = [ResumeStream(work.stream_id)]
        executor.tick()
        await until(pause, lambda: results.outcomes)

    in_executor(scenario)
    [outcome] = results.outcomes
    if outcome.error is None:
        assert results.text == expected_answer(BODY)
    else:
        assert outcome.error.ran is not Ran.NO
