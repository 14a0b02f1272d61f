"""Serves calls from other entries over HTTP."""

import hmac
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from klein import Klein
from loguru import logger
from twisted.web.server import Request

from ...errors import ErrorCode, ErrorReport, PomeloshiftError, Ran
from ...net._http import read_body
from ._calls import Call, Reply, decode_call, encode_call
from ._peer_client import CALL_PATH, KEY_HEADER


class WrongInternalKeyError(PomeloshiftError):
    """A call lacks the internal key that the system's processes share."""

    code = ErrorCode.FORBIDDEN
    ran = Ran.NO


class PeerApi:
    """Serves calls that carry the internal key; rejects all others."""

    app = Klein()

    def __init__(
        self, serve: Callable[[Call], Awaitable[Reply]], internal_key: str
    ) -> None:
        self._serve = serve
        self._key = internal_key.encode()

    @app.route(CALL_PATH, methods=["POST"])
    async def call(self, req: Request) -> bytes:
        """Executes one call and returns its encoded reply or error report."""
        req.setHeader(b"content-type", b"application/msgpack")
        try:
            self._check_key(req)
            return encode_call(await self._serve(decode_call(read_body(req))))
        except PomeloshiftError as exc:
            return _respond_report(req, exc.report(), exc.http_status)
        except Exception as exc:
            logger.exception("event=unexpected_error path={}", req.path)
            report = ErrorReport(ErrorCode.INTERNAL, f"unexpected {type(exc).__name__}")
            return _respond_report(req, report, 500)

    def _check_key(self, req: Request) -> None:
        given = req.requestHeaders.getRawHeaders(KEY_HEADER.encode(), [b""])[0]
        if not hmac.compare_digest(given, self._key):
            raise WrongInternalKeyError("the internal key is wrong")


def _respond_report(req: Any, report: ErrorReport, status: int) -> bytes:
    req.setResponseCode(status)
    return msgspec.msgpack.encode(report)
