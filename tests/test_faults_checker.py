import pytest

from pomeloshift.bench.faults import Counts, check
from pomeloshift.bench.faults._history import (
    CallRan,
    EngineCrashed,
    History,
    JobRecord,
    OnlineCall,
    OrderApplied,
    Publication,
    RunStarted,
)
from pomeloshift.errors import Ran


def online(**fields):
    call = OnlineCall("req0", b"", "one two", 0.0, ended_at=1.0, status=200)
    for name, value in fields.items():
        setattr(call, name, value)
    return History(online=[call])


def job(**fields):
    record = JobRecord(
        "j",
        ("a",),
        {"a": "x"},
        job_ids=["id"],
        statuses=["in_progress", "completed"],
        results={"a": ["x"]},
    )
    for name, value in fields.items():
        setattr(record, name, value)
    return History(jobs=[record])


RAN = RunStarted(0.5, "s1", "req0")
VALID = [
    online(text="one two", is_complete=True),
    job(),
    History(calls_run=[CallRan(0.0, "k")]),
    History(
        publications=[Publication("a", 0, 1)],
        versions={"e1": [0, 0, 1, 1]},
        configs_at_end={"e1": (1, "a")},
    ),
]
VIOLATIONS = [
    ("lost", online(ended_at=None)),
    ("lost", online(error_code="overloaded", ran=Ran.NO)),
    ("cut", online(text="one", is_complete=True)),
    ("cut", online(text="one")),
    ("crossed", online(text="three", is_complete=True)),
    ("lost", job(results={})),
    ("lost", job(results={}, failures={"a": ["quarantined"]})),
    ("doubled", job(results={"a": ["x", "x"]})),
    ("doubled", job(job_ids=["id", "other"])),
    ("crossed", job(results={"a": ["y"]})),
    ("unreadable", job(unreadable=1)),
    ("reverted", job(statuses=["completed", "in_progress"])),
    ("lost", job(cancel_acknowledged_at=1.0)),
    ("doubled", History(calls_run=[CallRan(0.0, "k"), CallRan(1.0, "k")])),
    ("reverted", History(versions={"e1": [1, 2, 1]})),
    (
        "reverted",
        History(orders=[OrderApplied(0, "s", "b", 9), OrderApplied(1, "s", "a", 5)]),
    ),
    (
        "lost",
        History(publications=[Publication("a", 0, 2)], configs_at_end={"e": (1, "x")}),
    ),
    (
        "lost",
        History(
            publications=[Publication("a", 1, 2), Publication("b", 1, 3)],
            configs_at_end={"e": (3, "b")},
        ),
    ),
    ("orphaned", History(running_at_end=["req0"])),
    (
        "orphaned",
        History(engine_runs=[RunStarted(9.0, "s1", "r")], planned_stops={"s1": 5.0}),
    ),
    ("poisoned", History(crashes=[EngineCrashed(n, "s", "poison1") for n in range(3)])),
    ("unexpected", History(unexpected=["KeyError"])),
]


@pytest.mark.parametrize("history", VALID)
def test_history_without_violation_counts_nothing(history):
    assert check(history) == Counts()


@pytest.mark.parametrize(("kind", "history"), VIOLATIONS)
def test_each_violation_is_counted_once(kind, history):
    assert check(history) == Counts(**{kind: 1})


def test_work_that_ran_after_a_refusal_is_counted():
    history = online(error_code="draining", ran=Ran.NO)
    history.engine_runs.append(RAN)
    assert check(history) == Counts(ran_after_refused=1)


def test_non_idempotent_items_that_ran_twice_are_counted():
    history = job(is_idempotent=False)
    history.engine_runs += [RunStarted(0.0, "s1", "a"), RunStarted(1.0, "s2", "a")]
    assert check(history) == Counts(doubled=1)
