"""Builds the order for an attempt."""

from ..wire import AttemptRequest
from ._online_order import OnlineOrder


def make_request(
    order: OnlineOrder,
    attempt_id: str,
    incarnation: int,
    *,
    deadline_s: float,
    next_sequence: int,
    join_only: bool,
    alone: bool,
) -> AttemptRequest:
    """Returns the message to a sidecar; without the body if it only asks."""
    return AttemptRequest(
        attempt_id=attempt_id,
        request_id=order.request_id,
        workspace=order.workspace,
        service=order.service,
        method=order.method,
        path=order.path,
        body=b"" if join_only else order.body,
        prompt_tokens=order.prompt_tokens,
        max_tokens=order.max_tokens,
        deadline_s=max(0.0, deadline_s),
        idempotent=order.idempotent,
        stream=order.stream,
        next_sequence=next_sequence,
        join_only=join_only,
        content_type=order.content_type,
        headers=order.headers,
        config_version=order.config_version,
        incarnation=incarnation,
        alone=alone,
        fingerprint=order.fingerprint,
    )
