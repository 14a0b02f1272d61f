"""Responses that the gateway generates itself."""

from ..http1 import Exchange


def refuse(exchange: Exchange, status: int, retry_after_s: float | None = None) -> None:
    """Sends an empty response with a status, usually an error.

    ``retry_after_s`` becomes the Retry-After header, with fractions of a second.
    """
    headers = [(b"Content-Type", b"text/plain")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
    exchange.respond(status, headers, b"")


def respond_json(exchange: Exchange, status: int, body: bytes) -> None:
    """Sends a response with a JSON body."""
    exchange.respond(status, [(b"Content-Type", b"application/json")], body)
