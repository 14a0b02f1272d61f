"""One request to the administration API."""

from typing import Any

import attrs
from twisted.web.server import Request

from ..net._http import InvalidRequestError
from . import _messages as m
from ._operator import Operator


@attrs.frozen
class AdminCall:
    """One request: operator, decoded body, path and query arguments."""

    operator: Operator
    body: Any
    arguments: dict[str, str]
    query: dict[str, str]


def target_of(call: AdminCall) -> str:
    """Returns the target of a change for audit entries, without secrets."""
    if isinstance(call.body, m.PublishRequest):
        return f"base:{call.body.base_version}"
    if isinstance(call.body, m.IssueRequest):
        if call.body.workspace:
            return f"workspace:{call.body.workspace}"
        return f"operator:{call.body.operator}:{call.body.role}"
    return " ".join(call.arguments.values())


def query_of(req: Request) -> dict[str, str]:
    """Returns the query arguments; of a repeated argument the last one."""
    arguments: dict[bytes, list[bytes]] = req.args or {}
    return {name.decode(): values[-1].decode() for name, values in arguments.items()}


def parse_whole_number(name: str, text: str) -> int:
    """Returns the number in the URL argument ``name``.

    Raises `InvalidRequestError` for anything but ASCII digits.
    """
    if not text.isascii() or not text.isdigit():
        raise InvalidRequestError(f"{name} must be a whole number")
    return int(text)
