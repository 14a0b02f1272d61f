"""Passes events of callers' connections to the memory budget, and decisions back."""

from typing import Any

from ..memory import Account, MemoryBudget
from ._events import EventLog
from ._held_memory import CONNECTION_BYTES, HeldMemory

# Interval at which waiting requests are considered besides when memory is released.
DECIDE_TICK_S = 0.1
# Delay after which refused callers retry, at another gateway where there is one.
RETRY_AFTER_S = 0.5
# Receive and send buffer of a connection in the system, which doubles the figure.
SOCKET_BUFFER = 64 * 1024
# Bodies up to this size do not reserve their whole length before they are read.
SMALL_BODY = 64 * 1024


class CallerBudget:
    """The `CallerMemory` of the callers' listener."""

    retry_after_s = RETRY_AFTER_S
    small_body = SMALL_BODY
    socket_buffer = SOCKET_BUFFER

    def __init__(
        self, budget: MemoryBudget, reactor: Any, clock: Any, events: EventLog
    ) -> None:
        self.budget = budget
        self.policy = budget.policy
        self._reactor = reactor
        self._clock = clock
        self._events = events
        self._timer: Any = None

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return float(self._clock.monotonic())

    def open(self, connection: Any) -> HeldMemory | None:
        """Returns the memory of a new connection, None if there is none for it."""
        held = HeldMemory(self, connection)
        account, dropped = self.budget.open(held, CONNECTION_BYTES, self.now())
        if account is None:
            self.note_refused("connection", CONNECTION_BYTES)
            return None
        held.account = account
        self.drop(dropped, "memory")
        return held

    def make_room(self) -> bool:
        """Closes the connection with the least progress; False without any."""
        account = self.budget.least(self.now())
        if account is None:
            self.note_refused("connections", 0)
            return False
        self.budget.close(account)
        self.drop((account,), "connections")
        return True

    def drop(self, accounts: tuple[Account, ...], why: str) -> None:
        """Ends the connections of accounts that the budget has closed."""
        now = self.now()
        for account in accounts:
            held: Any = account.owner
            self._events.metrics.count_caller("dropped", why)
            self._events.info(
                "caller_dropped",
                id=held.request_id,
                why=why,
                progress=account.progress(now),
                body=held.received,
                used=self.budget.used,
            )
            held.connection.drop()
            held.wake(False)

    def note_refused(self, why: str, size: int, request_id: str = "") -> None:
        """Logs that a request is refused for lack of memory."""
        self._events.metrics.count_caller("refused", why)
        self._events.info(
            "caller_refused",
            id=request_id,
            why=why,
            bytes=size,
            used=self.budget.used,
            limit=self.policy.limit,
        )

    def note_unread(self, request_id: str, unsent: int) -> None:
        """Logs that a caller is disconnected because it does not read."""
        self._events.metrics.count_caller("cut", "unread")
        used = self.budget.used
        self._events.info("caller_unread", id=request_id, unsent=unsent, used=used)

    def decide_soon(self, delay_s: float = 0.0) -> None:
        """Considers the waiting requests after a delay."""
        if not self.budget.has_waiting:
            return
        if self._timer is not None and self._timer.active():
            if delay_s > 0:
                return
            self._timer.cancel()
        self._timer = self._reactor.callLater(delay_s, self._decide)

    def _decide(self) -> None:
        self._timer = None
        decisions = self.budget.decide(self.now())
        self.drop(decisions.dropped, "memory")
        for account in decisions.granted:
            held: Any = account.owner
            held.granted()
        for account in decisions.refused:
            waiting: Any = account.owner
            self.note_refused("wait", 0, waiting.request_id)
            waiting.refused()
        self.decide_soon(DECIDE_TICK_S)
