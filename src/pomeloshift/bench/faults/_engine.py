"""An engine stand-in that records its work in the history."""

from collections.abc import Callable
from random import Random
from typing import Any

from ...standins.engine import EngineServer, EngineSettings, FirstToken
from ...standins.engine._orders import EngineOrder, EngineState
from ._history import EngineCrashed, History, OrderApplied, RunEnded, RunStarted
from ._process import SimProcess

MODEL = "lm"
POISON = "poison"


class RecordedState(EngineState):
    """An engine state that reports each applied command to ``on_order``.

    It adds no instance fields, because the engine's responses contain all fields.
    """

    on_order: Callable[[EngineOrder], None] | None = None

    def apply(self, order: EngineOrder) -> None:
        """Applies a command to the engine."""
        if self.on_order is not None:
            self.on_order(order)
        EngineState.apply(self, order)


class RecordedEngine(EngineServer):
    """The engine stand-in; records starts and ends of runs, crashes and commands.

    The first word of the prompt is the marker of the caller's request or item.
    """

    def __init__(
        self,
        settings: EngineSettings,
        process: SimProcess,
        rng: Random,
        history: History,
    ) -> None:
        super().__init__(settings, process, process, rng)
        # A replacement has the same name but counts as another backend server.
        self.name = f"{settings.name}@{process.host}"
        self.process = process
        self._history = history
        self._marker_of: dict[str, str] = {}
        self.state = self._new_state()
        self.on_submit: list[Callable[[str], None]] = []
        self.on_first_token: list[Callable[[str], None]] = []

    @property
    def running(self) -> list[str]:
        """The markers of the requests that run on the engine."""
        return [self._marker_of[ident] for ident in self.model.stream_ids]

    def crash(self) -> None:
        """Crashes; the history attributes it to the first open poison request."""
        open_markers = [self._marker_of[ident] for ident in self._sessions]
        blamed = [marker for marker in open_markers if marker.startswith(POISON)]
        now = self.process.seconds()
        for marker in blamed[:1]:
            self._history.crashes.append(EngineCrashed(now, self.name, marker))
        super().crash()

    def restart(self) -> None:
        """Restarts with a new state."""
        super().restart()
        self.state = self._new_state()

    def _submit(self, session: Any, done: int) -> None:
        marker = session.generation.prompt_words[0]
        self._marker_of[session.stream_id] = marker
        now = self.process.seconds()
        self._history.engine_runs.append(RunStarted(now, self.name, marker))
        session.ended.addBoth(lambda _: self._record_end(marker))
        super()._submit(session, done)
        for hook in list(self.on_submit):
            hook(marker)

    def _record_end(self, marker: str) -> None:
        now = self.process.seconds()
        self._history.engine_ends.append(RunEnded(now, self.name, marker))

    def _on_output(self, output: Any) -> None:
        super()._on_output(output)
        if isinstance(output, FirstToken):
            for hook in list(self.on_first_token):
                hook(self._marker_of[output.stream_id])

    def _new_state(self) -> RecordedState:
        state = RecordedState(list(self.settings.models))
        state.on_order = self._record_order
        return state

    def _record_order(self, order: EngineOrder) -> None:
        now = self.process.seconds()
        self._history.orders.append(
            OrderApplied(now, self.name, order.value, order.fencing_number)
        )
