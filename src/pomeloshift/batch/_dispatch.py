"""The order in which jobs get the room that sidecars offer."""

from collections.abc import Mapping, Sequence

from ._job_state import JobState


class DispatchOrder:
    """Shares room by deadline and by fairness among workspaces, turn by turn.

    Every other item goes to the job due soonest, whoever owns it. The rest goes to
    the workspace that has had the fewest tokens for its share, and there to the job
    due soonest. So a job due soon never waits for a huge one, and a workspace that
    asks for short windows takes no more than half of what others have.
    """

    def __init__(self) -> None:
        self._served: dict[str, float] = {}
        self._floor = 0.0
        self._is_fair_turn = False

    def choose(self, jobs: Sequence[JobState]) -> JobState | None:
        """Returns the job whose item goes next; `served` tells that it went."""
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
        """Notes that an item of the job was handed out."""
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
