"""A route: which requests it matches and how they may be run."""

from enum import Enum

import attrs


class RouteKind(Enum):
    """The kind of a route's requests, which decides whether a retry is safe."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@attrs.frozen
class Split:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests for a host and a path prefix, and the services that run them.

    Times are in seconds. ``objective_s`` is the latency objective: the time from a
    request's arrival to its first event. ``max_attempts`` bounds the engines on which
    a repeatable request may run. ``queue_token_cap`` bounds the tokens of waiting
    batch items; 0 means no bound. Requests to an ``is_anonymous`` route need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float
    objective_s: float
    priority: int = 0
    max_attempts: int = 1
    is_resumable: bool = False
    event_gap_s: float = 0.0
    job_deadline_s: float = 0.0
    item_retention_s: float = 0.0
    queue_token_cap: int = 0
    is_anonymous: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request is safe to run more than once.

        That holds for idempotent requests and for streams that can be resumed.
        """
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )

    @property
    def services(self) -> frozenset[str]:
        """The names of the services that may run the route's requests."""
        return frozenset(split.service for split in self.splits)

    def pick_service(self, fraction: float) -> str | None:
        """Returns the service at ``fraction`` (0 to 1) of the summed weights.

        Returns None if no service has a weight above 0.
        """
        total = sum(split.weight for split in self.splits)
        if total <= 0:
            return None
        rest = fraction * total
        for split in self.splits:
            rest -= split.weight
            if rest < 0:
                return split.service
        return self.splits[-1].service
