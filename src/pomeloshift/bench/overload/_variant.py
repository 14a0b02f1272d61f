"""The variants of overload control that are compared."""

import attrs


@attrs.frozen
class Variant:
    """One variant of overload control.

    ``has_limits`` enables the limiter and the retry budget of the entries.
    ``max_queue`` is the queue length at which a server rejects streams; `None` means no
    bound. Without ``is_fair``, all workspaces share one admission queue.
    """

    name: str
    has_limits: bool
    max_queue: int | None
    is_fair: bool = True


MAX_SERVER_QUEUE = 4

NO_LIMITS = Variant("no limits", False, None)
REFUSALS = Variant("refusals and retries", False, MAX_SERVER_QUEUE)
ONE_QUEUE = Variant("limits, one queue", True, MAX_SERVER_QUEUE, is_fair=False)
OURS = Variant("ours", True, MAX_SERVER_QUEUE)
VARIANTS = (NO_LIMITS, REFUSALS, OURS)
