"""Follows the runs whose events show that their prompts do not crash engines."""

import attrs

from ._crash_circumstances import CrashCircumstances
from ._crash_keys import CrashKeys
from ._engine import Engine


@attrs.define(eq=False)
class WatchedRun:
    """One run of a request at an engine; times are monotonic seconds.

    ``incarnation`` is that of the engine when the run began, and ``crash`` the name
    that its crash has. ``is_trial`` is set for the trial of a quarantined part. It has
    an outcome once its engine has crashed or the run has shown that its parts are
    harmless.
    """

    keys: CrashKeys
    engine: Engine
    incarnation: int
    crash: str
    request_id: str
    is_trial: bool = False
    has_outcome: bool = False
    first_event_at: float | None = None
    last_event_at: float = 0.0

    def note_event(self, now: float) -> None:
        """Records that the engine has sent an event that its caller can use."""
        if self.first_event_at is None:
            self.first_event_at = now
        self.last_event_at = now

    @property
    def age_s(self) -> float:
        """The time from the first to the last event."""
        if self.first_event_at is None:
            return 0.0
        return self.last_event_at - self.first_event_at

    @property
    def circumstances(self) -> CrashCircumstances:
        """What a crash of the engine would say about the run's parts."""
        return CrashCircumstances(self.age_s, self.is_trial)


@attrs.define
class WatchedRuns:
    """The runs at engines, as many as this entry has in flight."""

    _runs: set[WatchedRun] = attrs.field(factory=set)

    def add(self, run: WatchedRun) -> None:
        """Follows a run until `remove`."""
        self._runs.add(run)

    def remove(self, run: WatchedRun) -> None:
        """Ends `add`; a run that is not followed is ignored."""
        self._runs.discard(run)

    def advanced_since(self, since: float) -> list[WatchedRun]:
        """Returns the runs that have sent an event after ``since``."""
        return [run for run in self._runs if run.last_event_at > since]
