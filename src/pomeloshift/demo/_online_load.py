"""Sends the demo's online requests and checks their responses."""

from random import Random
from typing import Any

import attrs
import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ..errors import Ran
from ..standins.engine import expected_answer
from ._client import DemoClient, StreamedResponse
from ._fleet import DemoFleet
from ._plan import MODEL

MAX_TOKENS = 32
WORDS = ("needle", "thread", "seam", "spine", "stitch", "tension", "fold", "hem")


@attrs.define
class OnlineTotals:
    """The outcomes of the online requests; times are in seconds.

    ``wrong`` counts responses with another text than expected. ``cut_by_drain``
    counts requests that failed during the drain although they may have run.
    ``gaps_s`` are the times between tokens.
    """

    requests: int = 0
    complete: int = 0
    errors: int = 0
    wrong: int = 0
    cut_by_drain: int = 0
    first_token_s: list[float] = attrs.field(factory=list)
    gaps_s: list[float] = attrs.field(factory=list)
    error_codes: dict[str, int] = attrs.field(factory=dict)


class OnlineLoad:
    """Sends requests as a Poisson process.

    A failed request is not retried, so that every failure is counted. ``draining`` is
    set by the scenario while a backend server drains.
    """

    def __init__(
        self, fleet: DemoFleet, client: DemoClient, reactor: Any, rng: Random
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._reactor = reactor
        self._rng = rng
        self.totals = OnlineTotals()
        self.draining = False

    async def run(self, requests: int, rate_per_s: float) -> None:
        """Sends ``requests`` requests and waits for their responses."""
        running = []
        for number in range(requests):
            running.append(Deferred.fromCoroutine(self._send(number)))
            await deferLater(self._reactor, self._rng.expovariate(rate_per_s))
        for request in running:
            await request

    async def _send(self, number: int) -> None:
        entry = self._rng.choice(self._fleet.entries)
        address = self._fleet.network.address_from(
            None, entry.instance.place, entry.instance.address
        )
        key = self._fleet.keys.callers["sewing-stations"]
        body = self._make_body(number)
        started_in_drain = self.draining
        response = await self._client.stream(f"http://{address}", key, body)
        in_drain = started_in_drain or self.draining
        self._count(response, expected_answer(body), in_drain)

    def _make_body(self, number: int) -> bytes:
        words = " ".join(self._rng.choices(WORDS, k=self._rng.randint(4, 40)))
        return msgspec.json.encode(
            {
                "model": MODEL,
                "messages": [{"role": "user", "content": f"query {number}: {words}"}],
                "max_tokens": MAX_TOKENS,
                "stream": True,
            }
        )

    def _count(self, response: StreamedResponse, expected: str, in_drain: bool) -> None:
        totals = self.totals
        totals.requests += 1
        if response.complete and response.text == expected:
            totals.complete += 1
            totals.first_token_s.append(response.first_token_s or 0.0)
            totals.gaps_s.extend(response.gaps_s)
            return
        if response.complete or not expected.startswith(response.text):
            totals.wrong += 1
        totals.errors += 1
        totals.cut_by_drain += in_drain and response.ran != Ran.NO.value
        code = response.error_code or "cut"
        totals.error_codes[code] = totals.error_codes.get(code, 0) + 1
