"""The decision about a job's cap, which follows from the order of the log."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloshift.jobs import (
    BlobRef,
    ItemSettled,
    JobEnded,
    JobSubmitted,
    JobTable,
    encode_record,
    split,
)

QUEUE = "h/p/"
RECORD_BYTES = 400  # smaller than most jobs' records, so that they are split


class CapLog:
    """A job log that is replayed as it grows, and from each key's newest record."""

    def __init__(self):
        self.rows = []
        self.table = JobTable()

    def add(self, record):
        key = f"{record.job_id}/w/{len(self.rows)}"
        for row in split(key, encode_record(record), RECORD_BYTES):
            self.write(*row)
        return key

    def write(self, key, value):
        self.table.apply(len(self.rows), key, value, 1.0, 100.0)
        self.rows.append((key, value))

    def submit(self, job_id, tokens, cap, workspace="", queue=QUEUE, items=1):
        ref = BlobRef("blob", 0, 10, 1)
        rows = [(f"i{n}", f"/p/{n}", [], ref, tokens) for n in range(items)]
        return self.add(
            JobSubmitted(job_id, queue, "h", "/p/new", 1.0, rows, workspace, cap)
        )

    def settle(self, job_id, index=0):
        self.add(ItemSettled(job_id, index, False, None))

    def remove(self, keys):
        for key in keys:
            self.write(key, None)

    def restart(self):
        """Returns the table of a gateway that starts now."""
        newest = {}
        for offset, (key, value) in enumerate(self.rows):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (offset, value)
        table = JobTable()
        for key, (offset, value) in newest.items():
            table.apply(offset, key, value, 1.0, 100.0)
        return table


@pytest.fixture
def log():
    return CapLog()


def state(table):
    """What gateways have to agree on."""
    return (
        {job.id: (job.pending, job.is_ended) for job in table.jobs.values()},
        {key for key, one in table.refused.items() if not one.is_removed},
        {
            (queue, name): table.accepted_tokens(queue, name)
            for queue in (QUEUE, "h/q/")
            for name in ("", "red", "blue")
        },
    )


def test_first_of_two_jobs_in_the_log_is_accepted(log):
    log.submit("j1", 60, cap=100)
    key = log.submit("j2", 60, cap=100)
    assert list(log.table.jobs) == ["j1"]
    refusal = log.table.refused[key]
    assert (refusal.waiting, refusal.tokens, refusal.cap) == (60, 60, 100)


def test_cap_applies_to_each_workspace_and_without_one_to_all_jobs(log):
    log.submit("j1", 60, cap=100, workspace="red")
    log.submit("j2", 60, cap=100, workspace="blue")
    log.submit("j3", 60, cap=100, workspace="red")
    log.submit("j4", 10, cap=100)
    log.submit("j5", 60, cap=100, queue="h/q/")
    assert list(log.table.jobs) == ["j1", "j2", "j5"]


@pytest.mark.parametrize("cap", [0, None])
def test_job_without_a_cap_and_records_of_earlier_versions_are_accepted(log, cap):
    log.submit("j1", 60, cap=60)
    if cap is None:
        old = encode_record(JobSubmitted("j2", QUEUE, "h", "/p/new", 1.0, []))
        # The array's length is in its first byte; the last two fields are missing.
        data = bytes([old[0] - 2]) + old[1:-2]
        log.write("j2/w/old#0", split("x", data, RECORD_BYTES)[0][1])
    else:
        log.submit("j2", 60, cap=cap)
    assert list(log.table.jobs) == ["j1", "j2"]
    assert log.table.unreadable == 0


@pytest.mark.parametrize("how", ["settled", "ended"])
def test_finished_items_and_ended_jobs_make_room(log, how):
    log.submit("j1", 60, cap=100)
    if how == "settled":
        log.settle("j1")
    else:
        log.add(JobEnded("j1"))
        log.settle("j1")
    log.submit("j2", 100, cap=100)
    assert list(log.table.jobs) == ["j1", "j2"]
    assert log.table.accepted_tokens(QUEUE) == 100


def test_repeat_of_an_accepted_job_counts_once_and_is_not_refused(log):
    for _ in range(2):
        log.submit("j1", 60, cap=100)
    assert list(log.table.jobs) == ["j1"]
    assert not log.table.refused
    assert log.table.accepted_tokens(QUEUE) == 60


def test_repeat_of_a_refused_job_is_decided_anew(log):
    log.submit("j1", 60, cap=100)
    first = log.submit("j2", 60, cap=100)
    log.settle("j1")
    log.submit("j2", 60, cap=100)
    log.remove(log.table.refused[first].keys)
    assert state(log.restart()) == state(log.table)
    assert log.table.accepted_tokens(QUEUE) == 60


def test_finished_job_is_kept_while_a_refused_record_depends_on_it(log):
    """Without it, a gateway that starts later accepts the refused record."""
    log.submit("j1", 60, cap=100)
    key = log.submit("j2", 60, cap=100)
    log.settle("j1")
    job = log.table.jobs["j1"]
    assert log.table.blocks_removal(job)
    log.remove(log.table.refused[key].keys)
    assert not log.table.blocks_removal(job)
    log.remove(job.keys)
    assert not log.restart().jobs
    log.submit("j3", 60, cap=50)
    assert not log.table.blocks_removal(job)


NUMBERS = st.integers(0, 3)
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("submit"),
            NUMBERS,
            st.sampled_from([20, 30, 60]),
            st.sampled_from([0, 60, 100]),
            st.sampled_from(["", "red"]),
        ),
        st.tuples(st.just("settle"), NUMBERS, st.integers(0, 1)),
        st.tuples(st.just("end"), NUMBERS),
        st.tuples(st.just("remove job"), NUMBERS),
        st.tuples(st.just("remove refused"), st.integers(0, 1)),
    ),
    min_size=20,
    max_size=40,
)


@settings(max_examples=300)
@given(STEPS)
def test_gateway_that_starts_at_any_time_decides_like_those_that_run(steps):
    """A 429 and a 202 hold at each gateway, whatever was removed since."""
    log = CapLog()
    for kind, number, *rest in steps:
        job_id = f"j{number}"
        job = log.table.jobs.get(job_id)
        if kind == "submit":
            tokens, cap, workspace = rest
            log.submit(job_id, tokens, cap, workspace, items=2)
            if job is None and job_id in log.table.jobs and cap:
                assert log.table.accepted_tokens(QUEUE, workspace) <= cap
        elif kind == "settle":
            log.settle(job_id, rest[0])
        elif kind == "end":
            log.add(JobEnded(job_id))
        elif kind == "remove job":
            if job and not job.is_open and not log.table.blocks_removal(job):
                log.remove(job.keys)
        else:
            left = [one for one in log.table.refused.values() if not one.is_removed]
            if number < len(left):
                log.remove(left[number].keys)
        assert state(log.restart()) == state(log.table)
