from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloshift.dispatch import (
    ConfigHolder,
    Engine,
    EngineRecord,
    PeerLoads,
    PeerState,
    RequestCounts,
    Route,
    RouteKind,
    ServingConfig,
    Split,
)
from pomeloshift.jobs import (
    CLAIM_VALID_S,
    PEAK_S,
    AfterRun,
    Assembler,
    BatchSlots,
    BlobRef,
    ItemFailed,
    ItemPolicy,
    ItemProgress,
    ItemReleased,
    ItemResumed,
    ItemRoutes,
    ItemSettled,
    JobEnded,
    JobSubmitted,
    JobTable,
    Ownership,
    Share,
    WorkQueue,
    claim_of,
    encode_record,
    split,
)

RECORD_BYTES = 400  # smaller than a job's record, so that the record is split


def ref(number):
    return BlobRef(f"blob{number}", number, 10, 1)


def submitted(job_id="j1", items=3, tokens=10, at=100.0):
    rows = [(f"{job_id}-{n}", f"/p/{n}", [], ref(n), tokens) for n in range(items)]
    return JobSubmitted(job_id, "h/p/", "h", "/p/new", at, rows)


class Log:
    """A job log whose records each have their own key, as entries append them."""

    def __init__(self):
        self.rows = []

    def add(self, record):
        key = f"{record.job_id}/w/{len(self.rows)}"
        self.rows += split(key, encode_record(record), RECORD_BYTES)

    def replay(self, rows=None, now=1.0, wall=100.0):
        table = JobTable()
        for offset, (key, value) in enumerate(self.rows if rows is None else rows):
            table.apply(offset, key, value, now, wall)
        return table


@pytest.fixture
def log():
    return Log()


def test_fragments_are_reassembled_in_any_order():
    data = bytes(range(256)) * 9
    rows = split("k", data, RECORD_BYTES)
    assert len(rows) > 10
    Random(1).shuffle(rows)
    assembler = Assembler()
    results = [assembler.add(key, value) for key, value in rows]
    assert results[:-1] == [None] * (len(rows) - 1)
    assert results[-1] == data


def test_first_result_of_an_item_wins(log):
    log.add(submitted())
    log.add(ItemSettled("j1", 2, True, ref(20)))
    log.add(ItemSettled("j1", 0, True, ref(21)))
    log.add(ItemSettled("j1", 2, True, ref(22)))
    job = log.replay().jobs["j1"]
    assert [(r.item_id, r.text.offset) for r in job.results] == [
        ("j1-2", 20),
        ("j1-0", 21),
    ]
    assert job.pending == {1}


def test_repeated_submission_changes_nothing(log):
    log.add(submitted())
    log.add(ItemSettled("j1", 0, True, ref(20)))
    log.add(submitted(items=5))
    job = log.replay().jobs["j1"]
    assert len(job.items) == 3
    assert len(job.results) == 1


def test_records_before_their_job_and_unreadable_ones_are_skipped(log):
    log.add(ItemSettled("j9", 0, True, ref(1)))
    log.rows.append(("x#0", b"\x00\x00\x00\x01not a record"))
    log.rows.append(("y#0", b""))
    log.add(submitted())
    table = log.replay()
    assert set(table.jobs) == {"j1"}
    assert table.unreadable == 1


