"""Commands that change what an engine serves."""

from enum import Enum

import attrs

from ._errors import OldFencingNumberError
from ._settings import EngineSettings


class OrderKind(Enum):
    """What a command changes."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_VERSION = "change_version"
    CHANGE_ROLE = "change_role"


class EngineRole(Enum):
    """Whether the engine accepts streams."""

    SERVING = "serving"
    STANDBY = "standby"


@attrs.frozen
class EngineOrder:
    """A command with the fencing token of the lease under which it is sent.

    ``value`` is the name of a model or an adapter, a version, or a role.
    """

    kind: OrderKind
    fencing_number: int
    value: str


@attrs.define
class EngineState:
    """What the engine serves now.

    ``fencing_number`` is the highest fencing token of the commands applied so far.
    """

    models: list[str]
    adapters: list[str] = attrs.field(factory=list)
    version: str = "1"
    role: EngineRole = EngineRole.SERVING
    fencing_number: int = 0

    def check(self, order: EngineOrder, settings: EngineSettings) -> None:
        """Raises `OldFencingNumberError` if the command's fencing token is too low.

        An engine without ``checks_fencing`` accepts every command.
        """
        if settings.checks_fencing and order.fencing_number < self.fencing_number:
            raise OldFencingNumberError(
                f"fencing token {order.fencing_number} is below {self.fencing_number}"
            )

    def apply(self, order: EngineOrder) -> None:
        """Applies a command."""
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        if order.kind is OrderKind.LOAD_MODEL:
            _add(self.models, order.value)
        elif order.kind is OrderKind.UNLOAD_MODEL:
            self.models = [m for m in self.models if m != order.value]
        elif order.kind is OrderKind.LOAD_ADAPTER:
            _add(self.adapters, order.value)
        elif order.kind is OrderKind.CHANGE_VERSION:
            self.version = order.value
        else:
            self.role = EngineRole(order.value)


def _add(names: list[str], name: str) -> None:
    if name not in names:
        names.append(name)
