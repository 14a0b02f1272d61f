"""Builds the request to a sidecar to run or join an attempt."""

from ..wire import AttemptRequest
from ._request_spec import RequestSpec


def make_request(
    spec: RequestSpec,
    attempt_id: str,
    incarnation: int,
    *,
    deadline_s: float,
    next_sequence: int,
    join_only: bool,
    alone: bool,
) -> AttemptRequest:
    """Returns the message to the sidecar.

    With ``join_only`` the sidecar does not start the attempt, so the message has no
    body.
    """
    return AttemptRequest(
        attempt_id=attempt_id,
        request_id=spec.request_id,
        workspace=spec.workspace,
        service=spec.service,
        method=spec.method,
        path=spec.path,
        body=b"" if join_only else spec.body,
        prompt_tokens=spec.prompt_tokens,
        max_tokens=spec.max_tokens,
        deadline_s=max(0.0, deadline_s),
        idempotent=spec.idempotent,
        stream=spec.stream,
        next_sequence=next_sequence,
        join_only=join_only,
        content_type=spec.content_type,
        headers=spec.headers,
        config_version=spec.config_version,
        incarnation=incarnation,
        alone=alone,
        fingerprint=spec.fingerprint,
    )
