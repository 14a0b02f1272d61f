"""The client of the platform's store."""

import base64
import struct
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import attrs
import msgspec

from ..errors import PomeloshiftError
from ..http1 import (
    CallTimeoutError,
    Client,
    ConnectError,
    ConnectionBrokenError,
    Headers,
    RequestHead,
    Response,
)
from ..limits import TokenBucket
from ._configuration import decode_json
from ._errors import (
    UNREADABLE,
    HistoryLostError,
    MalformedError,
    SequenceError,
    StoreFullError,
    StoreNoResponseError,
    StoreRejectedError,
    StoreUnreachableError,
)
from ._names import CONFIG_TOPIC
from ._settings import StoreSettings

# Time after which a response counts as lost. The store responds within some
# milliseconds; a second allows for calls across regions and for a store that is some
# tens of times slower.
CALL_TIMEOUT_S = 1.0
# Fraction of the store's rates that one process uses: an equal share for each of twenty
# processes, with bursts of half a second's worth.
RATE_SHARE = 0.05
BURST_S = 0.5

# Statuses with which the store temporarily rejects a call, or all calls of an instance.
REJECTED_STATUSES = (429, 503)
# The cheapest read: at most a kilobyte from a topic's start.
PROBE_TARGET = f"/api/log-read?topic={CONFIG_TOPIC}&part=0&from=0&maxKb=1".encode()

LENGTH = struct.Struct(">I")
OFFSET = struct.Struct(">Q")


