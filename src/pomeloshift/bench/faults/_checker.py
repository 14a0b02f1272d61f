"""Checks a history against the guarantees, without knowledge of internals."""

from collections import Counter

from ...errors import Ran
from ._counts import Counts
from ._history import History, JobRecord, OnlineCall

MAX_CRASHES_PER_REQUEST = 2
DRAIN_GRACE_S = 3.0
TERMINAL_STATUSES = ("completed", "cancelled")


def check(history: History) -> Counts:
    """Counts the violated guarantees in a history."""
    runs = Counter(run.marker for run in history.engine_runs)
    counts = Counts(
        doubled=_calls_run_twice(history),
        reverted=_versions_reverted(history) + _fenced_orders_reverted(history),
        lost=_publications_lost(history),
        orphaned=len(history.running_at_end) + _runs_after_stop(history),
        poisoned=_crashes_beyond_limit(history),
        unexpected=len(history.unexpected),
    )
    for call in history.online:
        counts = counts.plus(_check_call(call, history, runs))
    for job in history.jobs:
        counts = counts.plus(_check_job(job, runs))
    return counts


def _check_call(call: OnlineCall, history: History, runs: Counter[str]) -> Counts:
    if call.ended_at is None:
        return Counts(lost=1)
    if call.idempotency_key:
        return _check_non_idempotent(call, history)
    if call.ran is Ran.NO and runs[call.marker] > 0:
        return Counts(ran_after_refused=1)
    if call.error_code:
        return Counts(lost=int(not call.is_poison))
    return _check_text(call) if call.is_complete else Counts(cut=1)


def _check_non_idempotent(call: OnlineCall, history: History) -> Counts:
    ran = any(run.key == call.idempotency_key for run in history.calls_run)
    if not call.error_code:
        return Counts(lost=int(not ran))
    is_refused = call.ran is Ran.NO and not _may_have_run_for_another(call, history)
    return Counts(ran_after_refused=int(ran and is_refused))


def _may_have_run_for_another(call: OnlineCall, history: History) -> bool:
    """Returns whether another call with the same key was sent and not refused."""
    return any(
        other is not call
        and other.idempotency_key == call.idempotency_key
        and other.ran is not Ran.NO
        for other in history.online
    )


def _check_text(call: OnlineCall) -> Counts:
    if call.text == call.expected:
        return Counts()
    if call.expected.startswith(call.text):
        return Counts(cut=1)
    return Counts(crossed=1)


def _calls_run_twice(history: History) -> int:
    runs = Counter(run.key for run in history.calls_run)
    return sum(count - 1 for count in runs.values())


def _check_job(job: JobRecord, runs: Counter[str]) -> Counts:
    ids = set(job.job_ids)
    if not ids:
        ran = sum(runs[marker] > 0 for marker in job.markers)
        return Counts(ran_after_refused=ran if job.is_refused else 0)
    doubled = len(ids) - 1
    if not job.is_idempotent:
        doubled += sum(max(0, runs[marker] - 1) for marker in job.markers)
    counts = Counts(
        doubled=doubled,
        unreadable=job.unreadable,
        reverted=_changes_after_terminal(job),
    )
    if job.cancel_acknowledged_at is not None:
        return counts.plus(_check_cancelled(job))
    for marker in job.markers:
        counts = counts.plus(_check_item(job, marker))
    return counts


def _check_item(job: JobRecord, marker: str) -> Counts:
    texts = job.results.get(marker, [])
    failures = job.failures.get(marker, [])
    outcomes = len(texts) + len(failures)
    if outcomes == 0:
        return Counts(lost=1)
    if outcomes > 1:
        return Counts(doubled=outcomes - 1)
    if failures:
        is_allowed = marker in job.poison_markers or not job.is_idempotent
        return Counts() if is_allowed else Counts(lost=1)
    return Counts(crossed=int(texts[0] != job.expected[marker]))


def _check_cancelled(job: JobRecord) -> Counts:
    is_cancelled = bool(job.statuses) and job.statuses[-1] == "cancelled"
    return Counts(lost=int(not is_cancelled))


def _changes_after_terminal(job: JobRecord) -> int:
    """Counts the changes of status after a terminal status."""
    pairs = zip(job.statuses, job.statuses[1:], strict=False)
    return sum(
        before in TERMINAL_STATUSES and after != before for before, after in pairs
    )


def _versions_reverted(history: History) -> int:
    reverted = 0
    for versions in history.versions.values():
        pairs = zip(versions, versions[1:], strict=False)
        reverted += sum(later < earlier for earlier, later in pairs)
    return reverted


def _publications_lost(history: History) -> int:
    """Counts lost updates, processes with an old version and differing documents.

    Two accepted publications on the same base version are a lost update.
    """
    accepted = [p.version for p in history.publications if p.version is not None]
    bases = {p.base for p in history.publications if p.version is not None}
    duplicates = len(accepted) - len(bases)
    if not accepted:
        return duplicates
    newest = max(accepted)
    versions = [version for version, _ in history.configs_at_end.values()]
    versions += history.sidecar_versions_at_end.values()
    outdated = [version for version in versions if version < newest]
    return duplicates + len(outdated) + _differing_documents(history)


def _differing_documents(history: History) -> int:
    notes_by_version: dict[int, set[str]] = {}
    for version, note in history.configs_at_end.values():
        notes_by_version.setdefault(version, set()).add(note)
    return sum(len(notes) - 1 for notes in notes_by_version.values())


def _fenced_orders_reverted(history: History) -> int:
    """Counts commands that were applied after one with a higher fencing token."""
    newest: dict[str, int] = {}
    reverted = 0
    for order in history.orders:
        seen = newest.get(order.engine, 0)
        reverted += order.fencing_number < seen
        newest[order.engine] = max(seen, order.fencing_number)
    return reverted


def _crashes_beyond_limit(history: History) -> int:
    crashes = Counter(crash.marker for crash in history.crashes)
    return sum(max(0, count - MAX_CRASHES_PER_REQUEST) for count in crashes.values())


def _runs_after_stop(history: History) -> int:
    """Counts runs that started on a backend server after its drain grace period."""
    stops = history.planned_stops
    return sum(
        run.engine in stops and run.at > stops[run.engine] + DRAIN_GRACE_S
        for run in history.engine_runs
    )
