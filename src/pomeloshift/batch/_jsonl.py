"""Parses the lines of a batch input file."""

from collections.abc import Iterator

import attrs
import msgspec

from ._errors import InvalidJsonlError

BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
CHUNK_BYTES = 131_072
MAX_LINE_BYTES = 1_048_576


@attrs.frozen
class BatchLine:
    """One item of an input file."""

    custom_id: str
    method: str
    url: str
    body: msgspec.Raw


@attrs.frozen
class BodyHead:
    """The fields of an item's body that this package uses."""

    model: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def output_tokens(self) -> int:
        """The maximum number of tokens that the item may generate."""
        limit = self.max_completion_tokens or self.max_tokens
        return limit if limit and limit > 0 else DEFAULT_OUTPUT_TOKENS


@attrs.frozen
class ParsedItem:
    """One item, with its body as sent to the engine."""

    custom_id: str
    method: str
    path: str
    body: bytes
    service: str
    prompt_tokens: int
    output_tokens: int


_lines = msgspec.json.Decoder(BatchLine)
_heads = msgspec.json.Decoder(BodyHead)


def parse_item(line: bytes, number: int = 1) -> ParsedItem:
    """Returns the item of a line; raises `InvalidJsonlError` with ``number``."""
    try:
        item = _lines.decode(line)
        head = _heads.decode(item.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise InvalidJsonlError(number, str(exc)) from exc
    if item.method.upper() != "POST":
        raise InvalidJsonlError(number, "`method` is not POST")
    if not item.custom_id:
        raise InvalidJsonlError(number, "`custom_id` is empty")
    body = bytes(item.body)
    return ParsedItem(
        item.custom_id,
        "POST",
        item.url,
        body,
        head.model,
        len(body) // BYTES_PER_TOKEN + 1,
        head.output_tokens,
    )


class InputChecker:
    """Checks the lines of an input file one by one.

    All items must have the same model and URL and different custom ids. Blank lines are
    skipped. Raises `InvalidJsonlError`.
    """

    def __init__(self) -> None:
        self.items = 0
        self.first: ParsedItem | None = None
        self._line = 0
        self._custom_ids: set[str] = set()

    def check(self, line: bytes) -> ParsedItem | None:
        """Checks the next line and returns its item, or `None` if it is blank."""
        self._line += 1
        if len(line) > MAX_LINE_BYTES:
            raise InvalidJsonlError(
                self._line, f"the line is longer than {MAX_LINE_BYTES} bytes"
            )
        if not line.strip():
            return None
        item = parse_item(line, self._line)
        if item.custom_id in self._custom_ids:
            raise InvalidJsonlError(
                self._line, f"`custom_id` {item.custom_id!r} occurs more than once"
            )
        self._custom_ids.add(item.custom_id)
        self.first = self.first or item
        if item.service != self.first.service:
            raise InvalidJsonlError(self._line, "`model` differs from the first line's")
        if item.path != self.first.path:
            raise InvalidJsonlError(self._line, "`url` differs from the first line's")
        self.items += 1
        return item

    def finish(self) -> ParsedItem:
        """Returns the first item; raises `InvalidJsonlError` if there is none."""
        if self.first is None:
            raise InvalidJsonlError(1, "the file has no items")
        return self.first


def cut_at_lines(data: bytes, chunk_bytes: int = CHUNK_BYTES) -> Iterator[bytes]:
    """Splits a file into chunks that end at the end of a line.

    Only lines longer than the limit for a batch item are split themselves.
    """
    start = 0
    while start < len(data):
        end = min(start + chunk_bytes, len(data))
        if end < len(data):
            end = _line_end(data, start, end)
        yield data[start:end]
        start = end


def _line_end(data: bytes, start: int, end: int) -> int:
    cut = data.rfind(b"\n", start, end)
    if cut < 0:
        cut = data.find(b"\n", end, start + MAX_LINE_BYTES + 1)
    if cut >= 0:
        return cut + 1
    rest = len(data) - start
    return len(data) if rest <= MAX_LINE_BYTES else end


def item_lines(chunk: bytes) -> list[bytes]:
    """Returns the lines of a chunk that hold an item."""
    return [line for line in chunk.split(b"\n") if line.strip()]