@given(st.integers(0, 2**32))
def test_following_with_repeats_and_a_full_replay_give_the_same_state(seed):
    random, log = Random(seed), Log()
    log.add(submitted("j1"))
    log.add(submitted("j2"))
    for _ in range(12):
        job_id, index = random.choice(["j1", "j2"]), random.randrange(3)
        record = random.choice(
            [
                ItemSettled(job_id, index, True, ref(random.randrange(99))),
                ItemSettled(job_id, index, False, None),
                ItemFailed(job_id, index, random.choice("ab")),
                ItemProgress(job_id, index, random.randrange(9), ref(1)),
                JobEnded(job_id),
                submitted(job_id, items=4),
            ]
        )
        log.add(record)
    follower = JobTable()
    repeated = []
    for offset, row in enumerate(log.rows):
        repeated.append((offset, row))
        repeated += random.sample(repeated, min(2, len(repeated)))
    for offset, (key, value) in repeated:
        follower.apply(offset, key, value, 1.0, 100.0)
    replayed = log.replay()
    for job_id in ("j1", "j2"):
        assert follower.jobs[job_id].results == replayed.jobs[job_id].results
        assert follower.jobs[job_id].pending == replayed.jobs[job_id].pending
        assert follower.jobs[job_id].failures == replayed.jobs[job_id].failures


def test_removing_a_jobs_keys_removes_it_and_its_late_records(log):
    log.add(submitted())
    log.add(ItemSettled("j1", 0, True, ref(20)))
    keys = log.replay().jobs["j1"].keys
    log.rows += [(key, None) for key in keys]
    log.add(ItemSettled("j1", 1, True, ref(21)))
    assert log.replay().jobs == {}
    assert set(keys) == {key for key, value in log.rows[:-1] if value is not None}


@pytest.fixture
def item_routes():
    """The routes of items where jobs of the route /p/ are accepted."""
    splits = (Split("lm", 1.0),)
    accepting = Route("p", "h", "/p/", RouteKind.BATCH, splits, 8.0, 2.0)
    holder = ConfigHolder()
    holder.offer(ServingConfig(1, (accepting,)))
    return ItemRoutes(holder)


def test_waiting_tokens_decrease_as_items_finish(log, item_routes):
    log.add(submitted("j1", items=3, tokens=10))
    log.add(submitted("j2", items=2, tokens=5))
    assert log.replay().waiting_tokens("h/p/", item_routes) == 40
    log.add(ItemSettled("j1", 0, False, None))
    log.add(JobEnded("j2"))
    assert log.replay().waiting_tokens("h/p/", item_routes) == 20
    assert log.replay().waiting_tokens("other", item_routes) == 0


def test_job_age_survives_a_restart_and_is_zero_if_the_clock_is_set_back(log):
    log.add(submitted(at=100.0))
    assert log.replay(now=50.0, wall=107.0).jobs["j1"].accepted_at == 43.0
    assert log.replay(now=50.0, wall=90.0).jobs["j1"].accepted_at == 50.0


def test_furthest_progress_wins(log):
    log.add(submitted())
    for event_id in (4, 9, 2):
        log.add(ItemProgress("j1", 1, event_id, ref(event_id)))
    log.add(ItemProgress("j1", 0, 5, ref(5)))
    log.add(ItemSettled("j1", 0, True, ref(20)))
    job = log.replay().jobs["j1"]
    assert job.progress[1].event_id == 9
    assert 0 not in job.progress


# Order of items


@pytest.fixture
def claimed():
    """The claims that other entries report."""
    return set()


@pytest.fixture
def queue(claimed):
    return WorkQueue(salt=5, is_claimed=lambda claim: claim in claimed)


def order(queue, table, now, deadline=18.0, run_s=4.0):
    work = queue.pending(table, {"h/p/": deadline}, now, event_s=0.02, run_s=run_s)
    return [(w.job.id, w.index) for w in work]


def test_items_that_can_still_meet_their_deadline_go_first(log, queue):
    log.add(submitted("old", items=1, at=80.0))  # due in the past
    log.add(submitted("due", items=1, at=92.0))
    log.add(submitted("new", items=1, at=100.0))
    table = log.replay(now=100.0, wall=100.0)
    assert [job for job, _ in order(queue, table, now=100.0)] == ["due", "new", "old"]


def test_item_with_progress_goes_before_new_ones(log, queue):
    log.add(submitted("j1", items=4))
    log.add(ItemProgress("j1", 2, 90, ref(1)))
    assert order(queue, log.replay(), now=1.0)[0] == ("j1", 2)


