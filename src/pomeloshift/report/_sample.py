"""The measurements of one ended request that SLOs are evaluated on."""

import attrs

from ..errors import ErrorCode
from ..model import Priority


@attrs.frozen
class RequestSample:
    """The outcome of one request; times are in seconds.

    ``retries`` counts attempts after the first one. ``crossed_region`` is true if
    the response came over the metered inter-region link. ``batch_streams`` is the
    number of batch streams that the request's backend server last reported.
    """

    service: str
    workspace: str
    priority: Priority = Priority.ONLINE
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    error: ErrorCode | None = None
    retries: int = 0
    crossed_region: bool = False
    batch_streams: int = 0
