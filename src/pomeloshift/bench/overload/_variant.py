"""The ways of dealing with overload that are compared."""

import attrs


@attrs.frozen
class Variant:
    """``limits`` turns the entries' limiter and retry budget on.

    ``max_queue`` is the longest queue of a server, `None` for no bound. Without
    ``fair`` all workspaces share one queue.
    """

    name: str
    limits: bool
    max_queue: int | None
    fair: bool = True


SERVER_QUEUE = 4

NO_LIMITS = Variant("no limits", False, None)
REFUSALS = Variant("refusals and retries", False, SERVER_QUEUE)
ONE_QUEUE = Variant("limits, one queue", True, SERVER_QUEUE, fair=False)
OURS = Variant("ours", True, SERVER_QUEUE)
VARIANTS = (NO_LIMITS, REFUSALS, OURS)
