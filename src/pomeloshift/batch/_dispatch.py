"""The order in which jobs get the capacity that sidecars offer."""

from collections.abc import Mapping, Sequence

from ._job_state import JobState


class DispatchOrder:
    """Alternates between the earliest deadline and fairness among workspaces.

    Every other item goes to the job with the earliest deadline in any workspace. The
    others go to the workspace that was served the fewest tokens relative to its share,
    and there to the job with the earliest deadline. A job that is due soon therefore
    never waits for a huge one, and a workspace cannot take more than half of the
    capacity from the others by asking for short windows.
    """

    def __init__(self) -> None:
        self._served: dict[str, float] = {}
        self._floor = 0.0
        self._is_fair_turn = False

    def choose(self, jobs: Sequence[JobState]) -> JobState | None:
        """Returns the job whose item is next; call `served` once it was leased."""
        if not jobs:
            return None
        if not self._is_fair_turn:
            return min(jobs, key=_by_deadline)
        workspace = min(
            {job.workspace for job in jobs}, key=lambda name: (self._start(name), name)
        )
        return min(
            (job for job in jobs if job.workspace == workspace), key=_by_deadline
        )

    def served(self, job: JobState, tokens: int, shares: Mapping[str, float]) -> None:
        """Records that an item of the job was leased."""
        start = self._start(job.workspace)
        if self._is_fair_turn:
            self._floor = max(self._floor, start)
        cost = max(1, tokens) / shares.get(job.workspace, 1.0)
        self._served[job.workspace] = start + cost
        self._is_fair_turn = not self._is_fair_turn

    def _start(self, workspace: str) -> float:
        return max(self._served.get(workspace, 0.0), self._floor)


def _by_deadline(job: JobState) -> tuple[float, float, str]:
    return (job.deadline_at, job.created_at, job.job_id)
