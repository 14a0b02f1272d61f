from random import Random

import pytest

from pomeloshift.standins.engine import (
    BLOCK_TOKENS,
    EngineCrashed,
    EngineModel,
    EngineSettings,
    EngineWork,
    FirstToken,
    WorkFinished,
)


def build(**settings):
    return EngineModel(EngineSettings(**settings), Random(1))


def work(name, prompt=10, output=3, **fields):
    return EngineWork(name, prompt, output, **fields)


def run(model, until=float("inf")):
    outputs = []
    while (at := model.next_step_at()) is not None and at <= until:
        outputs += model.advance(at)
    return outputs


def test_step_time_follows_from_the_work_in_the_step():
    model = build(
        step_base_s=0.01, step_per_sequence_s=0.001, step_per_prefill_token_s=0.0001
    )
    model.submit(work("a", prompt=10, output=3), 1.0)
    outputs = run(model)
    assert [type(o) for o in outputs] == [FirstToken, WorkFinished]
    assert outputs[0].at == pytest.approx(1.0 + 0.01 + 10 * 0.0001)
    assert outputs[1].at == pytest.approx(outputs[0].at + 2 * (0.01 + 0.001))


def test_twice_the_speed_halves_the_steps():
    assert EngineSettings(speed=2.0).step_s(10, 100) == pytest.approx(
        EngineSettings().step_s(10, 100) / 2
    )


def test_long_prompts_are_prefilled_in_chunks_first_come_first_served():
    model = build(prefill_chunk_tokens=100)
    model.submit(work("long", prompt=250), 0.0)
    model.submit(work("short", prompt=10), 0.0)
    outputs = run(model)
    firsts = [o.stream_id for o in outputs if isinstance(o, FirstToken)]
    assert firsts == ["long", "short"]
    assert outputs[0].at == outputs[1].at


@pytest.mark.parametrize("limit", [{"decode_slots": 1}, {"kv_tokens": 20}])
def test_sequences_wait_for_a_slot_and_for_memory(limit):
    model = build(**limit)
    model.submit(work("a", output=5), 0.0)
    model.submit(work("b", output=5), 0.0)
    assert model.waiting == 1
    ends = [o.stream_id for o in run(model) if isinstance(o, WorkFinished)]
    assert ends == ["a", "b"]
    assert model.kv_used == 0


def test_shared_blocks_are_prefilled_once():
    model = build()
    blocks = tuple(("shared", n) for n in range(4))
    prompt = 4 * BLOCK_TOKENS + 5
    model.submit(work("a", prompt, blocks=blocks), 0.0)
    run(model)
    assert model.prefill_tokens == prompt
    model.submit(work("b", prompt, blocks=blocks), 10.0)
    run(model)
    assert model.prefill_tokens == prompt + 5


def test_prefix_cache_evicts_blocks_beyond_its_capacity():
    model = build(prefix_cache_tokens=2 * BLOCK_TOKENS)
    for name in "ab":
        blocks = tuple((name, n) for n in range(2))
        model.submit(work(name, 2 * BLOCK_TOKENS + 1, blocks=blocks), 0.0)
        run(model)
    before = model.prefill_tokens
    blocks = tuple(("a", n) for n in range(2))
    model.submit(work("c", 2 * BLOCK_TOKENS + 1, blocks=blocks), 50.0)
    run(model)
    assert model.prefill_tokens - before == 2 * BLOCK_TOKENS + 1


def test_cancelled_work_resumes_where_it_stopped():
    model = build()
    blocks = tuple(("p", n) for n in range(3))
    first_run = work("a", 3 * BLOCK_TOKENS, 50, blocks=blocks)
    model.submit(first_run, 0.0)
    run(model, until=0.3)
    done = model.cancel("a", 0.3)
    assert 0 < done < 50
    assert not model.holds("a")
    assert model.kv_used == 0
    prefilled = model.prefill_tokens
    resumed = EngineWork("a", first_run.prompt_tokens, 50, blocks, done_tokens=done)
    model.submit(resumed, 0.4)
    outputs = run(model)
    assert outputs[-1] == WorkFinished("a", outputs[-1].at)
    assert model.prefill_tokens - prefilled <= BLOCK_TOKENS
    assert model.lost_tokens == model.prefill_tokens - prefilled


def test_cancel_while_waiting_or_in_prefill_frees_all_memory():
    model = build(decode_slots=1, prefill_chunk_tokens=10)
    model.submit(work("read", prompt=100), 0.0)
    model.submit(work("waits"), 0.0)
    assert model.cancel("waits", 0.0) == 0
    assert model.cancel("read", 0.0) == 0
    assert model.cancel("unknown", 0.0) is None
    run(model)
    assert model.kv_used == 0
    assert model.next_step_at() is None


def test_tokens_of_the_step_in_progress_do_not_count():
    model = build()
    model.submit(work("a", output=10), 0.0)
    model.advance(model.next_step_at())
    assert model.produced("a") == 1
    assert model.cancel("a", model.next_step_at() - 1e-6) == 1


def test_crash_drops_all_sequences_and_a_restart_accepts_work_again():
    model = build()
    model.submit(work("a", output=50), 0.0)
    model.submit(work("bad", crashes=True), 0.0)
    assert isinstance(run(model)[-1], EngineCrashed)
    assert model.stream_ids == ()
    model.restart()
    model.submit(work("b"), 1.0)
    assert run(model)[-1].stream_id == "b"


def test_load_is_reported_with_a_lag():
    model = build(load_lag_s=0.5)
    model.load(0.0)
    model.submit(work("a", output=500), 0.0)
    run(model, until=0.4)
    assert model.load(0.4).running == 0
    run(model, until=1.0)
    assert model.load(1.0).running == 1


def test_cache_events_are_delayed_and_some_are_lost():
    model = build(cache_event_lag_s=2.0, cache_event_gap=0.5)
    blocks = tuple(("p", n) for n in range(40))
    model.submit(work("a", 40 * BLOCK_TOKENS, blocks=blocks), 0.0)
    run(model)
    assert model.cache_events(0, 1.0) == []
    events = model.cache_events(0, 60.0)
    assert 0 < len(events) < 40
    last = events[-1].sequence
    assert model.cache_events(last, 60.0) == []


def test_imported_kv_avoids_prefill_at_another_engine():
    source, target = build(), build()
    blocks = tuple(("p", n) for n in range(10))
    source.submit(work("a", 10 * BLOCK_TOKENS, 60, blocks=blocks), 0.0)
    run(source, until=0.5)
    exported = source.export_kv("a")
    done = source.cancel("a", 0.5)
    target.import_kv(exported, 0.5)
    moved = EngineWork("a", 10 * BLOCK_TOKENS, 60, blocks, done_tokens=done)
    target.submit(moved, 0.5)
    run(target)
    assert target.prefill_tokens <= BLOCK_TOKENS
