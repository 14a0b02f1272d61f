"""Serves the log stand-in over HTTP."""

from random import Random
from typing import Any

import cattrs
import msgspec
from klein import Klein
from twisted.internet.task import deferLater
from twisted.web.server import Request

from ...log import LogExpiredError
from ...net import Clock
from ...net._http import (
    InvalidRequestError,
    handles_errors,
    read_body,
    read_json,
    respond_json,
)
from ._faults import LogFaults
from ._model import LogModel
from ._settings import LogSettings

DEFAULT_PAGE_RECORDS = 1000

_converter = cattrs.Converter(forbid_extra_keys=True)
_payloads = msgspec.msgpack.Decoder(list[bytes])


class LogServer:
    """The HTTP interface of the log service.

    - ``POST /v1/streams/{stream}/records``: a MessagePack array of payloads; the
      response is ``{"first_offset": n}``.
    - ``GET /v1/streams/{stream}/records?offset=&limit=``: the response is a
      MessagePack `pomeloshift.log.LogPage`.
    - ``GET`` and ``PUT /faults``: the JSON form of `LogFaults`; fields that are
      left out keep their value.
    - ``GET /stats``: counts of appends, refusals and lost responses.

    While the service is down every operation gets 503 and is not applied. To lose a
    response the service applies the append and aborts the connection.
    """

    app = Klein()

    def __init__(
        self, settings: LogSettings, reactor: Any, clock: Clock, rng: Random
    ) -> None:
        self.model = LogModel(settings, rng)
        self._reactor = reactor
        self._clock = clock

    @property
    def resource(self) -> Any:
        """The web resource to pass to `pomeloshift.net._serve.serve`."""
        return self.app.resource()

    @app.route("/v1/streams/<stream>/records", methods=["POST"])
    @handles_errors
    async def append(self, req: Request, stream: str) -> bytes:
        """Appends the payloads in the body and returns the first one's offset."""
        payloads = _read_payloads(req)
        result = self.model.append(stream, payloads, self._clock.monotonic())
        await self._delay()
        if result.is_lost:
            _abort_connection(req)
            return b""
        return respond_json(req, {"first_offset": result.first_offset})

    @app.route("/v1/streams/<stream>/records", methods=["GET"])
    @handles_errors
    async def read(self, req: Request, stream: str) -> bytes:
        """Returns a page of a stream, 1000 records at most by default."""
        offset = _int_arg(req, b"offset", 0)
        limit = _int_arg(req, b"limit", DEFAULT_PAGE_RECORDS)
        try:
            page = self.model.read(stream, offset, limit, self._clock.monotonic())
        except LogExpiredError as exc:
            return _respond_expired(req, exc)
        await self._delay()
        req.setHeader(b"content-type", b"application/msgpack")
        return msgspec.msgpack.encode(page)

    @app.route("/faults", methods=["GET"])
    @handles_errors
    async def faults(self, req: Request) -> bytes:
        """Returns the faults that are injected."""
        return respond_json(req, self.model.faults)

    @app.route("/faults", methods=["PUT"])
    @handles_errors
    async def set_faults(self, req: Request) -> bytes:
        """Changes the faults in the body and returns all faults."""
        fields = cattrs.unstructure(self.model.faults) | read_json(req)
        try:
            self.model.faults = _converter.structure(fields, LogFaults)
        except Exception as exc:
            raise InvalidRequestError(f"invalid faults: {exc!r}") from exc
        return respond_json(req, self.model.faults)

    @app.route("/stats", methods=["GET"])
    @handles_errors
    async def stats(self, req: Request) -> bytes:
        """Returns the counts of operations since the start."""
        model = self.model
        counts = {
            "appends": model.appends,
            "refused": model.refused,
            "lost_answers": model.lost_answers,
        }
        return respond_json(req, counts)

    async def _delay(self) -> None:
        delay_s = self.model.faults.delay_s
        if delay_s > 0:
            await deferLater(self._reactor, delay_s)


def _read_payloads(req: Request) -> list[bytes]:
    try:
        payloads = _payloads.decode(read_body(req))
    except msgspec.DecodeError as exc:
        raise InvalidRequestError(f"the payloads cannot be read: {exc}") from exc
    if not payloads:
        raise InvalidRequestError("an append needs at least one payload")
    return payloads


def _int_arg(req: Request, name: bytes, default: int) -> int:
    args: Any = req.args
    values = args.get(name)
    if not values:
        return default
    try:
        value = int(values[0])
    except ValueError as exc:
        raise InvalidRequestError(f"{name.decode()} is not an integer") from exc
    if value < 0:
        raise InvalidRequestError(f"{name.decode()} is negative")
    return value


def _respond_expired(req: Request, exc: LogExpiredError) -> bytes:
    body = exc.report().as_json()
    body["error"]["first_offset"] = exc.first_offset
    return respond_json(req, body, exc.http_status)


def _abort_connection(req: Request) -> None:
    channel: Any = req.channel
    if channel is not None and channel.transport is not None:
        channel.transport.abortConnection()