@attrs.frozen
class KeyedRecord:
    """A record of a keyed topic; a value of None means that its key was removed."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen
class Page:
    """Records read from a partition.

    ``end`` is the partition's end at that time, and ``next_offset`` the offset to read
    next.
    """

    records: list[KeyedRecord]
    end: int
    next_offset: int


@attrs.frozen
class NewestPage:
    """The newest records of a range of keys.

    ``has_more`` states that more keys follow; ``end`` is the partition's end at that
    time.
    """

    records: list[KeyedRecord]
    has_more: bool
    end: int


class _Newest(msgspec.Struct, rename="camel"):
    items: list["_NewestItem"]
    end: int
    has_more: bool = False


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Appended(msgspec.Struct):
    offset: int


class _Rejection(msgspec.Struct):
    why: str = ""
    seq: int | None = None


class _Expired(msgspec.Struct):
    first: int


_NEWEST_DECODER = msgspec.json.Decoder(_Newest)


class StoreClient:
    """Calls the store; its methods raise the errors of this package."""

    def __init__(self, settings: StoreSettings, client: Client, clock: Any) -> None:
        # Called after each call with its name, its outcome and its duration in seconds.
        self.on_call: Callable[[str, str, float], None] = lambda *args: None
        # Returns the address to call: the store's own or that of a relay.
        self.choose_address: Callable[[], str] = lambda: settings.address
        # Called with an address and whether it responded without a rejection.
        self.on_address: Callable[[str, bool], None] = lambda address, worked: None
        self._settings = settings
        self._client = client
        self._clock = clock
        write_rate = settings.writes_per_s * RATE_SHARE
        read_rate = settings.reads_per_s * RATE_SHARE
        self._writes = TokenBucket(write_rate, write_rate * BURST_S)
        self._reads = TokenBucket(read_rate, read_rate * BURST_S)

    async def append(
        self,
        topic: str,
        partition: int,
        records: list[tuple[str, bytes | None]],
        producer: str,
        sequence: int,
        timeout_s: float = CALL_TIMEOUT_S,
        epoch: int = 1,
    ) -> int:
        """Appends keyed records atomically and returns the offset of the first one.

        A retry with the same ``producer``, ``epoch`` and ``sequence`` appends nothing
        more. Raises `SequenceError` if ``sequence`` does not follow the producer's last
        one, or its ``epoch`` is lower than one that the store has seen. Without records
        it only makes the ``epoch`` known.
        """
        query = {
            "topic": topic,
            "part": partition,
            "producer": producer,
            "epoch": epoch,
            "seq": sequence,
        }
        body = b"".join(_frame(key, value) for key, value in records)
        self._take(self._writes)
        response = await self._call(b"POST", "/api/log-append", query, body, timeout_s)
        if response.status != 409:
            _check(response)
        try:
            return _decode_append(response, f"append {sequence} of {producer}")
        except MalformedError as exc:
            # The store may have applied the append, so its outcome is unknown.
            raise StoreNoResponseError(exc.message) from exc

    async def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        max_kb: int | None = None,
        timeout_s: float | None = None,
        address: str | None = None,
    ) -> Page:
        """Returns the records of a keyed topic from ``offset`` on.

        Waits up to ``wait_s`` for the first one. ``max_kb`` limits the response in
        kilobytes. A response counts as lost when nothing of it has arrived for
        `CALL_TIMEOUT_S` after that wait, or when it is not complete after ``timeout_s``
        seconds if that is given. ``address`` replaces the chosen one. Raises
        `HistoryLostError` if the records have expired.
        """
        query: dict[str, Any] = {"topic": topic, "part": partition, "from": offset}
        if max_kb is not None:
            query["maxKb"] = max_kb
        if wait_s > 0:
            query["waitMs"] = round(wait_s * 1000)
        self._take(self._reads)
        limit_s = CALL_TIMEOUT_S if timeout_s is None else timeout_s
        response = await self._call(
            b"GET",
            "/api/log-read",
            query,
            b"",
            wait_s + limit_s,
            pause_s=CALL_TIMEOUT_S if timeout_s is None else 0.0,
            address=address,
        )
        if response.status == 410:
            expired = decode_json(response.body, "a read", _Expired)
            raise HistoryLostError(expired.first)
        _check(response)
        return _decode_page(response.body, offset)

    async def newest(self, topic: str, partition: int, after: str = "") -> NewestPage:
        """Returns a page of the newest record of each key, for keys after ``after``."""
        query: dict[str, Any] = {"topic": topic, "part": partition}
        if after:
            query["after"] = after
        self._take(self._reads)
        response = await self._call(
            b"GET",
            "/api/log-newest",
            query,
            b"",
            2 * CALL_TIMEOUT_S,
            pause_s=CALL_TIMEOUT_S,
        )
        _check(response)
        try:
            wire = _NEWEST_DECODER.decode(response.body)
            records = [
                KeyedRecord(item.offset, item.key, base64.b64decode(item.value))
                for item in wire.items
            ]
        except UNREADABLE as exc:
            raise MalformedError(f"the newest records of {topic}: {exc}") from exc
        return NewestPage(records, wire.has_more, wire.end)

    async def answers_directly(self) -> bool:
        """Returns whether the store itself currently responds to this instance."""
        head = RequestHead(b"GET", PROBE_TARGET, Headers([(b"Host", b"store")]))
        address = self._settings.address
        try:
            response = await self._client.call(address, head, b"", CALL_TIMEOUT_S)
        except PomeloshiftError:
            # A failure means that the store does not respond to this instance yet. It
            # is not logged here, because the caller logs changes of the path.
            return False
        return response.status not in REJECTED_STATUSES

    def _take(self, bucket: TokenBucket) -> None:
        wait_s = bucket.take(self._clock.monotonic())
        if wait_s > 0:
            raise StoreRejectedError(
                "this process's share of the store's rate is used up",
                retry_after_s=wait_s,
            )

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, Any],
        body: bytes,
        timeout_s: float,
        pause_s: float = 0.0,
        address: str | None = None,
    ) -> Response:
        target = f"{path}?{urlencode(query)}" if query else path
        fields = [(b"Host", self._settings.address.encode())]
        if body:
            fields.append((b"Content-Type", b"application/octet-stream"))
        head = RequestHead(method, target.encode(), Headers(fields))
        started_at = self._clock.monotonic()
        outcome = "silent"
        address = address or self.choose_address()
        try:
            response = await self._client.call(
                address, head, body, timeout_s, pause_s=pause_s
            )
            outcome = str(response.status)
            self.on_address(address, response.status not in REJECTED_STATUSES)
            return response
        except ConnectError as exc:
            outcome = "unreachable"
            self.on_address(address, False)
            raise StoreUnreachableError(exc.message) from exc
        except (CallTimeoutError, ConnectionBrokenError) as exc:
            self.on_address(address, False)
            raise StoreNoResponseError(f"{path}: {exc.message}") from exc
        finally:
            name = path.rpartition("/")[2]
            self.on_call(name, outcome, self._clock.monotonic() - started_at)


def _decode_append(response: Response, what: str) -> int:
    """Returns the offset in the response to an append; ``what`` names the append."""
    if response.status == 409:
        rejection = decode_json(response.body, what, _Rejection)
        raise SequenceError(f"{what}: {rejection.why}", rejection.seq)
    return decode_json(response.body, what, _Appended).offset


def _check(response: Response) -> None:
    """Raises the error that corresponds to a response's status."""
    if response.status == 200:
        return
    if response.status in REJECTED_STATUSES:
        raise StoreRejectedError(f"the store answered {response.status}")
    if response.status == 507:
        raise StoreFullError("the store is full")
    raise MalformedError(
        f"the store answered {response.status}: {response.body[:200]!r}"
    )


def _frame(key: str, value: bytes | None) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return LENGTH.pack(len(content)) + content


def _decode_page(body: bytes, offset: int) -> Page:
    if len(body) < 2 * OFFSET.size:
        raise MalformedError("a read's answer is too short")
    (end,) = OFFSET.unpack_from(body, 0)
    records = []
    at = 2 * OFFSET.size
    while at < len(body):
        if len(body) - at < LENGTH.size:
            raise MalformedError("a record's length is cut off")
        (length,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        content = body[at : at + length]
        if len(content) != length:
            raise MalformedError("a record is cut off")
        at += length
        records.append(_decode_record(offset, content))
        offset += 1
    return Page(records, end, offset)


def _decode_record(offset: int, content: bytes) -> KeyedRecord:
    length = content[0] if content else 0
    key = content[1 : 1 + length].decode("utf-8", "replace")
    value = content[1 + length :]
    return KeyedRecord(offset, key, value or None)
