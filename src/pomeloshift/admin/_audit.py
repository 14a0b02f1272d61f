"""Records who changed what."""

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger
from twisted.internet.defer import ensureDeferred

from ..errors import PomeloshiftError
from ..log import LogStore, Record, RecordCodec
from ..net import Clock

AUDIT_STREAM = "audit"
MAX_WAITING = 1000
FLUSH_DELAY_S = 1.0
RETRY_DELAY_S = 5.0


@attrs.frozen
class AuditEntry:
    """One change by an operator; ``at`` is in seconds since the epoch."""

    at: float
    operator: str
    action: str
    target: str
    outcome: str
    entry: str


class AuditLog:
    """Writes a log line for each change and appends the entries in groups.

    While the log service is out the newest entries wait, up to a limit; the log
    lines of the process are complete in any case.
    """

    def __init__(
        self,
        name: str,
        log: LogStore,
        clock: Clock,
        reactor: Any,
        new_id: Callable[[], str],
    ) -> None:
        self._name = name
        self._log = log
        self._clock = clock
        self._reactor = reactor
        self._new_id = new_id
        self._codec = RecordCodec([AuditEntry])
        self._waiting: deque[Record] = deque(maxlen=MAX_WAITING)
        self._is_scheduled = False
        self._is_closed = False

    def write(self, operator: str, action: str, target: str, outcome: str) -> None:
        """Records one change and its outcome, ``ok`` or the code of the error."""
        logger.info(
            "event=audit operator={} action={} target={} outcome={}",
            operator,
            action,
            target,
            outcome,
        )
        now = self._clock.wall()
        entry = AuditEntry(now, operator, action, target, outcome, self._name)
        self._waiting.append(Record(self._new_id(), entry))
        self._schedule(FLUSH_DELAY_S)

    async def flush(self) -> None:
        """Appends all waiting entries as one append."""
        records = list(self._waiting)
        if not records:
            return
        payloads = [self._codec.encode(record) for record in records]
        await self._log.append(AUDIT_STREAM, payloads)
        for record in records:
            if self._waiting and self._waiting[0] is record:
                self._waiting.popleft()

    async def close(self) -> None:
        """Appends what waits, if the log service takes it, and ends."""
        self._is_closed = True
        try:
            await self.flush()
        except PomeloshiftError as exc:
            logger.warning(
                "event=audit_lost entries={} code={}",
                len(self._waiting),
                exc.code.value,
            )

    def _schedule(self, delay_s: float) -> None:
        if not self._is_scheduled and not self._is_closed:
            self._is_scheduled = True
            self._reactor.callLater(delay_s, self._start_flush)

    def _start_flush(self) -> None:
        ensureDeferred(self._flush_or_retry())

    async def _flush_or_retry(self) -> None:
        try:
            await self.flush()
        except PomeloshiftError as exc:
            logger.warning("event=audit_waits code={}", exc.code.value)
        finally:
            self._is_scheduled = False
        if self._waiting:
            self._schedule(RETRY_DELAY_S)
