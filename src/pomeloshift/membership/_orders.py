"""Commands to an engine, protected by a lease with a fencing token."""

from collections import deque
from enum import Enum

import attrs

from ..errors import ErrorCode, ErrorReport, Ran
from ._leases import HeldLeases, Lease

ENGINE_LEASE = "engine"
MAX_SENDS = 3


class OrderKind(Enum):
    """What a command changes; the values are those of the engine's interface."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_VERSION = "change_version"
    CHANGE_ROLE = "change_role"


@attrs.frozen
class Order:
    """A command to the engine; ``value`` is a model, adapter, version or role."""

    order_id: str
    kind: OrderKind
    value: str


@attrs.frozen
class EngineReading:
    """The engine's state as the engine reports it.

    ``fencing_number`` is the fencing token that the engine reports, or 0.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    fencing_number: int = 0

    def shows(self, order: Order) -> bool:
        """Returns whether the state is the one that the command asks for."""
        if order.kind is OrderKind.LOAD_MODEL:
            return order.value in self.models
        if order.kind is OrderKind.UNLOAD_MODEL:
            return order.value not in self.models
        if order.kind is OrderKind.LOAD_ADAPTER:
            return order.value in self.adapters
        if order.kind is OrderKind.CHANGE_VERSION:
            return self.version == order.value
        return self.role == order.value


class SendResult(Enum):
    """The result of sending a command.

    ``FENCED``: the engine refused an old fencing token. ``UNANSWERED``: the outcome
    is unknown.
    """

    APPLIED = "applied"
    FENCED = "fenced"
    UNANSWERED = "unanswered"


@attrs.frozen
class SendOrder:
    """Send the command to the engine now."""

    order: Order
    fencing_number: int


@attrs.frozen
class ReadEngine:
    """Read the engine's state."""

    order_id: str


@attrs.frozen
class OrderDone:
    """The engine's state shows the result of the command."""

    order_id: str


@attrs.frozen
class OrderFailed:
    """The command failed and is not retried."""

    order_id: str
    error: ErrorReport


OrderEffect = SendOrder | ReadEngine | OrderDone | OrderFailed


class EngineOrders:
    """Sends commands to an engine one at a time, while the engine's lease is held.

    The lease is checked right before each send. An engine that does not check fencing
    tokens gets a command only while the lease lasts for another ``send_s`` seconds,
    the longest time that a send takes. The engine's state is read after each send.
    """

    def __init__(self, leases: HeldLeases, checks_fencing: bool, send_s: float) -> None:
        self._leases = leases
        self._checks_fencing = checks_fencing
        self._send_s = send_s
        self._waiting: deque[Order] = deque()
        self._current: Order | None = None
        self._sends = 0
        self._highest_fencing_number = 0

    def order(self, order: Order, now: float) -> list[OrderEffect]:
        """Queues a command behind the earlier ones."""
        self._waiting.append(order)
        return self._next(now) if self._current is None else []

    def sent(self, result: SendResult, now: float) -> list[OrderEffect]:
        """Called when a `SendOrder` has ended with ``result``."""
        if self._current is None:
            return []
        if result is SendResult.FENCED:
            self._leases.revoke(ENGINE_LEASE)
            return self._fail(ErrorCode.FENCED, Ran.NO, now)
        return [ReadEngine(self._current.order_id)]

    def read(self, reading: EngineReading | None, now: float) -> list[OrderEffect]:
        """Called with the engine's state, or `None` if it could not be read."""
        order = self._current
        if order is None:
            return []
        if reading is None:
            return self._retry(now)
        self._highest_fencing_number = max(
            self._highest_fencing_number, reading.fencing_number
        )
        if reading.shows(order):
            self._current = None
            return [OrderDone(order.order_id), *self._next(now)]
        return self._retry(now)

    def _next(self, now: float) -> list[OrderEffect]:
        if not self._waiting:
            return []
        self._current = self._waiting.popleft()
        self._sends = 0
        return self._send(now)

    def _retry(self, now: float) -> list[OrderEffect]:
        if self._sends >= MAX_SENDS:
            return self._fail(ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, now)
        return self._send(now)

    def _send(self, now: float) -> list[OrderEffect]:
        order = self._current
        assert order is not None
        lease = self._leases.held(ENGINE_LEASE, now)
        ran = Ran.NO if self._sends == 0 else Ran.UNKNOWN
        if lease is None or not self._lasts_long_enough(lease, now):
            return self._fail(ErrorCode.LEASE_LOST, ran, now)
        if lease.fencing_number < self._highest_fencing_number:
            self._leases.revoke(ENGINE_LEASE)
            return self._fail(ErrorCode.FENCED, ran, now)
        self._sends += 1
        return [SendOrder(order, lease.fencing_number)]

    def _lasts_long_enough(self, lease: Lease, now: float) -> bool:
        return self._checks_fencing or now + self._send_s <= lease.expires_at

    def _fail(self, code: ErrorCode, ran: Ran, now: float) -> list[OrderEffect]:
        order = self._current
        assert order is not None
        self._current = None
        message = f"engine command {order.kind.value} failed: {code.value}"
        failed = OrderFailed(order.order_id, ErrorReport(code, message, ran))
        return [failed, *self._next(now)]
