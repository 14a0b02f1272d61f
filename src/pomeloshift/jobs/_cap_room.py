"""How many tokens a new job may have on a batch route."""

import attrs

from ..dispatch import Route
from ._item_routes import ItemRoutes, queue_name
from ._job_table import JobTable


@attrs.frozen
class CapRoom:
    """What the replayed log says about a queue's cap before a job is appended.

    ``accepted`` holds the tokens of the unfinished items of jobs that were accepted on
    the queue, and ``moved`` those of items that came to it from other queues by a
    change of the routes. Both are of one workspace, or of all jobs if ``workspace`` is
    empty. A ``cap`` of 0 means no cap.

    Handles the submissions of one gateway: an estimate that saves the append of a job
    that cannot fit. The log decides about the others.
    """

    queue: str
    workspace: str
    cap: int
    accepted: int = 0
    moved: int = 0

    @classmethod
    def of(
        cls, table: JobTable, routes: ItemRoutes, route: Route, workspace: str
    ) -> "CapRoom":
        """Returns the room on a route for a workspace's next job."""
        queue, cap = queue_name(route), route.queue_token_cap
        if cap <= 0:
            return cls(queue, workspace, 0)
        accepted = table.accepted_tokens(queue, workspace)
        moved = table.moved_tokens(queue, routes, workspace)
        return cls(queue, workspace, cap, accepted, moved)

    @property
    def waiting(self) -> int:
        """The tokens that count against the cap."""
        return self.accepted + self.moved

    @property
    def record_cap(self) -> int:
        """The cap that the job's record carries, 0 without a cap.

        The log does not know routes, so the items that moved here are taken off. At
        least 1 is left, because 0 would mean no cap.
        """
        return max(1, self.cap - self.moved) if self.cap else 0

    def fits(self, tokens: int) -> bool:
        """Returns whether a job with so many tokens fits."""
        return not self.cap or self.waiting + tokens <= self.cap
