"""What is known of a request when it has ended."""

import attrs

from ...errors import ErrorCode


@attrs.frozen
class FinishedRequest:
    """One line of the account of online requests; times are in seconds.

    ``first_token_s`` is `None` if nothing was delivered, and ``error`` is `None` for
    a whole answer. ``caller_gone`` is set where the caller did not wait for it.
    ``attempts`` counts the orders to backend servers, the last of which went to
    ``backend_server`` in ``region``. ``stream`` tells whether tokens were passed on
    as they came.
    """

    request_id: str
    workspace: str
    service: str
    duration_s: float
    first_token_s: float | None = None
    tokens: int = 0
    error: ErrorCode | None = None
    caller_gone: bool = False
    attempts: int = 0
    backend_server: str = ""
    region: str = ""
    stream: bool = True
