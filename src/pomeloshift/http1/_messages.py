"""What crosses an HTTP connection."""

from collections.abc import Iterator

import attrs

HeaderList = list[tuple[bytes, bytes]]

# Headers that describe one connection only (RFC 9110, section 7.6.1), and the framing
# of the body, which each connection chooses anew.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@attrs.frozen
class Headers:
    """Header fields in the order in which they came.

    Headers([(b"Host", b"a.example")]).get(b"host") == b"a.example"
    """

    fields: HeaderList

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a field, whose name is given in lower case."""
        for key, value in self.fields:
            if key.lower() == name:
                return value
        return None

    def text(self, name: bytes, default: str = "") -> str:
        """Returns the first value of a field as text."""
        value = self.get(name)
        return default if value is None else value.decode("latin-1")

    def integer(self, name: bytes) -> int | None:
        """Returns a field's value as a whole number, or None if it holds none."""
        value = self.get(name)
        if value is None:
            return None
        try:
            return int(value)
        except ValueError:
            return None

    def end_to_end(self) -> HeaderList:
        """Returns the fields that a proxy passes on."""
        named = self._named_in_connection()
        return [
            (key, value)
            for key, value in self.fields
            if key.lower() not in CONNECTION_HEADERS and key.lower() not in named
        ]

    def _named_in_connection(self) -> set[bytes]:
        value = self.get(b"connection") or b""
        return {part.strip().lower() for part in value.split(b",")}

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter(self.fields)


@attrs.frozen
class RequestHead:
    """The start of a request."""

    method: bytes
    target: bytes
    headers: Headers


@attrs.frozen
class ResponseHead:
    """The start of an answer.

    ``is_framed`` is false where the body has no length and ends with the connection.
    """

    status: int
    headers: Headers
    is_framed: bool = True


@attrs.frozen
class Chunk:
    """A piece of an answer's body."""

    data: bytes


@attrs.frozen
class ResponseEnd:
    """The answer is whole."""


@attrs.frozen
class Disconnected:
    """The connection ended before the answer was whole.

    ``was_reused`` is true where the request was written to a connection that had
    served others before and no byte came back.
    """

    reason: str
    was_reused: bool = False


@attrs.frozen
class Response:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes
