import pytest

from _partition import Partition, statuses
from pomeloshift.batch import (
    DispatchOrder,
    ItemStatus,
    LeasePhase,
    job_view,
    pull_all,
)
from pomeloshift.errors import ErrorCode, ErrorReport, Ran
from pomeloshift.wire import ItemOutcome, ItemPull, LeaseRelease

LOST = ErrorReport(ErrorCode.BACKEND_SERVER_LOST, "lost", Ran.YES)
NO_ANSWER = ErrorReport(ErrorCode.BACKEND_SERVER_LOST, "no answer")
BUSY = ErrorReport(ErrorCode.OVERLOADED, "busy", Ran.NO)
SLOW = ErrorReport(ErrorCode.DEADLINE_EXCEEDED, "slow")
BAD = ErrorReport(ErrorCode.INVALID_REQUEST, "bad", Ran.NO)


@pytest.fixture
def partition():
    return Partition()


@pytest.fixture
def owner(partition):
    return partition.add_owner()


def indexes(decision):
    return [lease.index for lease in decision.leases]


def test_job_runs_to_its_end(partition, owner):
    job_id = partition.add_job("k", items=5)
    decision = partition.pull(owner)
    assert indexes(decision) == [0, 1, 2, 3, 4]
    for lease in decision.leases[:4]:
        partition.finish(owner, lease)
    partition.finish(owner, decision.leases[4], error=BAD)
    job = owner.state.jobs[job_id]
    assert (job.completed, job.failed, job.waiting) == (4, 1, 0)
    assert job_view(job).status == "completed"
    assert owner.leased == 0


def test_repeated_pull_gets_the_same_leases_and_an_older_one_none(partition, owner):
    partition.add_job("k", items=5)
    first = partition.pull(owner, nonce=7, items=2)
    assert partition.pull(owner, nonce=7, items=2).leases == first.leases
    assert partition.pull(owner, nonce=6, items=2).leases == ()
    assert indexes(partition.pull(owner, nonce=8, items=2)) == [2, 3]


def test_pull_gets_no_more_tokens_than_it_asks_for(partition, owner):
    partition.add_job("k", items=5)
    assert indexes(partition.pull(owner, tokens=250)) == [0, 1]


def test_item_larger_than_the_tokens_of_a_pull_is_leased_by_itself(partition, owner):
    partition.add_job("k", items=2)
    assert indexes(partition.pull(owner, tokens=1)) == [0]
    assert indexes(partition.pull(owner, tokens=150, nonce=2)) == [1]


def test_items_whose_grant_was_lost_are_leased_again(partition, owner):
    partition.add_job("k", items=2)
    first = partition.pull(owner, nonce=1)
    again = partition.pull(owner, nonce=2, held=(first.leases[0].lease_id,))
    assert indexes(again) == [1]


def test_held_leases_are_renewed_and_others_expire(partition, owner):
    job_id = partition.add_job("k", items=2)
    partition.pull(owner, now=0, instance="s1", items=1)
    partition.pull(owner, now=0, instance="s2", items=1)
    partition.tick(owner, 0, 9)
    partition.pull(owner, now=9, instance="s1", nonce=2, items=0)
    partition.tick(owner, 10, 11)
    assert owner.leased == 1
    assert list(owner.state.jobs[job_id].strikes) == [1]
    decision = partition.pull(owner, now=12, instance="s3")
    assert indexes(decision) == [1]
    assert decision.leases[0].is_exclusive


def test_poison_item_fails_after_two_lost_backend_servers(partition, owner):
    job_id = partition.add_job("k", items=3)
    for round_number, instance in enumerate(("s1", "s2")):
        decision = partition.pull(owner, instance=instance, items=1)
        assert indexes(decision) == [0]
        assert decision.leases[0].is_exclusive is (round_number == 1)
        partition.append(owner.instance_lost(instance, 1, 0, 0))
    assert statuses(owner, job_id) == ["FAILED", "WAITING", "WAITING"]
    for lease in partition.pull(owner, instance="s3").leases:
        partition.finish(owner, lease)
    assert owner.state.jobs[job_id].waiting == 0


