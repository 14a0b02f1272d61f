import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloshift.admission import (
    Admission,
    AdmissionConfig,
    PreemptStream,
    PullBatch,
    ReleaseStream,
    ResumeStream,
    ShedStream,
    StartStream,
    StreamEnded,
    StreamOffered,
    Tick,
    TokensArrived,
    count_prompt_tokens,
)
from pomeloshift.admission._slot_limit import HEADROOM, SlotLimit
from pomeloshift.admission._step_model import StepModel
from pomeloshift.errors import ErrorCode, Ran
from pomeloshift.model import Priority

STEP_S = 0.02


def offer(name, online, prompt=100, output=50, deadline=1000.0, alone=False):
    priority = Priority.ONLINE if online else Priority.BATCH
    return StreamOffered(name, priority, prompt, output, deadline, "", alone)


def named(effects, kind):
    return [e.stream_id for e in effects if isinstance(e, kind)]


def decode(admission, names, now, steps):
    """Delivers one token to each stream in each step and returns the time."""
    for _ in range(steps):
        now += STEP_S
        for name in names:
            admission.handle(TokensArrived(name, 1), now)
        admission.handle(Tick(), now)
    return now


def with_running_batch(count=6, weight=0.2):
    admission = Admission(AdmissionConfig(batch_weight=weight))
    names = [f"b{n}" for n in range(count)]
    for name in names:
        admission.handle(offer(name, False), 0.0)
    now = decode(admission, names, 0.0, 30)
    return admission, names, now


def test_online_stream_starts_at_once_and_a_repeated_offer_is_ignored():
    admission = Admission(AdmissionConfig())
    assert admission.handle(offer("a", True), 0.0) == [StartStream("a")]
    assert admission.handle(offer("a", True), 0.0) == []


def test_batch_streams_start_only_up_to_the_limit():
    admission = Admission(AdmissionConfig())
    effects = [
        e for n in range(40) for e in admission.handle(offer(f"b{n}", False, 5), 0.0)
    ]
    assert 0 < len(named(effects, StartStream)) < 40


def test_no_batch_stream_starts_during_an_online_prefill():
    admission = Admission(AdmissionConfig())
    admission.handle(offer("a", True), 0.0)
    assert admission.handle(offer("b", False), 0.0) == []
    assert admission.handle(TokensArrived("a", 1), 0.1) == [StartStream("b")]


def test_long_online_prompt_preempts_batch_before_it_starts():
    admission, names, now = with_running_batch()
    effects = admission.handle(offer("a", True, prompt=8000), now)
    preempted = named(effects, PreemptStream)
    assert set(preempted) <= set(names) and preempted
    assert effects[-1] == StartStream("a")


def test_preempted_streams_are_resumed_after_the_online_prefill():
    admission, _, now = with_running_batch()
    effects = admission.handle(offer("a", True, prompt=8000), now)
    preempted = named(effects, PreemptStream)
    effects = admission.handle(TokensArrived("a", 1), now + 0.3)
    effects += admission.handle(Tick(), now + 0.32)
    assert set(named(effects, ResumeStream)) == set(preempted)


def test_streams_with_the_fewest_tokens_are_preempted_first():
    admission, names, now = with_running_batch(weight=1.0)
    ahead = names[:3]
    now = decode(admission, ahead, now, 40)
    effects = []
    for number in range(4):
        effects += admission.handle(offer(f"a{number}", True, 100), now)
    effects += admission.handle(Tick(), now + 0.5)
    preempted = named(effects, PreemptStream)
    assert preempted[:3] == names[3:]


def test_tokens_that_arrive_after_a_preemption_are_ignored():
    admission, _, now = with_running_batch()
    preempted = named(admission.handle(offer("a", True, 8000), now), PreemptStream)
    assert admission.handle(TokensArrived(preempted[0], 1), now) == []
    assert admission.handle(StreamEnded(preempted[0]), now) == []
    effects = admission.handle(TokensArrived("a", 1), now + 0.3)
    assert preempted[0] not in named(effects, ResumeStream)


