"""The question to the router and its answer."""

import attrs

from ..model import Instance, Priority


@attrs.frozen
class RouteQuery:
    """What the router needs to know of a request.

    ``prefix`` is a digest of the prompt's beginning, empty if there is none.
    ``excluded`` names backend servers that this request must not go to.
    With ``alone`` all entries of a region choose alike. ``body_bytes`` estimates
    what the request and its answer put on the link.
    ``first_token_s`` is the longest acceptable wait for the first token in seconds;
    0 leaves only the deadline.
    """

    service: str
    priority: Priority
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    prefix: str = ""
    body_bytes: int = 0
    excluded: frozenset[str] = frozenset()
    alone: bool = False
    first_token_s: float = 0.0


@attrs.frozen
class RouteChoice:
    """The chosen backend server.

    ``crosses_region`` is set where the request crosses the inter-region link.
    """

    instance: Instance
    crosses_region: bool = False
