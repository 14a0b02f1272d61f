"""Reads requests and builds responses of the HTTP interfaces."""

from collections.abc import Awaitable, Callable
from functools import wraps
from typing import Any

import msgspec
from loguru import logger
from twisted.internet.defer import CancelledError
from twisted.web.server import Request

from ..errors import ErrorCode, PomeloshiftError, Ran


class InternalError(PomeloshiftError):
    """An unexpected exception ended a request."""

    code = ErrorCode.INTERNAL


class InvalidRequestError(PomeloshiftError):
    """A request is malformed or violates a rule of the interface."""

    code = ErrorCode.INVALID_REQUEST
    ran = Ran.NO


def respond_json(req: Request, body: Any, status: int = 200) -> bytes:
    """Sets status and headers of a JSON response and returns its encoded body."""
    req.setResponseCode(status)
    req.setHeader(b"content-type", b"application/json")
    return msgspec.json.encode(body)


def respond_error(req: Request, error: PomeloshiftError) -> bytes:
    """Sets status and headers of an error response and returns its JSON body."""
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s + 0.499))
        req.setHeader(b"retry-after", str(seconds).encode())
    return respond_json(req, error.report().as_json(), error.http_status)


def read_json(req: Request) -> dict[str, Any]:
    """Returns the body as a JSON object; raises `InvalidRequestError` if it is none."""
    try:
        body = msgspec.json.decode(read_body(req))
    except msgspec.DecodeError as exc:
        raise InvalidRequestError(f"the body is not JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise InvalidRequestError("the body is not a JSON object")
    return body


def read_body(req: Request) -> bytes:
    """Returns the request's complete body, also if it was read before."""
    content: Any = req.content
    content.seek(0)
    return content.read()


Handler = Callable[..., Awaitable[Any]]


def handles_errors(handler: Handler) -> Handler:
    """Makes a Klein handler turn every exception into a JSON error response.

    If the response has already started, the connection is aborted instead, so that
    the response does not look complete.

    @app.route("/v1/models")
    @handles_errors
    async def models(self, req): ...
    """

    @wraps(handler)
    async def wrapper(*args: Any, **kwargs: Any) -> Any:
        req = next(arg for arg in args if isinstance(arg, Request))
        try:
            return await handler(*args, **kwargs)
        except PomeloshiftError as exc:
            return _respond(req, exc)
        except CancelledError:
            # Klein cancels a handler whose caller has closed the connection.
            return b""
        except Exception as exc:
            logger.exception("event=unexpected_error path={}", req.path)
            return _respond(req, InternalError(f"unexpected {type(exc).__name__}"))

    return wrapper


def _respond(req: Request, error: PomeloshiftError) -> bytes:
    if req.startedWriting:
        channel: Any = req.channel
        if channel is not None and channel.transport is not None:
            channel.transport.abortConnection()
        return b""
    return respond_error(req, error)
