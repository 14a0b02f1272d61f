"""A route and what may be done with its requests."""

from enum import Enum

import attrs


class RouteKind(Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@attrs.frozen
class Split:
    """A service and its weight among those of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests for a host and a path prefix, and the services that run them.

    Times are in seconds. ``queue_token_cap`` bounds the tokens of batch items that
    wait; 0 means no bound.
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

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )

    @property
    def services(self) -> frozenset[str]:
        """The services that may run its requests."""
        return frozenset(split.service for split in self.splits)

    def pick_service(self, fraction: float) -> str | None:
        """Returns the service at ``fraction`` (0 to 1) of the summed weights."""
        total = sum(split.weight for split in self.splits)
        if total <= 0:
            return None
        rest = fraction * total
        for split in self.splits:
            rest -= split.weight
            if rest < 0:
                return split.service
        return self.splits[-1].service
