"""The state machine of a drain."""

from enum import Enum
from typing import Protocol

import attrs
from automat import TypeMachineBuilder


class DrainState(Enum):
    """The state of a process with regard to its drain.

    A ``LINGERING`` process has announced that it leaves and still accepts new work;
    a ``DRAINING`` process refuses it. A ``DRAINED`` process has no open work.
    """

    SERVING = "serving"
    LINGERING = "lingering"
    DRAINING = "draining"
    DRAINED = "drained"
    STOPPED = "stopped"


class DrainStep(Enum):
    """A step that the process executes now.

    ``ANNOUNCE``: report the drain to readiness checks and peers. ``RELEASE_WORK``:
    release leased batch work. ``REFUSE``: refuse new work as not run. ``CLOSE``:
    close, because no work is open that closing would interrupt.
    """

    ANNOUNCE = "announce"
    RELEASE_WORK = "give_back"
    REFUSE = "refuse"
    CLOSE = "close"


class DrainInputs(Protocol):
    """The inputs of the state machine; all but `state` return steps to execute."""

    def begin(self) -> tuple[DrainStep, ...]:
        """Called when the process is asked to leave."""

    def end_linger(self) -> tuple[DrainStep, ...]:
        """Called when callers and peers have had time to see the announcement."""

    def finish(self) -> tuple[DrainStep, ...]:
        """Called when no work is open any more."""

    def stop(self) -> tuple[DrainStep, ...]:
        """Called when the process closes."""

    def state(self) -> DrainState:
        """Returns the state without changing it."""


@attrs.define
class _DrainCore:
    """The data of the machine, which is empty besides its state."""


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
    """Returns a machine in the state ``SERVING``."""
    return _machine(_DrainCore())
