"""The summary of an online request after its end."""

import attrs

from ...errors import ErrorCode


@attrs.frozen
class FinishedRequest:
    """The record of one online request for metrics and SLO accounting.

    Times are in seconds. ``first_token_s`` is `None` if nothing was delivered.
    ``error`` is `None` if the response is complete or the caller disconnected before
    its end; ``caller_gone`` is set in the latter case. The last of the ``attempts``
    ran at ``backend_server`` in ``region``, both empty if there was none. ``stream``
    is set if the caller asked for a streamed response.
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
