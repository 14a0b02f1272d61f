"""Finds runs whose engines crashed without closing the connection."""

from collections import deque

import attrs

from ._crash_circumstances import CrashCircumstances
from ._crash_keys import CrashKeys
from ._engine import Engine

# How long a silent run is kept: longer than the three missed heartbeats after which a
# crashed engine is removed from the list.
WATCH_S = 10.0
MAX_SILENT_RUNS = 5000


@attrs.frozen
class SilentRun:
    """A run of a request that was given up at ``ended_at``, in monotonic seconds.

    ``incarnation`` is that of the engine when the run began.
    """

    keys: CrashKeys
    request_id: str
    engine: Engine
    ended_at: float
    incarnation: int
    circumstances: CrashCircumstances = attrs.field(factory=CrashCircumstances)


@attrs.define
class SilentRuns:
    """Runs that were given up before the end of their response.

    An engine that is slow does not respond either. A run counts as a crash only if its
    engine starts again within `WATCH_S`, or sends nothing more and is removed or
    replaced by then.
    """

    _runs: deque[SilentRun] = attrs.field(factory=lambda: deque(maxlen=MAX_SILENT_RUNS))

    def add(self, run: SilentRun) -> None:
        """Records a run; beyond `MAX_SILENT_RUNS` the oldest is forgotten."""
        self._runs.append(run)

    def take_crashed(self, now: float) -> list[SilentRun]:
        """Returns the runs whose engines have crashed since the last call."""
        crashed = [run for run in self._runs if _has_crashed(run)]
        waiting = [run for run in self._runs if _may_have_crashed(run, now)]
        self._runs.clear()
        self._runs.extend(waiting)
        return crashed


def _is_still_silent(run: SilentRun) -> bool:
    return run.engine.last_byte_at <= run.ended_at


def _has_restarted(run: SilentRun) -> bool:
    return run.engine.incarnation != run.incarnation


def _has_crashed(run: SilentRun) -> bool:
    engine = run.engine
    if _has_restarted(run):
        return True
    return engine.is_gone and not engine.record.is_draining and _is_still_silent(run)


def _may_have_crashed(run: SilentRun, now: float) -> bool:
    is_recent = now - run.ended_at < WATCH_S
    is_over = run.engine.is_gone or _has_restarted(run)
    return is_recent and not is_over and _is_still_silent(run)
