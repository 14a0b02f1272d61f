"""One request to the administration API."""

from typing import Any

import attrs
from twisted.web.server import Request

from ..net._http import InvalidRequestError
from . import _messages as m
from ._operator import Operator


@attrs.frozen
class AdminCall:
    """One request with its operator, its body and its path arguments."""

    operator: Operator
    body: Any
    arguments: dict[str, str]
    query: dict[str, str]


def target_of(call: AdminCall) -> str:
    """Returns what a change is about, without anything secret."""
    if isinstance(call.body, m.PublishRequest):
        return f"base:{call.body.base_version}"
    if isinstance(call.body, m.IssueRequest):
        if call.body.workspace:
            return f"workspace:{call.body.workspace}"
        return f"operator:{call.body.operator}:{call.body.role}"
    return " ".join(call.arguments.values())


def query_of(req: Request) -> dict[str, str]:
    """Returns the arguments in a request's URL."""
    arguments: dict[bytes, list[bytes]] = req.args or {}
    return {name.decode(): values[-1].decode() for name, values in arguments.items()}


def whole_number(name: str, text: str) -> int:
    """Returns a number of an URL; raises `InvalidRequestError`."""
    if not text.isascii() or not text.isdigit():
        raise InvalidRequestError(f"{name} must be a whole number")
    return int(text)
