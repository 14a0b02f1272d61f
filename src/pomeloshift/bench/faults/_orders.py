"""Two holders, one after the other, of the right to order an engine about."""

from typing import Any

from ...errors import PomeloshiftError
from ...membership import (
    ENGINE_LEASE,
    EngineOrders,
    EngineReading,
    HeldLeases,
    Lease,
    Order,
    OrderEffect,
    OrderFailed,
    OrderKind,
    ReadEngine,
    SendOrder,
    SendResult,
)
from ...model import Place
from ...net._periodic_tasks import PeriodicTasks
from ...sidecar._engine_client import EngineClient
from ...sidecar._engine_errors import EngineFencedError
from ._process import SimProcess
from ._world import World

LEASE_S = 5.0
ORDER_EVERY_S = 0.7
RENEW_S = 1.0
SEND_S = 1.0


class OrderHolder:
    """A process that orders versions while its lease lasts."""

    def __init__(
        self, world: World, process: SimProcess, url: str, checks_fencing: bool
    ) -> None:
        self.process = process
        self.failed: list[OrderFailed] = []
        self.sent = 0
        self._world = world
        self._leases = HeldLeases(LEASE_S, process.seconds())
        self._orders = EngineOrders(self._leases, checks_fencing, SEND_S)
        self._client = EngineClient(url, process)
        self._loops = PeriodicTasks(process)
        self._number = 0

    def grant(self, fencing_number: int, until: float) -> None:
        """Gives this holder the lease and has it begin."""
        self._leases.grant(Lease(ENGINE_LEASE, fencing_number, until))
        if not self._number:
            self._loops.repeat(self._order, ORDER_EVERY_S)

    async def _order(self) -> None:
        # Reading first opens the connection on which the order follows at once.
        await self._client.serves()
        self._number += 1
        name = f"{self.process.name}-{self._number}"
        order = Order(name, OrderKind.CHANGE_VERSION, name)
        self._carry_out(self._orders.order(order, self.process.seconds()))

    def _carry_out(self, effects: list[OrderEffect]) -> None:
        for effect in effects:
            match effect:
                case SendOrder():
                    self.sent += 1
                    self._world.go(self._send(effect))
                case ReadEngine():
                    self._world.go(self._read())
                case OrderFailed():
                    self.failed.append(effect)

    async def _send(self, effect: SendOrder) -> None:
        order = effect.order
        result = SendResult.APPLIED
        try:
            await self._client.order(
                order.kind.value, order.value, effect.fencing_number
            )
        except EngineFencedError:
            result = SendResult.FENCED
        except PomeloshiftError:
            result = SendResult.UNANSWERED
        self._carry_out(self._orders.sent(result, self.process.seconds()))

    async def _read(self) -> None:
        reading: EngineReading | None
        try:
            reading = _reading(await self._client.serves())
        except PomeloshiftError:
            reading = None
        self._carry_out(self._orders.read(reading, self.process.seconds()))


class OrderHolders:
    """The platform's view of who holds the lease of one engine.

    The first holder renews its lease while it runs; once the lease has certainly
    ended, the second one gets it with a higher fencing number.
    """

    def __init__(self, world: World, url: str, place: Place, checks: bool) -> None:
        processes = [
            world.new_process(name, place) for name in ("holder-1", "holder-2")
        ]
        first, second = (OrderHolder(world, p, url, checks) for p in processes)
        self.first = first
        self.second = second
        self._world = world
        self._fencing_number = 5
        self._expires_at = 0.0
        self._renew()
        world.clock.callLater(RENEW_S, self._watch)

    def _renew(self) -> None:
        now = self._world.clock.seconds()
        if self._fencing_number == 5:
            self._expires_at = now + LEASE_S
            self.first.grant(self._fencing_number, self._expires_at)
            self.first.process.callLater(RENEW_S, self._renew)

    def _watch(self) -> None:
        now = self._world.clock.seconds()
        if self._fencing_number == 5 and now > self._expires_at:
            self._fencing_number = 9
        if self._fencing_number == 9:
            self._expires_at = now + LEASE_S
            self.second.process.run(
                lambda: self.second.grant(self._fencing_number, self._expires_at)
            )
        self._world.clock.callLater(RENEW_S, self._watch)


def _reading(serves: Any) -> EngineReading:
    return EngineReading(
        serves.models,
        serves.adapters,
        serves.version,
        serves.role,
        serves.fencing_number,
    )
