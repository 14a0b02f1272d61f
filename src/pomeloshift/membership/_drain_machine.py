"""The states of a planned stop."""

from enum import Enum
from typing import Protocol

import attrs
from automat import TypeMachineBuilder


class DrainState(Enum):
    """Where a process is in its planned stop.

    A ``LINGERING`` process has announced that it leaves and still takes new work; a
    ``DRAINING`` one refuses it.
    """

    SERVING = "serving"
    LINGERING = "lingering"
    DRAINING = "draining"
    DRAINED = "drained"
    STOPPED = "stopped"


class DrainStep(Enum):
    """What the process has to do now.

    ``ANNOUNCE``: tell readiness checks and peers. ``RELEASE_WORK``: hand batch work
    back. ``REFUSE``: refuse new work as not run. ``CLOSE``: nothing is open any more,
    so that closing cuts nothing off.
    """

    ANNOUNCE = "announce"
    RELEASE_WORK = "give_back"
    REFUSE = "refuse"
    CLOSE = "close"


class DrainInputs(Protocol):
    """What a planned stop reacts to."""

    def begin(self) -> tuple[DrainStep, ...]:
        """The process is asked to leave."""

    def end_linger(self) -> tuple[DrainStep, ...]:
        """Callers and peers have had the time to notice."""

    def finish(self) -> tuple[DrainStep, ...]:
        """Nothing is open any more."""

    def stop(self) -> tuple[DrainStep, ...]:
        """The process has closed."""

    def state(self) -> DrainState:
        """Returns the state."""


@attrs.define
class _DrainCore:
    """The machine keeps no data besides its state."""


def _build_machine() -> TypeMachineBuilder[DrainInputs, _DrainCore]:
    inputs = DrainInputs
    builder = TypeMachineBuilder(DrainInputs, _DrainCore)
    states = {state: builder.state(state.value) for state in DrainState}
    serving, lingering, draining, drained, stopped = states.values()
    announce = (DrainStep.ANNOUNCE, DrainStep.RELEASE_WORK)
    serving.upon(inputs.begin).to(lingering).returns(announce)
    lingering.upon(inputs.end_linger).to(draining).returns((DrainStep.REFUSE,))
    draining.upon(inputs.finish).to(drained).returns((DrainStep.CLOSE,))
    drained.upon(inputs.stop).to(stopped).returns(())
    for state in (lingering, draining, drained, stopped):
        state.upon(inputs.begin).loop().returns(())
    for state in (serving, draining, drained, stopped):
        state.upon(inputs.end_linger).loop().returns(())
    for state in (serving, lingering, drained, stopped):
        state.upon(inputs.finish).loop().returns(())
    for state in (serving, lingering, draining):
        state.upon(inputs.stop).to(stopped).returns((DrainStep.REFUSE,))
    stopped.upon(inputs.stop).loop().returns(())
    for name, state in states.items():
        state.upon(inputs.state).loop().returns(name)
    return builder


_machine = _build_machine().build()


def new_drain() -> DrainInputs:
    """Returns the machine of a process that serves."""
    return _machine(_DrainCore())