def test_batch_stream_preempted_for_long_is_released_to_its_owner():
    admission, _, now = with_running_batch()
    preempted = named(admission.handle(offer("a", True, 8000), now), PreemptStream)
    effects = admission.handle(Tick(), now + admission.cfg.held_s + 1.0)
    assert set(named(effects, ReleaseStream)) >= set(preempted)


@pytest.mark.parametrize("online", [True, False])
def test_suspects_run_one_at_a_time(online):
    admission = Admission(AdmissionConfig())
    admission.handle(offer("s1", online, alone=True), 0.0)
    assert admission.handle(offer("s2", online, alone=True), 0.0) == []
    assert named(admission.handle(offer("c", online), 0.0), StartStream) == ["c"]
    effects = admission.handle(StreamEnded("s1"), 0.1)
    assert named(effects, StartStream) == ["s2"]


def fill_with_online(admission):
    """Offers online streams until one has to wait; returns the running ones."""
    names = []
    now = 0.0
    for number in range(400):
        name = f"o{number}"
        started = named(
            admission.handle(offer(name, True, deadline=1e6), now), StartStream
        )
        if not started:
            return names, now
        names.append(name)
        now += 0.001 * len(names)
        step_s = 0.01 + 0.001 * len(names)
        for _ in range(3):
            now += step_s
            for running in names:
                admission.handle(TokensArrived(running, 1), now)
    raise AssertionError("no online stream had to wait")


def test_online_stream_beyond_the_limit_waits_or_is_shed_if_the_wait_is_too_long():
    admission = Admission(AdmissionConfig(online_wait_s=0.5))
    names, now = fill_with_online(admission)
    assert admission.load(now).queued_online == 1
    effects = []
    for number in range(60):
        effects += admission.handle(offer(f"x{number}", True, deadline=1e6), now)
    shed = [e for e in effects if isinstance(e, ShedStream)]
    assert shed
    assert (shed[0].error.code, shed[0].error.ran) == (ErrorCode.OVERLOADED, Ran.NO)
    assert shed[0].error.retry_after_s >= 1.0
    effects = admission.handle(StreamEnded(names[0]), now)
    assert len(named(effects, StartStream)) == 1


def test_waiting_online_stream_is_shed_at_its_deadline():
    admission = Admission(AdmissionConfig(online_wait_s=50.0))
    _, now = fill_with_online(admission)
    admission.handle(offer("late", True, deadline=now + 9.0), now)
    effects = admission.handle(Tick(), now + 9.5)
    error = next(e.error for e in effects if isinstance(e, ShedStream))
    assert (error.code, error.ran) == (ErrorCode.DEADLINE_EXCEEDED, Ran.NO)


def test_batch_is_pulled_while_few_streams_are_ready():
    admission = Admission(AdmissionConfig())
    effects = admission.handle(Tick(), 0.0)
    pull = next(e for e in effects if isinstance(e, PullBatch))
    assert pull.items > 0 and pull.tokens > 0
    assert admission.handle(Tick(), 0.02) == []


def test_load_counts_streams_and_tokens():
    admission = Admission(AdmissionConfig())
    admission.handle(offer("a", True, prompt=100, output=50), 0.0)
    admission.handle(offer("b", False, prompt=200, output=70), 0.0)
    report = admission.load(0.0)
    assert (report.online_streams, report.batch_streams) == (1, 1)
    assert (report.online_tokens, report.batch_tokens) == (150, 270)
    admission.handle(TokensArrived("a", 1), 0.1)
    assert admission.load(0.1).online_tokens == 49
    assert admission.load(0.1).sequence > report.sequence


def test_new_settings_apply_to_running_streams():
    admission, _, now = with_running_batch()
    admission.reconfigure(AdmissionConfig(max_batch_streams=0))
    effects = admission.handle(Tick(), now)
    assert len(named(effects, PreemptStream)) == 6


