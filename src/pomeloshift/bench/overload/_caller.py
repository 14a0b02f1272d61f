"""Callers that retry requests that were rejected or timed out."""

from random import Random

import attrs

from ...errors import ErrorReport
from ..routing._virtual_loop import VirtualLoop
from ._bench_entry import BenchEntry
from ._call import Call, CallCallbacks

MAX_SENDS = 4
FIRST_TOKEN_TIMEOUT_S = 2.0


@attrs.define
class CallerTotals:
    """The counters of one workspace's callers; waits are in seconds.

    ``good`` counts requests with a complete response whose first token came within
    `FIRST_TOKEN_TIMEOUT_S`. ``given_up`` counts requests that failed after `MAX_SENDS`
    sends. ``waits`` are from the last send to the first token.
    """

    requests: int = 0
    sends: int = 0
    good: int = 0
    refused: int = 0
    given_up: int = 0
    waits: list[float] = attrs.field(factory=list)


class Caller:
    """Sends one request until it is answered, at most `MAX_SENDS` times.

    The caller retries a rejected request after the time that the response states, and
    a request without a first token within `FIRST_TOKEN_TIMEOUT_S` immediately.
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
        self._is_waiting = False

    def send(self) -> None:
        """Sends the request to a random entry."""
        self._sends += 1
        self._totals.sends += 1
        self._sent_at = self._loop.now
        self._is_waiting = True
        call = Call(
            f"{self._name}.{self._sends}",
            self._workspace,
            self._output_tokens,
            self._loop.now + FIRST_TOKEN_TIMEOUT_S,
        )
        entry = self._rng.choice(self._entries)
        number = self._sends
        callbacks = CallCallbacks(self._first_token, self._complete, self._refused)
        self._loop.after(FIRST_TOKEN_TIMEOUT_S, self._on_timeout, entry, call, number)
        entry.send(call, callbacks)

    def _first_token(self) -> None:
        self._is_waiting = False
        self._totals.waits.append(self._loop.now - self._sent_at)

    def _complete(self) -> None:
        self._totals.good += 1

    def _refused(self, error: ErrorReport) -> None:
        self._is_waiting = False
        self._totals.refused += 1
        wait_s = error.retry_after_s or 0.0
        self._retry(wait_s * self._rng.uniform(1.0, 1.5))

    def _on_timeout(self, entry: BenchEntry, call: Call, number: int) -> None:
        if not self._is_waiting or number != self._sends:
            return
        self._is_waiting = False
        entry.disconnect(call.request_id)
        self._retry(0.0)

    def _retry(self, delay_s: float) -> None:
        if self._sends >= MAX_SENDS:
            self._totals.given_up += 1
            return
        self._loop.after(delay_s, self.send)
