"""Finds the routes on which the items of accepted jobs run."""

from itertools import pairwise

import attrs

from ..dispatch import ConfigHolder, Route, RouteKind, ServingConfig
from ._job import Job


def queue_name(route: Route) -> str:
    """Returns the name of the queue that a route's jobs wait in."""
    return f"{route.host}{route.path_prefix}"


@attrs.frozen
class _BatchRoutes:
    """The batch routes of one configuration.

    ``by_queue`` maps the name of each queue to its route. ``undivided`` holds those of
    them within whose paths no other batch route lies.
    """

    config: ServingConfig | None
    by_queue: dict[str, Route]
    undivided: dict[str, Route]

    @classmethod
    def of(cls, config: ServingConfig | None) -> "_BatchRoutes":
        routes = config.routes if config is not None else ()
        by_queue = {
            queue_name(route): route
            for route in routes
            if route.kind is RouteKind.BATCH
        }
        # Sorted, the queues within a queue's paths follow it directly.
        names = sorted(by_queue)
        undivided = {
            name: by_queue[name]
            for name, following in pairwise([*names, ""])
            if not following.startswith(name)
        }
        return cls(config, by_queue, undivided)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the host's batch route with the longest prefix of ``path``."""
        if self.config is None:
            return None
        for route in self.config.routes_of(host):
            if route.kind is RouteKind.BATCH and path.startswith(route.path_prefix):
                return route
        return None


@attrs.define
class ItemRoutes:
    """The routes of accepted items under the configuration in force.

    Operators split, move and remove routes while items wait. So an item is not bound to
    the route that accepted its job: like an online request, it runs on the route that
    its path selects when it starts. An item whose path lies outside its job's route
    runs on the route that the job's path selects.
    """

    config: ConfigHolder
    _cached: _BatchRoutes = attrs.field(
        factory=lambda: _BatchRoutes.of(None), init=False
    )

    def by_queue(self) -> dict[str, Route]:
        """Returns the batch routes by the names of their queues."""
        return self._routes().by_queue

    def queue_of(self, job: Job, index: int) -> str | None:
        """Returns the name of the queue that an item waits in, None without a route."""
        if job.queue in self._routes().undivided:
            return job.queue
        route = self._select(job, index)
        return queue_name(route) if route is not None else None

    def of(self, job: Job, index: int) -> Route | None:
        """Returns the route of an item, or None if no batch route selects it."""
        return self.of_job(job) or self._select(job, index)

    def of_job(self, job: Job) -> Route | None:
        """Returns the route of all items of a job, None if they may differ."""
        return self._routes().undivided.get(job.queue)

    def waiting_tokens(self, job: Job, queue: str) -> int:
        """Returns the tokens of a job's unfinished items that wait in a queue."""
        if job.queue in self._routes().undivided:
            return job.waiting_tokens if job.queue == queue else 0
        if not job.host or not queue.startswith(job.host):
            return 0
        return sum(
            job.items[index].tokens
            for index in job.pending
            if self.queue_of(job, index) == queue
        )

    def _select(self, job: Job, index: int) -> Route | None:
        routes = self._routes()
        path = job.items[index].path
        is_within = path.startswith(job.queue.removeprefix(job.host))
        return routes.match(job.host, path if is_within else job.path)

    def _routes(self) -> _BatchRoutes:
        if self._cached.config is not self.config.current:
            self._cached = _BatchRoutes.of(self.config.current)
        return self._cached
