"""Answers of the administration API to failures."""

from collections.abc import Awaitable, Callable
from functools import wraps
from typing import Any

import msgspec
from loguru import logger
from twisted.web.server import Request

from ..config import ConfigConflictError
from ..errors import PomeloshiftError
from ..net._http import InternalError, InvalidRequestError, read_body, respond_json
from ..settings import SettingsError

Handler = Callable[..., Awaitable[Any]]


def error_body(error: PomeloshiftError) -> dict[str, Any]:
    """Returns the JSON form of a failure with what helps an operator to mend it."""
    body = error.report().as_json()
    if isinstance(error, ConfigConflictError):
        body["error"]["current_version"] = error.current_version
    if isinstance(error, SettingsError):
        body["error"]["faults"] = [msgspec.to_builtins(f) for f in error.faults]
    return body


def respond_failure(req: Request, error: PomeloshiftError) -> bytes:
    """Sets status and headers for a failure and returns its body."""
    if error.retry_after_s is not None:
        req.setHeader(b"retry-after", str(max(1, round(error.retry_after_s))).encode())
    return respond_json(req, error_body(error), error.http_status)


def answers_failures(handler: Handler) -> Handler:
    """Makes a handler answer every exception with the JSON form of errors."""

    @wraps(handler)
    async def wrapper(req: Request, **arguments: str) -> Any:
        try:
            return await handler(req, **arguments)
        except PomeloshiftError as exc:
            return respond_failure(req, exc)
        except Exception as exc:
            logger.exception("event=unexpected_error path={}", req.path)
            error = InternalError(f"unexpected {type(exc).__name__}")
            return respond_failure(req, error)

    return wrapper


def read_message(req: Request, cls: type) -> Any:
    """Returns the request's body as ``cls``; raises `InvalidRequestError`."""
    try:
        return msgspec.json.decode(read_body(req), type=cls)
    except (msgspec.DecodeError, ValueError) as exc:
        raise InvalidRequestError(f"the body is refused: {exc}") from exc
