"""The calls between callers and entries of an overload bench."""

from collections.abc import Callable

import attrs

from ...errors import ErrorReport


@attrs.frozen
class Call:
    """One send of a request; a retry is another call.

    ``deadline_at`` is in seconds of virtual time.
    """

    request_id: str
    workspace: str
    output_tokens: int
    deadline_at: float


@attrs.define(eq=False)
class CallCallbacks:
    """Callbacks that report a call's progress; each is called at most once."""

    on_first_token: Callable[[], None]
    on_complete: Callable[[], None]
    on_error: Callable[[ErrorReport], None]
