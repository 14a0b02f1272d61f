"""The router's query and its result."""

import attrs

from ..model import Instance, Priority


@attrs.frozen
class RouteQuery:
    """What the router needs to know about a request.

    ``deadline_s`` is the time left in seconds. ``prefix`` is a digest of the start of
    the prompt, empty if there is none. ``excluded`` names the backend servers that
    this request must not be sent to. ``alone`` is set for a suspect, a request that
    may crash its backend server; all entries of a region choose the same server for
    it. ``body_bytes`` estimates the bytes of request and response on the inter-region
    link. ``first_token_s`` is the longest acceptable wait for the first token in
    seconds; with 0 only the deadline counts.
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

    ``crosses_region`` is set if the request crosses the inter-region link.
    """

    instance: Instance
    crosses_region: bool = False
