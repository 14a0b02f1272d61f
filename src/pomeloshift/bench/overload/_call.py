"""A caller's request in an overload bench."""

from collections.abc import Callable

import attrs

from ...errors import ErrorReport


@attrs.frozen
class Call:
    """One sending of a request; a caller may send it several times."""

    request_id: str
    workspace: str
    output_tokens: int
    deadline_at: float


@attrs.define(eq=False)
class CallWatch:
    """What the caller is told; each is called at most once."""

    on_first_token: Callable[[], None]
    on_complete: Callable[[], None]
    on_error: Callable[[ErrorReport], None]