def test_running_claimed_deferred_and_ended_items_are_left_out(log, queue, claimed):
    log.add(submitted("j1", items=4))
    log.add(submitted("j2", items=1))
    log.add(JobEnded("j2"))
    table = log.replay()
    queue.running.add(("j1", 0))
    claimed.add(claim_of("j1", 1))
    queue.defer(("j1", 2), until=5.0)
    assert order(queue, table, now=1.0) == [("j1", 3)]
    assert set(order(queue, table, now=6.0)) == {("j1", 2), ("j1", 3)}


def test_resumed_item_is_left_to_its_process_until_the_claim_expires(log, queue):
    log.add(submitted("j1", items=1))
    log.add(ItemResumed("j1", 0, 4, "other"))
    table = log.replay(now=10.0)
    assert order(queue, table, now=10.0 + CLAIM_VALID_S - 0.1) == []
    assert order(queue, table, now=10.0 + CLAIM_VALID_S) == [("j1", 0)]


@pytest.mark.parametrize("how", ["own", "stored", "released", "replaced"])
def test_claim_that_excludes_nobody_delays_nothing(log, queue, how):
    log.add(submitted("j1", items=1))
    log.add(ItemResumed("j1", 0, 4, "other"))
    if how == "own":
        queue.name = "other"
    elif how == "stored":
        log.add(ItemProgress("j1", 0, 6, ref(6), "other"))
    elif how == "released":
        log.add(ItemReleased("j1", 0, "other"))
    else:
        queue.has_ended = {"other"}.__contains__
    assert order(queue, log.replay(), now=1.0) == [("j1", 0)]


@pytest.mark.parametrize(
    "record",
    [ItemProgress("j1", 0, 6, ref(6), "first"), ItemReleased("j1", 0, "first")],
    ids=["stored", "released"],
)
def test_process_that_lost_an_item_does_not_release_the_claim_of_the_next(
    log, queue, record
):
    log.add(submitted("j1", items=1))
    log.add(ItemResumed("j1", 0, 4, "first"))
    log.add(ItemResumed("j1", 0, 4, "second"))
    log.add(record)
    table = log.replay()
    assert table.jobs["j1"].claims[0].by == "second"
    assert order(queue, table, now=1.0) == []


def test_of_two_gateways_that_resume_an_item_only_the_later_claim_is_in_force(log):
    log.add(submitted("j1", items=1))
    offsets = {}
    for name in ("first", "second"):
        offsets[name] = len(log.rows)
        log.add(ItemResumed("j1", 0, 4, name))
    claim = log.replay().jobs["j1"].claims[0]
    assert claim.supersedes("first", offsets["first"])
    assert not claim.supersedes("second", offsets["second"])


def test_each_run_that_breaks_off_delays_its_item_by_the_same_short_time(log, queue):
    log.add(submitted("j1", items=1))
    table, key = log.replay(), ("j1", 0)
    for attempt in range(20):
        failed_at = 100.0 * attempt
        queue.record_broken_run(key, has_progressed=False, now=failed_at)
        assert order(queue, table, now=failed_at + 0.2) == []
        assert order(queue, table, now=failed_at + 0.4) == [key]
    queue.record_broken_run(key, has_progressed=True, now=3000.0)
    assert order(queue, table, now=3000.0) == [key]


def test_each_item_of_a_small_job_is_chosen_by_exactly_one_entry(log):
    """All entries see the job at the same moment, before they receive peers' claims."""
    log.add(submitted("j1", items=7))
    table = log.replay()
    deadlines = {"h/p/": 18.0}
    queues = [
        WorkQueue(salt=Random(n).getrandbits(48), is_claimed=lambda c: False)
        for n in range(6)
    ]
    shares = [{"h/p/": Share(6, frozenset({n}))} for n in range(6)]
    chosen = [
        work.key
        for queue, share in zip(queues, shares, strict=True)
        for work in queue.pending(table, deadlines, 1.0, 0.02, 4.0, share)
    ]
    assert sorted(chosen) == [("j1", n) for n in range(7)]


