"""One request that ended, as the account of objectives sees it."""

import attrs

from ..errors import ErrorCode
from ..model import Priority


@attrs.frozen
class RequestSample:
    """The outcome of one request; times are in seconds.

    ``retries`` counts attempts after the first one, ``crossed_region`` is set where
    the answer came over the paid link, and ``batch_streams`` is the number of batch
    streams that its backend server last reported.
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
