"""The message with which an entry asks a sidecar to run an attempt of a request."""

import attrs

from ..model import Priority


@attrs.frozen
class AttemptRequest:
    """One attempt of a request at one backend server.

    A sidecar runs an attempt id once: a second request with the same id joins the
    running stream at the frame ``next_sequence``. ``deadline_s`` is the time left in
    seconds when the message was sent. ``method``, ``path`` and ``body`` are those of
    the HTTP request to the engine. With ``join_only`` the sidecar never starts the
    attempt. If it can prove that the attempt did not run, it responds
    ``attempt_unknown`` with ``ran: no`` and refuses that id from then on.

    ``incarnation`` is the sidecar's incarnation when the attempt was first sent, 0 if
    unknown. A later incarnation does not know what an earlier one ran. ``alone``
    marks a suspect, a request that may crash its backend server; a sidecar runs at
    most one suspect at a time. ``fingerprint`` is the same for equal requests of a
    workspace.
    """

    attempt_id: str
    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    body: bytes
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    idempotent: bool = True
    stream: bool = True
    priority: Priority = Priority.ONLINE
    next_sequence: int = 0
    join_only: bool = False
    content_type: str = "application/json"
    headers: dict[str, str] = attrs.field(factory=dict)
    config_version: int = 0
    incarnation: int = 0
    alone: bool = False
    fingerprint: str = ""
