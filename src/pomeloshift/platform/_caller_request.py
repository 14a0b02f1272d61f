"""Parses the requests of callers."""

from urllib.parse import parse_qs, urlsplit

import attrs

from ..http1 import Headers, RequestHead
from ._address import is_count
from ._names import (
    AUTHORIZATION,
    DEADLINE_MS,
    ITEM_PATH,
    JOB_PATH,
    LAST_EVENT_ID,
    PROMPT_PARTS,
    REQUEST_ID,
    RESUMES,
    TOKEN_COUNT,
    WAIT_MS,
)
from ._prompt_parts import shared_parts

# No caller waits for longer.
MAX_WAIT_S = 86_400
BEARER = "bearer "


@attrs.frozen
class CallerRequest:
    """A caller's request.

    ``deadline_s`` is how many seconds the caller waits for the response, `None` if the
    request states no deadline. ``wait_s`` is how long a read of results may wait for
    new ones. ``parts`` holds the ids of the parts of its prompt that other requests may
    share, the first one first. ``resumes`` is set if the caller takes up a stream: the
    id of the request that brought the first event, empty if it names none.
    ``last_event_id`` is the id of the last event that it has received of that stream,
    `None` if it names none. ``api_key`` is the key that it carries, `None` without one;
    it must not be logged. ``tokens`` is the sum of the tokens of its prompt and of its
    longest output, `None` if it is not stated.
    """

    id: str
    method: str
    host: str
    path: str
    query: str
    deadline_s: float | None
    wait_s: float
    parts: tuple[str, ...] = ()
    resumes: str | None = None
    last_event_id: int | None = None
    api_key: str | None = attrs.field(default=None, repr=False)
    tokens: int | None = None


@attrs.frozen
class JobRead:
    """A call that reads a job's results, starting at a position."""

    job_id: str
    position: int


@attrs.frozen
class JobEnd:
    """A call that ends a job."""

    job_id: str


@attrs.frozen
class ItemRead:
    """A call that reads the body of a job's item."""

    job_id: str
    item_id: str


BatchCall = JobRead | JobEnd | ItemRead


def read_caller_request(head: RequestHead) -> CallerRequest:
    """Returns the fields of a request head that determine how it is handled."""
    path, query = _split_target(head.target.decode("latin-1"))
    headers = head.headers
    deadline_s = _seconds(headers.integer(DEADLINE_MS))
    wait_s = _seconds(headers.integer(WAIT_MS))
    return CallerRequest(
        id=headers.text(REQUEST_ID),
        method=head.method.decode("latin-1"),
        host=headers.text(b"host"),
        path=path,
        query=query,
        deadline_s=deadline_s,
        wait_s=wait_s or 0.0,
        parts=shared_parts(headers.text(PROMPT_PARTS)),
        resumes=headers.text(RESUMES) if _is_resume(headers) else None,
        last_event_id=_last_event_id(headers),
        api_key=_api_key(headers),
        tokens=_tokens(headers),
    )


def request_id_of(head: RequestHead) -> str:
    """Returns the id that a request states, empty if it states none."""
    return head.headers.text(REQUEST_ID)


def _split_target(target: str) -> tuple[str, str]:
    """Returns the path and the query of a request target."""
    try:
        url = urlsplit(target)
    except ValueError:
        # Not a URL, so no route has this path.
        return target, ""
    return url.path, url.query


def _seconds(milliseconds: int | None) -> float | None:
    """Returns a time that a caller states, from 0 to `MAX_WAIT_S`."""
    if milliseconds is None:
        return None
    return min(max(0, milliseconds), MAX_WAIT_S * 1000) / 1000


def _last_event_id(headers: Headers) -> int | None:
    number = headers.integer(LAST_EVENT_ID)
    return number if number is not None and number >= 0 else None


def _api_key(headers: Headers) -> str | None:
    value = headers.text(AUTHORIZATION)
    if value[: len(BEARER)].lower() != BEARER:
        return None
    return value[len(BEARER) :].strip()


def _tokens(headers: Headers) -> int | None:
    counts = [part.strip() for part in headers.text(TOKEN_COUNT).split(",")]
    if len(counts) != 2 or not all(map(is_count, counts)):
        return None
    return sum(map(int, counts))


def _is_resume(headers: Headers) -> bool:
    names = (LAST_EVENT_ID, RESUMES)
    return any(headers.get(name) is not None for name in names)


def read_batch_call(req: CallerRequest) -> BatchCall | None:
    """Returns the batch call in a request, or `None` if it is none."""
    if req.path.startswith(JOB_PATH):
        job_id = req.path.removeprefix(JOB_PATH)
        if req.method == "DELETE":
            return JobEnd(job_id)
        if req.method == "GET":
            after = parse_qs(req.query).get("after", ["0"])[0]
            return JobRead(job_id, int(after) if is_count(after) else 0)
    if req.path.startswith(ITEM_PATH) and req.method == "GET":
        item_id = parse_qs(req.query).get("id", [""])[0]
        return ItemRead(req.path.removeprefix(ITEM_PATH), item_id)
    return None
