"""A workspace: a team that shares keys and a rate limit."""

import attrs


@attrs.frozen
class Workspace:
    """Callers that share keys, a priority and a rate limit.

    ``priority`` takes precedence over that of a route, 0 being the highest; it is None
    if the workspace has none. ``rate_per_s`` and ``burst`` limit its requests over all
    gateways together; a rate of 0 means no limit. The keys are secrets: they are not
    part of the representation and must not be logged.
    """

    name: str
    keys: frozenset[str] = attrs.field(default=frozenset(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
