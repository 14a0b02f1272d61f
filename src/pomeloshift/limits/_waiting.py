"""A request in the queue of an entry."""

import attrs


@attrs.frozen(order=True)
class Waiting:
    """A queued request, ordered by its deadline, then by its arrival ``number``.

    ``deadline_at`` is a monotonic time in seconds.
    """

    deadline_at: float
    number: int
    request_id: str = attrs.field(order=False)
    workspace: str = attrs.field(order=False)
    cost: float = attrs.field(order=False)