def test_step_model_finds_base_and_slope():
    model = StepModel()
    for n in range(400):
        sequences = 5 + n % 40
        prefilling = n % 3 == 0
        step_s = 0.008 + 0.0003 * sequences + (0.012 if prefilling else 0.0)
        model.observe(step_s, sequences, prefilling)
    assert model.is_fitted
    assert model.step_s(30) == pytest.approx(0.008 + 0.0003 * 30, rel=0.02)
    assert model.prefill_extra_s == pytest.approx(0.012, rel=0.1)


def test_slot_limit_reserves_slots_for_arrivals_and_recovers():
    slots = SlotLimit()
    slots.advance(0.0)
    assert slots.batch_capacity(10) == float("inf")
    slots.observe_full(128)
    assert slots.batch_capacity(10) == 128 - HEADROOM - 10
    assert slots.batch_bound(10) == 118
    slots.advance(100.0)
    assert slots.batch_bound(10) == pytest.approx(128)


@pytest.mark.parametrize(
    ("fields", "tokens"),
    [
        ({"prompt": "set the stitch length"}, 4),
        ({"prompt": ["one two", "three"]}, 3),
        ({"prompt": ""}, 1),
        ({"messages": [{"content": "a b"}, {"content": "c"}]}, 3),
        ({"messages": [{"content": [{"type": "text", "text": "a b"}]}]}, 2),
        ([], 1),
    ],
)
def test_prompt_tokens_are_words(fields, tokens):
    assert count_prompt_tokens(msgspec.json.encode(fields)) == tokens


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["online", "batch", "alone", "token", "end", "tick"]),
        st.integers(0, 11),
        st.floats(0.0, 0.2),
    ),
    max_size=150,
)


@given(EVENTS)
def test_effects_match_the_state_of_each_stream(events):
    admission = Admission(AdmissionConfig(held_s=1.0))
    state = {}
    now = 0.0
    for number, (kind, stream, wait_s) in enumerate(events):
        now += wait_s
        name = f"s{stream}"
        if kind in ("online", "batch", "alone"):
            if name not in state:
                state[name] = "waiting"
            event = offer(name, kind == "online", 50 + number, alone=kind == "alone")
        elif kind == "token":
            event = TokensArrived(name, 1)
        elif kind == "end":
            event = StreamEnded(name)
            state.pop(name, None)
        else:
            event = Tick()
        for effect in admission.handle(event, now):
            apply_effect(state, effect)


def apply_effect(state, effect):
    if isinstance(effect, PullBatch):
        return
    name = effect.stream_id
    if isinstance(effect, StartStream):
        assert state[name] == "waiting"
        state[name] = "running"
    elif isinstance(effect, ResumeStream):
        assert state[name] == "preempted"
        state[name] = "running"
    elif isinstance(effect, PreemptStream):
        assert state[name] == "running"
        state[name] = "preempted"
    elif isinstance(effect, ReleaseStream):
        assert state.pop(name) in ("waiting", "preempted")
    else:
        assert state.pop(name) == "waiting"


def test_tokens_of_one_step_may_arrive_a_few_milliseconds_apart():
    admission, names, now = with_running_batch()
    steps = admission._observer.step_count
    for _ in range(10):
        now += STEP_S
        for number, name in enumerate(names):
            admission.handle(TokensArrived(name, 1), now + 0.0025 * number)
    assert admission._observer.step_count == steps + 10
    assert admission.load(now).itl_s == pytest.approx(STEP_S, rel=0.1)


def test_arrival_of_zero_tokens_changes_nothing():
    admission, names, now = with_running_batch()
    before = admission.load(now)
    admission.handle(TokensArrived(names[0], 0), now + STEP_S)
    assert admission.load(now).batch_tokens == before.batch_tokens
