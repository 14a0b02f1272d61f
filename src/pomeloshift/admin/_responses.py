"""Request bodies and error responses of the administration API."""

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
    """Returns the JSON form of an error.

    It includes the version in force for a conflict, and the faults for an invalid
    questionnaire.
    """
    body = error.report().as_json()
    if isinstance(error, ConfigConflictError):
        body["error"]["current_version"] = error.current_version
    if isinstance(error, SettingsError):
        body["error"]["faults"] = [msgspec.to_builtins(f) for f in error.faults]
    return body


def respond_error(req: Request, error: PomeloshiftError) -> bytes:
    """Sets the status and headers for an error and returns the response body."""
    if error.retry_after_s is not None:
        req.setHeader(b"retry-after", str(max(1, round(error.retry_after_s))).encode())
    return respond_json(req, error_body(error), error.http_status)


def with_error_responses(handler: Handler) -> Handler:
    """Wraps a handler so that every exception becomes an error response."""

    @wraps(handler)
    async def wrapper(req: Request, **arguments: str) -> Any:
        try:
            return await handler(req, **arguments)
        except PomeloshiftError as exc:
            return respond_error(req, exc)
        except Exception as exc:
            logger.exception("event=unexpected_error path={}", req.path)
            error = InternalError(f"unexpected {type(exc).__name__}")
            return respond_error(req, error)

    return wrapper


def read_message(req: Request, cls: type) -> Any:
    """Returns the decoded request body; raises `InvalidRequestError`."""
    try:
        return msgspec.json.decode(read_body(req), type=cls)
    except (msgspec.DecodeError, ValueError) as exc:
        raise InvalidRequestError(f"the request body is invalid: {exc}") from exc
