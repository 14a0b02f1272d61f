"""The order from an entry to a sidecar to run one attempt of a request."""

import attrs

from ..model import Priority


@attrs.frozen
class AttemptRequest:
    """One attempt of a request at one backend server.

    A sidecar runs an attempt id once: a second request with the same id joins the
    running stream at ``next_sequence``. ``deadline_s`` is the time left in seconds
    when the message was sent. ``path`` is the engine's path and ``body`` its body.
    With ``join_only`` the sidecar never starts the attempt; it answers
    ``attempt_unknown`` with ``ran: no`` and refuses that id from then on.

    ``incarnation`` is the sidecar's when the attempt was first sent, 0 if that is
    not known: a later incarnation cannot tell what an earlier one ran. Of attempts
    with ``alone``, which may crash their backend server, a sidecar runs one at a
    time. ``fingerprint`` identifies equal requests, however often they are sent.
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
