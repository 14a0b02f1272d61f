"""Checks that a second run of a request repeats what was already delivered."""

import re

import xxhash

EVENT_END = b"\n\n"

# Engines put the time and the id of the run into every event of a streamed response,
# so these fields differ between two runs with equal output.
_RUN_FIELDS = re.compile(rb'"created": ?\d+|"id": ?"[^"\\]*"')


class ContinuityError(Exception):
    """The second run does not repeat the bytes that were delivered."""


class Continuity:
    """Compares a second run of a request with what the first run delivered.

    It holds digests instead of the bytes.

    continuity.deliver(b"data: 1")      # first run, sent to the caller
    continuity.restart()
    continuity.replay(b"data: 1")       # returns b""
    continuity.replay(b"data: 2")       # returns b"data: 2"
    """

    def __init__(self) -> None:
        self._delivered_digest = xxhash.xxh3_128()
        self._delivered_bytes = 0
        self._replayed_digest = xxhash.xxh3_128()
        self._unmatched_bytes = 0
        self._status: int | None = None

    @property
    def delivered_any(self) -> bool:
        """Whether any part of the response was delivered to the caller."""
        return self._delivered_bytes > 0

    @property
    def is_replaying(self) -> bool:
        """Whether the current run has yet to repeat delivered bytes."""
        return self._unmatched_bytes > 0

    def check_status(self, status: int) -> None:
        """Records the HTTP status of the response.

        Raises `ContinuityError` if a response with another status was delivered.
        """
        if self._status not in (None, status) and self.delivered_any:
            raise ContinuityError
        self._status = status

    def deliver(self, payload: bytes) -> None:
        """Records bytes that are sent to the caller."""
        masked = _mask(payload)
        self._delivered_digest.update(masked)
        self._delivered_bytes += len(masked)

    def restart(self) -> None:
        """Starts to compare a new run with what was delivered."""
        self._replayed_digest = xxhash.xxh3_128()
        self._unmatched_bytes = self._delivered_bytes

    def replay(self, payload: bytes) -> bytes:
        """Returns the part of ``payload`` that was not delivered yet.

        Raises `ContinuityError` if the new run differs from the delivered bytes.
        """
        position = 0
        while self._unmatched_bytes and position < len(payload):
            end = _event_end(payload, position)
            self._compare(_mask(payload[position:end]))
            position = end
        return payload[position:]

    def _compare(self, masked: bytes) -> None:
        if len(masked) > self._unmatched_bytes:
            raise ContinuityError
        self._replayed_digest.update(masked)
        self._unmatched_bytes -= len(masked)
        if (
            not self._unmatched_bytes
            and self._replayed_digest.digest() != self._delivered_digest.digest()
        ):
            raise ContinuityError


def _mask(payload: bytes) -> bytes:
    return _RUN_FIELDS.sub(b'"masked":0', payload)


def _event_end(payload: bytes, start: int) -> int:
    found = payload.find(EVENT_END, start)
    return len(payload) if found < 0 else found + len(EVENT_END)
