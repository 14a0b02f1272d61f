"""A request in the queue of an entry."""

import attrs


@attrs.frozen(order=True)
class Waiting:
    """Ordered by its deadline, then by its arrival."""

    deadline_at: float
    number: int
    request_id: str = attrs.field(order=False)
    workspace: str = attrs.field(order=False)
    cost: float = attrs.field(order=False)