def test_item_does_not_fail_because_servers_crashed_under_it(partition, owner):
    job_id = partition.add_job("k", items=1)
    for number in range(3):
        partition.pull(owner, instance=f"s{number}")
        partition.append(owner.instance_lost(f"s{number}", 1, 0, 0))
    assert statuses(owner, job_id) == ["WAITING"]
    (lease,) = partition.pull(owner, instance="s3").leases
    partition.finish(owner, lease)
    assert statuses(owner, job_id) == ["COMPLETED"]


def test_item_is_not_leased_again_before_its_crash_is_durable(partition, owner):
    partition.add_job("k", items=1)
    partition.pull(owner, instance="s1")
    records = owner.instance_lost("s1", 1, 0, 0)
    assert partition.pull(owner, instance="s2").leases == ()
    partition.append(records)
    assert len(partition.pull(owner, instance="s2", nonce=2).leases) == 1


def test_crash_reported_by_a_sidecar_counts_like_its_loss(partition, owner):
    job_id = partition.add_job("k", items=1)
    for nonce in (1, 2):
        (lease,) = partition.pull(owner, nonce=nonce).leases
        partition.finish(owner, lease, error=LOST)
    assert statuses(owner, job_id) == ["FAILED"]


def test_crash_of_an_expired_lease_becomes_certain_once_the_loss_is_known(
    partition, owner
):
    job_id = partition.add_job("k", items=1)
    for instance, now in (("s1", 0), ("s2", 20)):
        partition.pull(owner, now=now, instance=instance)
        partition.tick(owner, now, now + 11)
    assert statuses(owner, job_id) == ["WAITING"]
    partition.append(owner.instance_lost("s1", 1, 32, 32))
    assert statuses(owner, job_id) == ["WAITING"]
    partition.append(owner.instance_lost("s2", 1, 32, 32))
    assert statuses(owner, job_id) == ["FAILED"]


def test_restart_of_a_sidecar_counts_a_crash_for_what_it_ran(partition, owner):
    job_id = partition.add_job("k", items=1)
    partition.pull(owner, incarnation=1)
    partition.pull(owner, incarnation=2, items=0)
    assert len(owner.state.jobs[job_id].strikes[0]) == 1


def test_rejected_items_are_retried_without_a_limit(partition, owner):
    partition.add_job("k", items=1)
    for nonce in range(20):
        (lease,) = partition.pull(owner, nonce=nonce).leases
        assert partition.finish(owner, lease, error=BUSY) is None


def test_item_that_never_completes_fails_after_max_tries(partition, owner):
    job_id = partition.add_job("k", items=1)
    for nonce in (1, 2, 3):
        (lease,) = partition.pull(owner, nonce=nonce).leases
        partition.finish(owner, lease, error=SLOW)
    assert statuses(owner, job_id) == ["FAILED"]


def test_released_items_are_leased_again_at_once_with_their_resume_tokens(
    partition, owner
):
    partition.add_job("k", items=2)
    first = partition.pull(owner).leases
    release = LeaseRelease("s1", tuple(le.lease_id for le in first), (b"so far",))
    assert owner.release(release, 0, 0) == []
    again = partition.pull(owner, instance="s2").leases
    assert [owner.resume_of(lease) for lease in again] == [b"so far", b""]
    assert not any(lease.is_exclusive for lease in again)


def test_cancel_stops_leasing_at_once_and_first_record_wins(partition, owner):
    job_id = partition.add_job("k", items=3)
    first, second, _ = partition.pull(owner).leases
    partition.finish(owner, first)
    record = owner.cancel(job_id, 1.0)
    assert partition.pull(owner, instance="s2").leases == ()
    assert len(partition.pull(owner, nonce=2).cancelled) == 2
    assert job_view(owner.state.jobs[job_id], True).status == "cancelling"
    partition.append([record])
    partition.finish(owner, second)
    job = owner.state.jobs[job_id]
    assert (job.completed, job_view(job).status) == (1, "cancelled")
    assert owner.cancel(job_id, 2.0) is None


