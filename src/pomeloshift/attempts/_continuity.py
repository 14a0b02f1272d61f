"""Checks that a second run of a request repeats what its caller already has."""

import re

import xxhash

EVENT_END = b"\n\n"

# Engines put the time and the id of the run into every piece of a streamed answer.
_RUN_FIELDS = re.compile(rb'"created": ?\d+|"id": ?"[^"\\]*"')


class ContinuityError(Exception):
    """The second run does not continue the answer that was delivered."""


class Continuity:
    """A digest of what was delivered, and of what a second run repeats of it.

    continuity.deliver(b"data: 1")      # first run, given to the caller
    continuity.restart()
    continuity.replay(b"data: 1")       # returns b""
    continuity.replay(b"data: 2")       # returns b"data: 2"
    """

    def __init__(self) -> None:
        self._delivered = xxhash.xxh3_128()
        self._length = 0
        self._replayed = xxhash.xxh3_128()
        self._missing = 0
        self._status: int | None = None

    @property
    def delivered_any(self) -> bool:
        """Tells whether the caller has any part of the answer."""
        return self._length > 0

    @property
    def is_replaying(self) -> bool:
        """Tells whether the current run still repeats delivered bytes."""
        return self._missing > 0

    def check_status(self, status: int) -> None:
        """Notes the status of the answer; raises `ContinuityError` if it changed."""
        if self._status not in (None, status) and self.delivered_any:
            raise ContinuityError
        self._status = status

    def deliver(self, payload: bytes) -> None:
        """Adds a piece that goes to the caller."""
        masked = _mask(payload)
        self._delivered.update(masked)
        self._length += len(masked)

    def restart(self) -> None:
        """Begins to compare a new run with what was delivered."""
        self._replayed = xxhash.xxh3_128()
        self._missing = self._length

    def replay(self, payload: bytes) -> bytes:
        """Returns the part of ``payload`` that the caller does not have yet.

        Raises `ContinuityError` where the new run differs.
        """
        position = 0
        while self._missing and position < len(payload):
            end = _event_end(payload, position)
            self._compare(_mask(payload[position:end]))
            position = end
        return payload[position:]

    def _compare(self, masked: bytes) -> None:
        if len(masked) > self._missing:
            raise ContinuityError
        self._replayed.update(masked)
        self._missing -= len(masked)
        if not self._missing and self._replayed.digest() != self._delivered.digest():
            raise ContinuityError


def _mask(payload: bytes) -> bytes:
    return _RUN_FIELDS.sub(b'"masked":0', payload)


def _event_end(payload: bytes, start: int) -> int:
    found = payload.find(EVENT_END, start)
    return len(payload) if found < 0 else found + len(EVENT_END)
