"""Commands to an engine, protected by a lease with a fencing token."""

from collections import deque
from enum import Enum

import attrs

from ..errors import ErrorCode, ErrorReport, Ran
from ._leases import HeldLeases, Lease

ENGINE_LEASE = "engine"
MAX_SENDS = 3


class CommandKind(Enum):
    """What a command changes; the values are those of the engine's interface."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_VERSION = "change_version"
    CHANGE_ROLE = "change_role"


@attrs.frozen
class EngineCommand:
    """A command to the engine; ``value`` is a model, adapter, version or role."""

    command_id: str
    kind: CommandKind
    value: str


@attrs.frozen
class ObservedEngineState:
    """The engine's state as the engine reports it.

    ``fencing_number`` is the fencing token that the engine reports, or 0.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    fencing_number: int = 0

    def shows(self, command: EngineCommand) -> bool:
        """Returns whether the state is the one that the command asks for."""
        if command.kind is CommandKind.LOAD_MODEL:
            return command.value in self.models
        if command.kind is CommandKind.UNLOAD_MODEL:
            return command.value not in self.models
        if command.kind is CommandKind.LOAD_ADAPTER:
            return command.value in self.adapters
        if command.kind is CommandKind.CHANGE_VERSION:
            return self.version == command.value
        return self.role == command.value


class SendResult(Enum):
    """The result of sending a command.

    ``FENCED``: the engine refused an old fencing token. ``UNANSWERED``: the outcome
    is unknown.
    """

    APPLIED = "applied"
    FENCED = "fenced"
    UNANSWERED = "unanswered"


@attrs.frozen
class SendCommand:
    """Send the command to the engine now."""

    command: EngineCommand
    fencing_number: int


@attrs.frozen
class ReadEngine:
    """Read the engine's state."""

    command_id: str


@attrs.frozen
class CommandDone:
    """The engine's state shows the result of the command."""

    command_id: str


@attrs.frozen
class CommandFailed:
    """The command failed and is not retried."""

    command_id: str
    error: ErrorReport


CommandEffect = SendCommand | ReadEngine | CommandDone | CommandFailed


class EngineCommands:
    """Sends commands to an engine one at a time, while the engine's lease is held.

    The lease is checked right before each send. An engine that does not check fencing
    tokens gets a command only while the lease lasts for another ``send_s`` seconds,
    the longest time that a send takes. The engine's state is read after each send.
    """

    def __init__(self, leases: HeldLeases, checks_fencing: bool, send_s: float) -> None:
        self._leases = leases
        self._checks_fencing = checks_fencing
        self._send_s = send_s
        self._waiting: deque[EngineCommand] = deque()
        self._current: EngineCommand | None = None
        self._sends = 0
        self._highest_fencing_number = 0

    def submit(self, command: EngineCommand, now: float) -> list[CommandEffect]:
        """Queues a command behind the earlier ones."""
        self._waiting.append(command)
        return self._next(now) if self._current is None else []

    def sent(self, result: SendResult, now: float) -> list[CommandEffect]:
        """Called when a `SendCommand` has ended with ``result``."""
        if self._current is None:
            return []
        if result is SendResult.FENCED:
            self._leases.revoke(ENGINE_LEASE)
            return self._fail(ErrorCode.FENCED, Ran.NO, now)
        return [ReadEngine(self._current.command_id)]

    def read(
        self, reading: ObservedEngineState | None, now: float
    ) -> list[CommandEffect]:
        """Called with the engine's state, or `None` if it could not be read."""
        command = self._current
        if command is None:
            return []
        if reading is None:
            return self._retry(now)
        self._highest_fencing_number = max(
            self._highest_fencing_number, reading.fencing_number
        )
        if reading.shows(command):
            self._current = None
            return [CommandDone(command.command_id), *self._next(now)]
        return self._retry(now)

    def _next(self, now: float) -> list[CommandEffect]:
        if not self._waiting:
            return []
        self._current = self._waiting.popleft()
        self._sends = 0
        return self._send(now)

    def _retry(self, now: float) -> list[CommandEffect]:
        if self._sends >= MAX_SENDS:
            return self._fail(ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, now)
        return self._send(now)

    def _send(self, now: float) -> list[CommandEffect]:
        command = self._current
        assert command is not None
        lease = self._leases.held(ENGINE_LEASE, now)
        ran = Ran.NO if self._sends == 0 else Ran.UNKNOWN
        if lease is None or not self._lasts_long_enough(lease, now):
            return self._fail(ErrorCode.LEASE_LOST, ran, now)
        if lease.fencing_number < self._highest_fencing_number:
            self._leases.revoke(ENGINE_LEASE)
            return self._fail(ErrorCode.FENCED, ran, now)
        self._sends += 1
        return [SendCommand(command, lease.fencing_number)]

    def _lasts_long_enough(self, lease: Lease, now: float) -> bool:
        return self._checks_fencing or now + self._send_s <= lease.expires_at

    def _fail(self, code: ErrorCode, ran: Ran, now: float) -> list[CommandEffect]:
        command = self._current
        assert command is not None
        self._current = None
        message = f"engine command {command.kind.value} failed: {code.value}"
        failed = CommandFailed(command.command_id, ErrorReport(code, message, ran))
        return [failed, *self._next(now)]
