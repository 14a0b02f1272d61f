"""The demo's online callers."""

from random import Random
from typing import Any

import attrs
import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ..errors import Ran
from ..standins.engine import expected_answer
from ._client import DemoClient, StreamedAnswer
from ._fleet import DemoFleet
from ._plan import MODEL

MAX_TOKENS = 32
WORDS = ("needle", "thread", "seam", "spine", "stitch", "tension", "fold", "hem")


@attrs.define
class OnlineTotals:
    """What the online callers saw; times are in seconds."""

    requests: int = 0
    complete: int = 0
    errors: int = 0
    wrong: int = 0
    cut_by_drain: int = 0
    first_token_s: list[float] = attrs.field(factory=list)
    gaps_s: list[float] = attrs.field(factory=list)
    error_codes: dict[str, int] = attrs.field(factory=dict)


class OnlineLoad:
    """Sends requests at random times of a given mean rate.

    A failed request is not sent again, so that every failure is counted.
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
        """Sends ``requests`` requests and waits for their answers."""
        running = []
        for number in range(requests):
            running.append(Deferred.fromCoroutine(self._send(number)))
            await deferLater(self._reactor, self._rng.expovariate(rate_per_s))
        for answer in running:
            await answer

    async def _send(self, number: int) -> None:
        entry = self._rng.choice(self._fleet.entries)
        address = self._fleet.network.reach(
            None, entry.instance.place, entry.instance.address
        )
        key = self._fleet.keys.callers["sewing-stations"]
        body = self._make_body(number)
        began_in_drain = self.draining
        answer = await self._client.stream(f"http://{address}", key, body)
        drained = began_in_drain or self.draining
        self._count(answer, expected_answer(body), drained)

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

    def _count(self, answer: StreamedAnswer, expected: str, drained: bool) -> None:
        totals = self.totals
        totals.requests += 1
        if answer.whole and answer.text == expected:
            totals.complete += 1
            totals.first_token_s.append(answer.first_token_s or 0.0)
            totals.gaps_s.extend(answer.gaps_s)
            return
        if answer.whole or not expected.startswith(answer.text):
            totals.wrong += 1
        totals.errors += 1
        totals.cut_by_drain += drained and answer.ran != Ran.NO.value
        code = answer.error_code or "cut"
        totals.error_codes[code] = totals.error_codes.get(code, 0) + 1
