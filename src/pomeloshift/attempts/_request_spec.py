"""A caller's request in the form in which the entry runs it."""

import attrs


@attrs.frozen
class RequestSpec:
    """A request that passed authentication and limits.

    ``deadline_at`` is in seconds on the entry's monotonic clock and bounds the time
    to the first byte of the response. ``fingerprint`` is the same for equal requests
    of a workspace. With ``alone`` the request runs exclusively, as a suspect.
    """

    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    body: bytes
    deadline_at: float
    prompt_tokens: int = 1
    max_tokens: int = 1
    idempotent: bool = True
    stream: bool = False
    content_type: str = "application/json"
    headers: dict[str, str] = attrs.field(factory=dict)
    fingerprint: str = ""
    alone: bool = False
    config_version: int = 0