def test_item_that_its_entry_does_not_run_is_taken_over_with_jitter(log):
    log.add(submitted("j1", items=1))
    table = log.replay()
    other = {"h/p/": Share(2, frozenset({1 - claim_of("j1", 0) % 2}))}
    queues = [
        WorkQueue(salt=Random(n).getrandbits(48), is_claimed=lambda c: False)
        for n in range(5)
    ]
    first = {}
    for tick in range(20):
        now = 1.0 + tick * 0.025
        for number, queue in enumerate(queues):
            if queue.pending(table, {"h/p/": 18.0}, now, 0.02, 4.0, other):
                first.setdefault(number, tick)
    assert len(first) == 5
    assert min(first.values()) >= 6
    assert len(set(first.values())) >= 3


def test_entries_choose_different_items_first(log):
    log.add(submitted("j1", items=40))
    table = log.replay()
    firsts = {
        order(
            WorkQueue(salt=Random(n).getrandbits(48), is_claimed=lambda c: False),
            table,
            1.0,
        )[0]
        for n in range(6)
    }
    assert len(firsts) >= 4


@pytest.mark.parametrize(
    ("status", "failed_at", "after"),
    [
        (422, "a", AfterRun.DEAD_LETTER),
        (500, "a", AfterRun.COUNT_FAILURE),
        (500, "ab", AfterRun.COUNT_FAILURE),
        (500, "abc", AfterRun.DEAD_LETTER),
        (404, "a", AfterRun.AGAIN),
    ],
)
def test_item_is_a_dead_letter_only_after_the_allowed_failures(
    status, failed_at, after
):
    assert ItemPolicy(max_failures=3, engines=9).after(status, failed_at) is after


@pytest.mark.parametrize(
    ("engines", "failed_at", "after"),
    [
        (9, "aaa", AfterRun.COUNT_FAILURE),
        (9, "ababa", AfterRun.COUNT_FAILURE),
        (9, "ababac", AfterRun.DEAD_LETTER),
        (9, "aabc", AfterRun.DEAD_LETTER),
        (9, "aaaaaa", AfterRun.DEAD_LETTER),
        (2, "aba", AfterRun.DEAD_LETTER),
        (1, "aaa", AfterRun.DEAD_LETTER),
    ],
)
def test_few_engines_that_fail_everything_do_not_end_an_item(engines, failed_at, after):
    assert ItemPolicy(max_failures=3, engines=engines).after(500, failed_at) is after


def test_item_runs_next_at_an_engine_where_it_has_not_failed(log, queue):
    log.add(submitted("j1", items=1))
    log.add(ItemFailed("j1", 0, "a"))
    log.add(ItemFailed("j1", 0, "b"))
    (work,) = queue.pending(log.replay(), {}, 1.0, event_s=0.02, run_s=4.0)
    assert work.choose({"a": 9, "b": 8, "c": 1, "d": 2}) == "d"
    assert work.choose({"a": 9, "b": 8}) == "a"


def test_item_that_an_engine_rejected_runs_next_at_another_one(log, queue):
    log.add(submitted("j1", items=1))
    free = {"a": 9, "b": 5, "c": 1}
    chosen = []
    for now in range(10):
        (work,) = queue.pending(log.replay(), {}, now, event_s=0.02, run_s=4.0)
        chosen.append(work.choose(free))
        queue.record_rejection(work.key, chosen[-1], now)
        assert order(queue, log.replay(), now + 0.2) == []
    assert "".join(chosen) == "abcabcabca"


def test_item_that_failed_at_all_open_engines_is_left_to_other_entries(log, queue):
    log.add(submitted("j1", items=1))
    log.add(ItemFailed("j1", 0, "a"))
    table = log.replay()

    def is_chosen(now, names):
        engines = {"h/p/": dict.fromkeys(names), "other/": {"z": None}}
        return bool(queue.pending(table, {}, now, 0.02, 4.0, engines=engines))

    assert not is_chosen(1.0, "a")
    assert not is_chosen(2.1, "a")
    assert is_chosen(2.1, "ab")
    assert is_chosen(2.4, "a")


