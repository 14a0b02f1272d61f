"""Two successive holders of an engine's lease that send it commands."""

from typing import Any

from ...errors import PomeloshiftError
from ...membership import (
    ENGINE_LEASE,
    CommandEffect,
    CommandFailed,
    CommandKind,
    EngineCommand,
    EngineCommands,
    HeldLeases,
    Lease,
    ObservedEngineState,
    ReadEngine,
    SendCommand,
    SendResult,
)
from ...model import Place
from ...net._periodic_tasks import PeriodicTasks
from ...sidecar._engine_client import EngineClient
from ...sidecar._engine_errors import EngineFencedError
from ._process import SimProcess
from ._world import World

LEASE_S = 5.0
COMMAND_INTERVAL_S = 0.7
RENEW_INTERVAL_S = 1.0
SEND_S = 1.0


class LeaseHolder:
    """A process that sends version commands to an engine while it holds the lease."""

    def __init__(
        self, world: World, process: SimProcess, url: str, checks_fencing: bool
    ) -> None:
        self.process = process
        self.failed: list[CommandFailed] = []
        self.sent = 0
        self._world = world
        self._leases = HeldLeases(LEASE_S, process.seconds())
        self._commands = EngineCommands(self._leases, checks_fencing, SEND_S)
        self._client = EngineClient(url, process)
        self._tasks = PeriodicTasks(process)
        self._commands_issued = 0

    def grant(self, fencing_number: int, until: float) -> None:
        """Grants or renews the lease; commands start with the first grant."""
        self._leases.grant(Lease(ENGINE_LEASE, fencing_number, until))
        if not self._commands_issued:
            self._tasks.repeat(self._send_command, COMMAND_INTERVAL_S)

    async def _send_command(self) -> None:
        # The read opens the connection, so that the command follows without delay.
        await self._client.serves()
        self._commands_issued += 1
        name = f"{self.process.name}-{self._commands_issued}"
        command = EngineCommand(name, CommandKind.CHANGE_VERSION, name)
        self._execute(self._commands.submit(command, self.process.seconds()))

    def _execute(self, effects: list[CommandEffect]) -> None:
        for effect in effects:
            match effect:
                case SendCommand():
                    self.sent += 1
                    self._world.spawn(self._send(effect))
                case ReadEngine():
                    self._world.spawn(self._read())
                case CommandFailed():
                    self.failed.append(effect)

    async def _send(self, effect: SendCommand) -> None:
        command = effect.command
        result = SendResult.APPLIED
        try:
            await self._client.order(
                command.kind.value, command.value, effect.fencing_number
            )
        except EngineFencedError:
            result = SendResult.FENCED
        except PomeloshiftError:
            result = SendResult.UNANSWERED
        self._execute(self._commands.sent(result, self.process.seconds()))

    async def _read(self) -> None:
        reading: ObservedEngineState | None
        try:
            reading = _reading(await self._client.serves())
        except PomeloshiftError:
            reading = None
        self._execute(self._commands.read(reading, self.process.seconds()))


class LeaseManager:
    """Grants the lease of one engine, as the platform does.

    The first holder renews its lease while it runs. After the lease has expired, the
    second holder gets it with a higher fencing token: 9 instead of 5.
    """

    def __init__(self, world: World, url: str, place: Place, checks: bool) -> None:
        processes = [
            world.new_process(name, place) for name in ("holder-1", "holder-2")
        ]
        first, second = (LeaseHolder(world, p, url, checks) for p in processes)
        self.first = first
        self.second = second
        self._world = world
        self._fencing_number = 5
        self._expires_at = 0.0
        self._renew()
        world.clock.callLater(RENEW_INTERVAL_S, self._check_expiry)

    def _renew(self) -> None:
        now = self._world.clock.seconds()
        if self._fencing_number == 5:
            self._expires_at = now + LEASE_S
            self.first.grant(self._fencing_number, self._expires_at)
            self.first.process.callLater(RENEW_INTERVAL_S, self._renew)

    def _check_expiry(self) -> None:
        now = self._world.clock.seconds()
        if self._fencing_number == 5 and now > self._expires_at:
            self._fencing_number = 9
        if self._fencing_number == 9:
            self._expires_at = now + LEASE_S
            self.second.process.run(
                lambda: self.second.grant(self._fencing_number, self._expires_at)
            )
        self._world.clock.callLater(RENEW_INTERVAL_S, self._check_expiry)


def _reading(serves: Any) -> ObservedEngineState:
    return ObservedEngineState(
        serves.models,
        serves.adapters,
        serves.version,
        serves.role,
        serves.fencing_number,
    )
