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
from pomeloshift.sidecar._engine_lane import EngineLane
from pomeloshift.standins.engine import EngineServer, EngineSettings, expected_answer
from pomeloshift.wire import GrantedItem

BODY = {
    "model": "vezi-lm",
    "messages": [{"role": "user", "content": "seams of signature 12"}],
    "max_tokens": 40,
    "ignore_eos": True,
}


class OrderedAdmission:
    """Starts what is offered; the test orders the rest."""

    def __init__(self):
        self.orders = []

    def handle(self, event, now):
        orders, self.orders = self.orders, []
        if isinstance(event, StreamOffered):
            return [StartStream(event.stream_id), *orders]
        return orders


class NoSource:
    def want(self, lane, tokens, items):
        raise AssertionError("no work is wanted")


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
def in_lane(reactor, run_async, pause):
    """Runs a coroutine function with a lane before a real engine stand-in."""

    def run(function):
        async def main():
            clock = SystemClock()
            settings = EngineSettings(models=("vezi-lm",), step_base_s=0.004)
            server = EngineServer(settings, reactor, clock, Random(1))
            listener = serve(reactor, server.resource, "127.0.0.1")
            engine = EngineClient(f"http://{listener.address}", reactor)
            admission = OrderedAdmission()
            lane = EngineLane("e", engine, admission, NoSource(), clock, pause)
            try:
                await function(lane, admission, server)
            finally:
                server.stop()
                await lane.close()
                await listener.stop()

        run_async(main())

    return run


async def until(pause, condition):
    for _ in range(3000):
        if condition():
            return
        await pause(0.01)
    raise AssertionError("the condition never held")


def tokens_of(work):
    return work._tokens


@pytest.mark.parametrize("resume_at_once", [True, False])
def test_stream_taken_back_and_resumed_gives_the_whole_answer(
    in_lane, pause, resume_at_once
):
    results = Results()

    async def scenario(lane, admission, server):
        work = results.work()
        lane.offer(work)
        for target in (5, 15):
            await until(pause, lambda target=target: tokens_of(work) >= target)
            admission.orders = [PreemptStream(work.stream_id)]
            if resume_at_once:
                admission.orders.append(ResumeStream(work.stream_id))
            lane.tick()
            await pause(0.05)
            if not resume_at_once:
                admission.orders = [ResumeStream(work.stream_id)]
                lane.tick()
        await until(pause, lambda: results.outcomes)

    in_lane(scenario)
    assert results.text == expected_answer(BODY)
    assert results.outcomes[0].output_tokens == 40


def test_released_item_goes_on_elsewhere_with_its_progress(in_lane, pause):
    first, second = Results(), Results()

    async def release(lane, admission, server):
        work = first.work()
        lane.offer(work)
        await until(pause, lambda: tokens_of(work) >= 8)
        admission.orders = [ReleaseStream(work.stream_id)]
        lane.tick()
        await until(pause, lambda: first.released)
        assert lane.is_idle

    async def go_on(lane, admission, server):
        work = second.work(first.released[0])
        assert tokens_of(work) >= 8
        lane.offer(work, work.resume)
        await until(pause, lambda: second.outcomes)

    in_lane(release)
    in_lane(go_on)
    assert not first.outcomes
    assert second.text == expected_answer(BODY)


def test_engine_that_dies_while_a_stream_is_taken_back_starts_it_anew(in_lane, pause):
    results = Results()

    async def scenario(lane, admission, server):
        work = results.work()
        lane.offer(work)
        await until(pause, lambda: tokens_of(work) >= 5)
        admission.orders = [PreemptStream(work.stream_id)]
        server.crash()
        lane.tick()
        await pause(0.05)
        server.restart()
        admission.orders = [ResumeStream(work.stream_id)]
        lane.tick()
        await until(pause, lambda: results.outcomes)

    in_lane(scenario)
    [outcome] = results.outcomes
    if outcome.error is None:
        assert results.text == expected_answer(BODY)
    else:
        assert outcome.error.ran is not Ran.NO