def test_new_owner_stops_items_of_a_job_that_was_cancelled(partition, owner):
    job_id = partition.add_job("k", items=1)
    (lease,) = partition.pull(owner).leases
    partition.append([owner.cancel(job_id, 1.0)])
    successor = partition.add_owner("entry-2")
    decision = partition.pull(successor, nonce=2, held=(lease.lease_id,))
    assert decision.cancelled == (lease.lease_id,)


def test_new_owner_adopts_the_leases_that_sidecars_hold(partition, owner):
    partition.add_job("k", items=3)
    held = tuple(le.lease_id for le in partition.pull(owner, items=2).leases)
    successor = partition.add_owner("entry-2")
    partition.pull(successor, nonce=2, items=0, held=held)
    assert indexes(partition.pull(successor, instance="s2")) == [2]


def test_first_completion_wins_when_two_owners_lease_the_same_items(partition, owner):
    job_id = partition.add_job("k", items=2)
    other = partition.add_owner("entry-2")
    first_leases = partition.pull(owner, instance="s1").leases
    second_leases = partition.pull(other, instance="s2").leases
    assert [le.index for le in first_leases] == [le.index for le in second_leases]
    for first, second in zip(first_leases, second_leases, strict=True):
        partition.finish(owner, first, body=b'"first"')
        assert partition.finish(other, second, body=b'"second"') is None
    job = owner.state.jobs[job_id]
    assert (job.completed, job.waiting) == (2, 0)
    assert [partition.records[o].body.body for o in job.results] == [b'"first"'] * 2
    assert other.leased == owner.leased == 0


def test_non_idempotent_item_is_leased_once(partition, owner):
    job_id = partition.add_job("k", items=1, is_repeatable=False)
    other = partition.add_owner("entry-2")
    for each in (owner, other):
        assert partition.pull(each, may_claim=False).leases == ()
    first = owner_pull(owner, "s1")
    second = owner_pull(other, "s2")
    assert first.leases[0].phase is LeasePhase.CLAIMING
    partition.append(first.records)
    partition.append(second.records)
    assert owner.confirm_claim(first.leases[0].lease_id, 0)
    assert not other.confirm_claim(second.leases[0].lease_id, 0)
    assert partition.pull(other, instance="s3").leases == ()
    partition.finish(owner, first.leases[0])
    assert statuses(owner, job_id) == ["COMPLETED"]


def owner_pull(owner, instance):
    return owner.pull(ItemPull(instance, 1, 5, "r", "lm", 1000, 1), 0, 0)


def claimed(partition, owner):
    decision = partition.pull(owner)
    (lease,) = decision.leases
    assert owner.confirm_claim(lease.lease_id, 0)
    return lease


@pytest.mark.parametrize("end", ["lost", "late", "released", "crashed", "passing"])
def test_run_of_a_non_idempotent_item_with_unknown_outcome_is_not_retried(
    partition, owner, end
):
    job_id = partition.add_job("k", items=1, is_repeatable=False)
    lease = claimed(partition, owner)
    if end == "lost":
        partition.append(owner.instance_lost("s1", 1, 0, 0))
    elif end == "late":
        partition.tick(owner, 0, 11)
    elif end == "released":
        partition.append(owner.release(LeaseRelease("s1", (lease.lease_id,)), 0, 0))
    else:
        error = LOST if end == "crashed" else SLOW
        partition.finish(owner, lease, error=error)
    assert statuses(owner, job_id) == ["FAILED"]
    result = partition.records[owner.state.jobs[job_id].results[0]].body
    assert result.error.code is ErrorCode.OUTCOME_UNKNOWN
    assert result.error.ran is Ran.UNKNOWN
    assert partition.pull(owner, instance="s2").leases == ()


def test_non_idempotent_item_whose_run_did_not_begin_is_retried(partition, owner):
    job_id = partition.add_job("k", items=1, is_repeatable=False)
    lease = claimed(partition, owner)
    partition.finish(owner, lease, error=BUSY)
    decision = partition.pull(owner, nonce=2)
    assert owner.confirm_claim(decision.leases[0].lease_id, 0)
    partition.finish(owner, decision.leases[0])
    assert statuses(owner, job_id) == ["COMPLETED"]