def test_entries_do_not_all_return_at_once_to_engines_where_an_item_failed(log):
    log.add(submitted("j1", items=1))
    log.add(ItemFailed("j1", 0, "a"))
    table, first = log.replay(), {}
    engines = {"h/p/": {"a": None}}
    queues = [
        WorkQueue(salt=Random(n).getrandbits(48), is_claimed=lambda c: False)
        for n in range(5)
    ]
    for tick in range(60):
        now = 1.0 + tick * 0.025
        for number, queue in enumerate(queues):
            if queue.pending(table, {}, now, 0.02, 4.0, engines=engines):
                first.setdefault(number, tick)
    assert len(first) == 5
    assert len(set(first.values())) >= 3


def test_each_name_has_one_owner_in_its_zone_and_few_names_move():
    zones = {f"n{n}": "ab"[n % 2] for n in range(6)}
    names = [f"i-{n}" for n in range(60)]

    def owners(zones):
        owner_by_name = {}
        for entry in zones:
            ownership = Ownership(entry)
            ownership.set_members(zones)
            for name in names:
                if ownership.owns(name, zone="a"):
                    assert name not in owner_by_name
                    owner_by_name[name] = entry
        return owner_by_name

    before = owners(zones)
    assert set(before) == set(names)
    assert {zones[entry] for entry in before.values()} == {"a"}
    after = owners({n: z for n, z in zones.items() if n != "n0"})
    assert all(after[n] == before[n] for n in names if before[n] != "n0")


# Slots of engines


@pytest.fixture
def engine():
    return Engine(EngineRecord("e1", "lm", "10.0.0.1:80", "a", 8, False, 1))


@pytest.fixture
def slots():
    return BatchSlots("b", PeerLoads())


def test_batch_items_leave_the_recent_online_peak_free(slots, engine):
    engine.peers = RequestCounts(online=5)
    slots.observe([engine], now=1.0)
    engine.peers = RequestCounts(online=1)
    slots.observe([engine], now=1.1)
    assert slots.free(engine, now=1.1) == 3
    slots.observe([engine], now=1.2 + PEAK_S)
    assert slots.free(engine, now=1.2 + PEAK_S) == 7


def test_items_chosen_but_not_yet_sent_occupy_slots(slots, engine):
    slots.observe([engine], now=1.0)
    for _ in range(8):
        assert slots.free(engine, now=1.0) > 0
        engine.reserve_slot()
    assert slots.free(engine, now=1.0) == 0


def test_entries_together_preempt_only_as_many_items_as_needed(engine):
    held = {"a": 3, "b": 3, "c": 2}
    preempted = {}
    for name, own in held.items():
        loads = PeerLoads()
        for other, batch in held.items():
            if other != name:
                loads.update(other, PeerState({"e1": RequestCounts(0, batch)}), now=1.0)
        slots = BatchSlots(name, loads)
        here = Engine(engine.record)
        here.peers = RequestCounts(online=4, batch=8 - own)
        for _ in range(own):
            here.reserve_slot()
        preempted[name] = slots.items_to_preempt(here, now=1.0)
    # Twelve requests are at an engine with eight slots.
    assert sum(preempted.values()) == 4
    assert preempted == {"a": 3, "b": 1, "c": 0}


def test_nothing_is_preempted_while_slots_are_free(slots, engine):
    engine.reserve_slot()
    engine.peers = RequestCounts(online=7)
    assert slots.items_to_preempt(engine, now=1.0) == 0
    engine.peers = RequestCounts(online=8)
    assert slots.items_to_preempt(engine, now=1.0) == 1
    slots.record_preempted(engine, now=1.0)
    assert slots.items_to_preempt(engine, now=1.01) == 0
