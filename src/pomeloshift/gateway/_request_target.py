"""What a request is for."""

from collections.abc import Callable

import attrs

from ..workspaces import Caller


@attrs.frozen
class RequestTarget:
    """A service for a request, which ``serve`` starts for its caller.

    ``is_anonymous`` is set if the request needs no key; ``priority`` is its route's.
    """

    serve: Callable[[Caller], None]
    is_anonymous: bool = False
    priority: int = 0
