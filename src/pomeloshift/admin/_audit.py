"""The audit log of changes that operators make."""

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
MAX_PENDING = 1000
FLUSH_DELAY_S = 1.0
RETRY_DELAY_S = 5.0


@attrs.frozen
class AuditEntry:
    """One change by an operator.

    ``at`` is in seconds since the epoch, ``outcome`` is ``ok`` or the code of an
    error, and ``entry`` is the name of the entry that handled the request.
    """

    at: float
    operator: str
    action: str
    target: str
    outcome: str
    entry: str


class AuditLog:
    """Writes a log line for each change and appends audit entries in batches.

    While the log service is unavailable, the newest `MAX_PENDING` entries are held
    for a retry and older ones are dropped. The log lines of the process contain every
    change in any case.
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
        self._pending: deque[Record] = deque(maxlen=MAX_PENDING)
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
        self._pending.append(Record(self._new_id(), entry))
        self._schedule(FLUSH_DELAY_S)

    async def flush(self) -> None:
        """Appends all pending entries as one append; raises log errors."""
        records = list(self._pending)
        if not records:
            return
        payloads = [self._codec.encode(record) for record in records]
        await self._log.append(AUDIT_STREAM, payloads)
        for record in records:
            if self._pending and self._pending[0] is record:
                self._pending.popleft()

    async def close(self) -> None:
        """Appends the pending entries and stops.

        If the append fails, the number of entries that are lost is logged.
        """
        self._is_closed = True
        try:
            await self.flush()
        except PomeloshiftError as exc:
            logger.warning(
                "event=audit_lost entries={} code={}",
                len(self._pending),
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
        if self._pending:
            self._schedule(RETRY_DELAY_S)
