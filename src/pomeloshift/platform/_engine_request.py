"""Headers of requests to engines and of their responses."""

from ..http1 import HeaderList, Headers, RequestHead, ResponseHead
from ._names import (
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECT_ENGINE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    RESPONSE_STAMP,
    WORKSPACE,
)

REPLACED = frozenset({DEADLINE_MS, EXPECT_ENGINE})
# Callers' keys stay here, and only the gateway names a workspace to an engine.
OF_WORKSPACE = frozenset({AUTHORIZATION, WORKSPACE})
REPORT_TARGET = b"/api/report"


def to_engine(
    head: RequestHead,
    engine_id: str,
    deadline_s: float,
    last_event_id: int | None = None,
    workspace: str | None = None,
) -> RequestHead:
    """Returns a caller's request as it is sent to an engine.

    ``deadline_s`` is the time left until the caller's deadline. ``last_event_id`` is
    given if the engine resumes a stream that another engine began. ``workspace`` is the
    name of the caller's workspace, empty for an anonymous caller, None where callers
    have no workspaces and all their headers are passed on.
    """
    replaced = REPLACED | ({LAST_EVENT_ID} if last_event_id is not None else set())
    if workspace is not None:
        replaced |= OF_WORKSPACE
    fields = [
        (key, value)
        for key, value in head.headers.end_to_end()
        if key.lower() not in replaced
    ]
    remaining_ms = max(1, int(deadline_s * 1000))
    fields.append((b"X-Deadline-Ms", str(remaining_ms).encode()))
    fields += _target_fields(engine_id, last_event_id)
    fields += _workspace_fields(workspace)
    return RequestHead(head.method, head.target, Headers(fields))


def item_request(
    host: str,
    path: str,
    item_id: str,
    headers: tuple[tuple[str, str], ...],
    engine_id: str,
    last_event_id: int | None,
    workspace: str | None = None,
) -> RequestHead:
    """Returns the request to run a job's item on an engine.

    ``last_event_id`` is given if the engine resumes an earlier run. ``workspace`` is as
    for `to_engine`.
    """
    replaced = {REQUEST_ID, b"host", LAST_EVENT_ID}
    if workspace is not None:
        replaced |= OF_WORKSPACE
    fields = [(b"Host", host.encode()), (b"X-Request-Id", item_id.encode())]
    own = Headers([(name.encode(), value.encode()) for name, value in headers])
    fields += [
        (name, value)
        for name, value in own.end_to_end()
        if name.lower() not in replaced
    ]
    fields += _target_fields(engine_id, last_event_id)
    fields += _workspace_fields(workspace)
    return RequestHead(b"POST", path.encode(), Headers(fields))


def without_caller_fields(
    headers: tuple[tuple[str, str], ...],
) -> list[tuple[str, str]]:
    """Returns an item's headers without a key and without the name of a workspace."""
    return [(k, v) for k, v in headers if k.lower().encode() not in OF_WORKSPACE]


def _target_fields(engine_id: str, last_event_id: int | None) -> HeaderList:
    """Returns the fields that name the engine and the event after which it resumes."""
    fields = [(b"X-Expect-Instance", engine_id.encode())]
    if last_event_id is not None:
        fields.append((b"Last-Event-Id", str(last_event_id).encode()))
    return fields


def _workspace_fields(workspace: str | None) -> HeaderList:
    return [(b"X-Tenant", workspace.encode())] if workspace else []


def report_request(address: str) -> RequestHead:
    """Returns the request for an engine's report."""
    return RequestHead(b"GET", REPORT_TARGET, Headers([(b"Host", address.encode())]))


def is_stamped(head: ResponseHead) -> bool:
    """Returns whether a response has an engine's stamp and an unencoded body."""
    headers = head.headers
    return (
        headers.get(RESPONSE_STAMP) is not None
        and headers.get(b"content-encoding") is None
    )


def proves_not_run(head: ResponseHead) -> bool:
    """Returns whether a response states that the engine did not run the request."""
    return head.status == 421 or head.headers.get(NOT_EXECUTED) is not None
