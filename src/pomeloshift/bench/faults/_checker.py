"""Judges a history; knows nothing of how the system works inside."""

from collections import Counter

from ...errors import Ran
from ._counts import Counts
from ._history import History, JobRecord, OnlineCall

MAX_DEATHS_PER_REQUEST = 2
NO_NEW_WORK_AFTER_S = 3.0
OVER = ("completed", "cancelled")


def check(history: History) -> Counts:
    """Counts the broken promises in a history."""
    runs = Counter(run.marker for run in history.engine_runs)
    counts = Counts(
        doubled=_calls_run_twice(history),
        reverted=_reverted(history) + _fenced_orders_reverted(history),
        lost=_publications_lost(history),
        orphaned=len(history.running_at_end) + _runs_after_stop(history),
        poisoned=_deaths_beyond_limit(history),
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
    if call.unrepeatable_key:
        return _check_unrepeatable(call, history)
    if call.ran is Ran.NO and runs[call.marker] > 0:
        return Counts(ran_after_refused=1)
    if call.error_code:
        return Counts(lost=int(not call.is_poison))
    return _check_text(call) if call.whole else Counts(cut=1)


def _check_unrepeatable(call: OnlineCall, history: History) -> Counts:
    ran = any(run.key == call.unrepeatable_key for run in history.calls_run)
    if not call.error_code:
        return Counts(lost=int(not ran))
    refused = call.ran is Ran.NO and not _may_have_run_for_another(call, history)
    return Counts(ran_after_refused=int(ran and refused))


def _may_have_run_for_another(call: OnlineCall, history: History) -> bool:
    """Tells whether the same key was sent again, and that copy was not refused."""
    return any(
        other is not call
        and other.unrepeatable_key == call.unrepeatable_key
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
        return Counts(ran_after_refused=ran if job.refused else 0)
    doubled = len(ids) - 1
    if not job.repeatable:
        doubled += sum(max(0, runs[marker] - 1) for marker in job.markers)
    counts = Counts(doubled=doubled, unreadable=job.unreadable, reverted=_reopened(job))
    if job.cancel_acknowledged_at is not None:
        return counts.plus(_check_cancelled(job))
    for marker in job.markers:
        counts = counts.plus(_check_item(job, marker))
    return counts


def _check_item(job: JobRecord, marker: str) -> Counts:
    texts = job.results.get(marker, [])
    failures = job.failures.get(marker, [])
    ends = len(texts) + len(failures)
    if ends == 0:
        return Counts(lost=1)
    if ends > 1:
        return Counts(doubled=ends - 1)
    if failures:
        excused = marker in job.poison or not job.repeatable
        return Counts() if excused else Counts(lost=1)
    return Counts(crossed=int(texts[0] != job.expected[marker]))


def _check_cancelled(job: JobRecord) -> Counts:
    is_cancelled = bool(job.statuses) and job.statuses[-1] == "cancelled"
    return Counts(lost=int(not is_cancelled))


def _reopened(job: JobRecord) -> int:
    """Counts how often a job that was over was shown as something else again."""
    pairs = zip(job.statuses, job.statuses[1:], strict=False)
    return sum(before in OVER and after != before for before, after in pairs)


def _reverted(history: History) -> int:
    reverted = 0
    for versions in history.versions.values():
        pairs = zip(versions, versions[1:], strict=False)
        reverted += sum(later < earlier for earlier, later in pairs)
    return reverted


def _publications_lost(history: History) -> int:
    """Counts accepted changes overwritten unseen, and processes left behind."""
    accepted = [p.version for p in history.publications if p.version is not None]
    bases = {p.base for p in history.publications if p.version is not None}
    duplicates = len(accepted) - len(bases)
    if not accepted:
        return duplicates
    newest = max(accepted)
    versions = [version for version, _ in history.configs_at_end.values()]
    versions += history.sidecar_versions_at_end.values()
    behind = [version for version in versions if version < newest]
    return duplicates + len(behind) + _differing_documents(history)


def _differing_documents(history: History) -> int:
    notes_by_version: dict[int, set[str]] = {}
    for version, note in history.configs_at_end.values():
        notes_by_version.setdefault(version, set()).add(note)
    return sum(len(notes) - 1 for notes in notes_by_version.values())


def _fenced_orders_reverted(history: History) -> int:
    """Counts orders that took effect behind those of a later holder."""
    newest: dict[str, int] = {}
    reverted = 0
    for order in history.orders:
        seen = newest.get(order.engine, 0)
        reverted += order.fencing_number < seen
        newest[order.engine] = max(seen, order.fencing_number)
    return reverted


def _deaths_beyond_limit(history: History) -> int:
    deaths = Counter(death.marker for death in history.deaths)
    return sum(max(0, count - MAX_DEATHS_PER_REQUEST) for count in deaths.values())


def _runs_after_stop(history: History) -> int:
    """Counts work that a leaving backend server was given too late."""
    stops = history.planned_stops
    return sum(
        run.engine in stops and run.at > stops[run.engine] + NO_NEW_WORK_AFTER_S
        for run in history.engine_runs
    )
