"""Writes the records of crashes to the store."""

from typing import Any

import attrs

from ..errors import PomeloshiftError
from ._events import EventLog
from ._log_writer import LogWriter
from ._timing import (
    MAX_UNWRITTEN_CRASHES,
    REPUBLISH_CRASHES_MAX_S,
    REPUBLISH_CRASHES_S,
)


@attrs.define(eq=False)
class CrashPublisher:
    """Appends the records of crashes and remembers whether some were lost.

    At most `MAX_UNWRITTEN_CRASHES` wait for the store. Those beyond it, and those that
    the store rejects for good, are lost until they are published again: all crashes
    are still known to this gateway.
    """

    _writer: LogWriter
    _events: EventLog
    _clock: Any
    _unwritten: int = attrs.field(default=0, init=False)
    _has_lost: bool = attrs.field(default=False, init=False)
    _losses: int = attrs.field(default=0, init=False)
    # Monotonic seconds.
    _settled_at: float = attrs.field(default=0.0, init=False)

    @property
    def has_unwritten(self) -> bool:
        """Whether records are queued for the store."""
        return self._writer.has_unwritten

    def stop(self) -> None:
        """Stops writing; records that are still queued are never written."""
        self._writer.stop()

    def publish(self, records: list[tuple[str, bytes | None]]) -> None:
        """Queues records for the store."""
        if self._unwritten + len(records) > MAX_UNWRITTEN_CRASHES:
            self._note_lost("too many records wait for the store")
            return
        self._unwritten += len(records)
        done = self._writer.append(records).done
        done.addCallbacks(self._note_appended, self._note_append_failed)
        done.addBoth(self._note_settled, len(records))

    def take_lost(self, now: float) -> bool:
        """Returns whether records were lost and may be published again now.

        That is once no others wait, and this gateway has had the time to read back what
        it has written. The time grows while records are lost again.
        """
        delay_s = REPUBLISH_CRASHES_S * 2**self._losses
        wait_s = min(delay_s, REPUBLISH_CRASHES_MAX_S)
        if not self._has_lost or self._unwritten or now < self._settled_at + wait_s:
            return False
        self._has_lost = False
        self._losses += 1
        return True

    def _note_appended(self, _: Any) -> None:
        self._losses = 0

    def _note_append_failed(self, failure: Any) -> None:
        failure.trap(PomeloshiftError)
        self._note_lost(failure.value.message)

    def _note_settled(self, _: Any, count: int) -> None:
        self._unwritten -= count
        self._settled_at = float(self._clock.monotonic())

    def _note_lost(self, why: str) -> None:
        self._has_lost = True
        self._events.info("crash_not_published", why=why)
