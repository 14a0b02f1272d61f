"""Callers that send again what was refused or came too late."""

from random import Random

import attrs

from ...errors import ErrorReport
from ..routing._virtual_loop import VirtualLoop
from ._bench_entry import BenchEntry
from ._call import Call, CallWatch

MAX_SENDS = 4
PATIENCE_S = 2.0


@attrs.define
class CallerTotals:
    """What the callers of one workspace saw; waits are in seconds.

    ``good`` counts requests whose first token came within the callers' patience and
    whose answer was whole; ``waits`` are from the last sending to the first token.
    """

    requests: int = 0
    sends: int = 0
    good: int = 0
    refused: int = 0
    given_up: int = 0
    waits: list[float] = attrs.field(factory=list)


class Caller:
    """Sends one request until it is answered or was sent often enough.

    A refused request is sent again when the answer says so, and one without a first
    token within the caller's patience at once.
    """

    def __init__(
        self,
        name: str,
        workspace: str,
        output_tokens: int,
        entries: list[BenchEntry],
        totals: CallerTotals,
        loop: VirtualLoop,
        rng: Random,
    ) -> None:
        self._name = name
        self._workspace = workspace
        self._output_tokens = output_tokens
        self._entries = entries
        self._totals = totals
        self._loop = loop
        self._rng = rng
        self._sends = 0
        self._sent_at = 0.0
        self._waiting = False

    def send(self) -> None:
        """Sends the request to any entry."""
        self._sends += 1
        self._totals.sends += 1
        self._sent_at = self._loop.now
        self._waiting = True
        call = Call(
            f"{self._name}.{self._sends}",
            self._workspace,
            self._output_tokens,
            self._loop.now + PATIENCE_S,
        )
        entry = self._rng.choice(self._entries)
        number = self._sends
        watch = CallWatch(self._first_token, self._complete, self._refused)
        self._loop.after(PATIENCE_S, self._lose_patience, entry, call, number)
        entry.send(call, watch)

    def _first_token(self) -> None:
        self._waiting = False
        self._totals.waits.append(self._loop.now - self._sent_at)

    def _complete(self) -> None:
        self._totals.good += 1

    def _refused(self, error: ErrorReport) -> None:
        self._waiting = False
        self._totals.refused += 1
        wait_s = error.retry_after_s or 0.0
        self._send_again(wait_s * self._rng.uniform(1.0, 1.5))

    def _lose_patience(self, entry: BenchEntry, call: Call, number: int) -> None:
        if not self._waiting or number != self._sends:
            return
        self._waiting = False
        entry.hang_up(call.request_id)
        self._send_again(0.0)

    def _send_again(self, delay_s: float) -> None:
        if self._sends >= MAX_SENDS:
            self._totals.given_up += 1
            return
        self._loop.after(delay_s, self.send)