def test_claim_appended_after_its_lease_was_dropped_is_withdrawn(partition, owner):
    partition.add_job("k", items=1, is_repeatable=False)
    decision = owner_pull(owner, "s1")
    owner.abandon(decision.leases[0].lease_id, 0)
    partition.append(decision.records)
    assert partition.pull(owner, instance="s2").leases == ()
    partition.append(owner.tick(0, 0))
    assert len(partition.pull(owner, instance="s2", nonce=2).leases) == 1


def test_new_owner_waits_for_the_runner_of_a_claim(partition, owner):
    job_id = partition.add_job("k", items=2, is_repeatable=False)
    leases = partition.pull(owner).leases
    for lease in leases:
        assert owner.confirm_claim(lease.lease_id, 0)
    successor = partition.add_owner("entry-2")
    successor.adopt_claims(100.0)
    assert partition.pull(successor, now=100.0, instance="s2").leases == ()
    partition.finish(successor, leases[0], now=105.0)
    partition.tick(successor, 100, 111)
    assert statuses(successor, job_id) == ["COMPLETED", "FAILED"]


def test_small_job_due_sooner_is_not_starved_by_a_huge_one(partition, owner):
    partition.add_job("huge", items=88_000, workspace="a")
    small = partition.add_job("small", items=20, workspace="b", window_s=600)
    decision = partition.pull(owner, items=20, tokens=100_000)
    assert [lease.job_id for lease in decision.leases].count(small) >= 10
    rest = partition.pull(owner, items=20, tokens=100_000, nonce=2)
    served = [le.job_id for le in decision.leases + rest.leases]
    assert served.count(small) == 20


def test_workspaces_with_equal_deadlines_share_by_weight(partition, owner):
    jobs = {
        name: partition.add_job(name, items=1000, workspace=name, window_s=3600)
        for name in ("a", "b")
    }
    granted = partition.pull(
        owner, items=400, tokens=100_000, shares={"a": 1.0, "b": 1.0}
    )
    served = [le.job_id for le in granted.leases]
    assert abs(served.count(jobs["a"]) - served.count(jobs["b"])) <= 2


def test_one_dispatch_order_covers_all_partitions_of_an_entry():
    partitions = [Partition(), Partition()]
    partitions[0].add_job("huge", items=88_000, workspace="a")
    small = partitions[1].add_job("small", items=20, workspace="b", window_s=600)
    owners = [each.add_owner() for each in partitions]
    order = DispatchOrder()
    pull = ItemPull("s1", 1, 1, "r", "lm", 100_000, 40)
    decisions = pull_all(owners, order, pull, 0, 0)
    assert [len(decision.leases) for decision in decisions] == [20, 20]
    assert {lease.job_id for lease in decisions[1].leases} == {small}
    assert pull_all(owners, order, pull, 0, 0) == decisions


def test_workspace_with_a_short_window_leaves_half_to_the_others(partition, owner):
    partition.add_job("eager", items=1000, workspace="a", window_s=60)
    patient = partition.add_job("patient", items=1000, workspace="b")
    granted = partition.pull(owner, items=100, tokens=100_000)
    served = [le.job_id for le in granted.leases]
    assert served.count(patient) == 50


def test_outcome_of_another_owners_lease_completes_the_item(partition, owner):
    job_id = partition.add_job("k", items=1)
    (lease,) = partition.pull(owner).leases
    successor = partition.add_owner("entry-2")
    partition.finish(successor, lease)
    assert statuses(successor, job_id) == ["COMPLETED"]
    assert owner.leased == 0
    assert owner.state.jobs[job_id].status[0] == ItemStatus.COMPLETED


def test_lease_is_running_again_when_its_outcome_was_not_appended(partition, owner):
    partition.add_job("k", items=1)
    (lease,) = partition.pull(owner).leases
    outcome = ItemOutcome(0, lease.job_id, 0, lease.lease_id, 200, b"{}", 1)
    assert owner.outcome(outcome, 0, 0) is not None
    owner.reopen(lease.lease_id, 5)
    assert owner.tick(14, 14) == []
    assert owner.outcome(outcome, 14, 14) is not None


def test_pause_of_the_owner_counts_no_crash(partition, owner):
    partition.add_job("k", items=1)
    partition.pull(owner, now=0)
    owner.tick(1, 1)
    assert owner.tick(500, 500) == []
    assert owner.tick(504, 504) == []
    assert owner.tick(508, 508) == []
    assert len(owner.tick(512, 512)) == 1


def test_items_beside_a_poison_item_finish(partition, owner):
    job_id = partition.add_job("k", items=6)
    lost = 0
    for number in range(30):
        leases = partition.pull(owner, now=number, instance=f"s{number}").leases
        assert sum(lease.is_exclusive for lease in leases) <= 1
        if any(lease.index == 3 for lease in leases):
            lost += 1
            partition.append(owner.instance_lost(f"s{number}", 1, number, number))
        else:
            for lease in leases:
                partition.finish(owner, lease, now=number)
    assert lost == 2
    names = ["COMPLETED"] * 6
    names[3] = "FAILED"
    assert statuses(owner, job_id) == names


def test_sidecar_gets_no_second_suspect_while_it_holds_one(partition, owner):
    partition.add_job("k", items=4)
    partition.pull(owner, instance="s1", items=2)
    partition.append(owner.instance_lost("s1", 1, 0, 0))
    first = partition.pull(owner, instance="s2", items=2)
    assert [(le.index, le.is_exclusive) for le in first.leases] == [
        (0, True),
        (2, False),
    ]
    held = tuple(lease.lease_id for lease in first.leases)
    second = partition.pull(owner, instance="s2", nonce=2, held=held)
    assert indexes(second) == [3]
    assert indexes(partition.pull(owner, instance="s3")) == [1]
    successor = partition.add_owner("entry-2")
    partition.pull(successor, instance="s2", nonce=3, items=0, held=held)
    assert indexes(partition.pull(successor, instance="s2", nonce=4, held=held)) == [3]


def test_item_leased_after_a_reported_crash_is_not_counted_for_it(partition, owner):
    job_id = partition.add_job("k", items=2)
    (first,) = partition.pull(owner, now=1, items=1).leases
    owner.record_crash_report("s1", 2)
    partition.finish(owner, first, now=2, error=LOST)
    (second,) = partition.pull(owner, now=3, nonce=2, items=1).leases
    partition.append(owner.instance_lost("s1", 1, 4, 4))
    job = owner.state.jobs[job_id]
    assert (second.index, list(job.strikes)) == (0, [0])
    assert len(job.strikes[0]) == 1
    partition.append(owner.instance_lost("s1", 1, 5, 5))
    assert statuses(owner, job_id) == ["FAILED", "WAITING"]


def test_run_without_a_response_is_a_certain_crash_once_the_loss_is_known(
    partition, owner
):
    job_id = partition.add_job("k", items=1)
    for number in range(2):
        now = 10 * number
        (lease,) = partition.pull(owner, now=now, nonce=2 * number).leases
        owner.record_crash_report("s1", now + 1)
        partition.finish(owner, lease, now=now + 1, error=NO_ANSWER)
        partition.pull(owner, now=now + 1, nonce=2 * number + 1, items=0)
        assert statuses(owner, job_id) == ["WAITING"]
        partition.append(owner.instance_lost("s1", 1, now + 2, now + 2))
    assert statuses(owner, job_id) == ["FAILED"]


def test_run_leased_after_a_reported_crash_stays_an_uncertain_crash(partition, owner):
    job_id = partition.add_job("k", items=2)
    first, second = partition.pull(owner).leases
    owner.record_crash_report("s1", 1)
    partition.finish(owner, first, now=1, error=LOST)
    partition.finish(owner, second, now=1, error=LOST)
    (late,) = partition.pull(owner, now=1, nonce=2, items=1).leases
    partition.finish(owner, late, now=1, error=NO_ANSWER)
    partition.append(owner.instance_lost("s1", 1, 2, 2))
    assert statuses(owner, job_id) == ["WAITING", "WAITING"]
