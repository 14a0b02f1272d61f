"""A backend server modelled as a queue with a service rate."""

from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from ...model import Instance, LoadReport
from ...wire import SidecarReport
from ._trace import Arrival
from ._virtual_loop import VirtualLoop

# Difference between the servers' clocks and the entries' clocks.
CLOCK_OFFSET_S = 1000.0

OnFirstToken = Callable[[Arrival, bool], None]


@attrs.frozen
class ServerModel:
    """The capacity of a fake server; ``speed`` scales prefill and decoding rates.

    ``token_s`` is the time between tokens in seconds. ``cached_prefixes`` is the
    number of prefixes that the cache holds.
    """

    prefill_tokens_per_s: float = 8000.0
    token_s: float = 0.02
    slots: int = 24
    cached_prefixes: int = 6
    capacity_tokens: int = 24_000
    speed: float = 1.0


@attrs.define
class _Queued:
    arrival: Arrival
    on_first_token: OnFirstToken
    on_end: Callable[[Arrival], None]


class FakeServer:
    """Prefills prompts one at a time and decodes up to ``slots`` streams.

    A stream occupies its slot from the start of its prefill to its last token. The
    most recently used prefixes are cached.
    """

    def __init__(
        self, instance: Instance, model: ServerModel, loop: VirtualLoop
    ) -> None:
        self.instance = instance
        self._model = model
        self._loop = loop
        self._queue: deque[_Queued] = deque()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._is_prefilling = False
        self._streams = 0
        self._tokens = 0
        self._sequence = 0
        self.served_tokens = 0

    @property
    def load(self) -> float:
        """The outstanding tokens as a share of the capacity at this speed."""
        return self._tokens / (self._model.capacity_tokens * self._model.speed)

    def run(
        self,
        arrival: Arrival,
        on_first_token: OnFirstToken,
        on_end: Callable[[Arrival], None],
    ) -> None:
        """Queues a request; the callbacks report its first token and its end."""
        self._tokens += arrival.tokens
        self._queue.append(_Queued(arrival, on_first_token, on_end))
        self._start_next()

    def report(self) -> SidecarReport:
        """Returns the current load in the form of a sidecar's report."""
        self._sequence += 1
        load = LoadReport(
            online_streams=self._streams,
            online_tokens=self._tokens,
            queued_online=len(self._queue),
            itl_s=self._model.token_s / self._model.speed,
            capacity_tokens=int(self._model.capacity_tokens * self._model.speed),
            sequence=self._sequence,
            made_at_s=self._loop.now + CLOCK_OFFSET_S,
        )
        return SidecarReport(self.instance, 1, self._sequence, 0, load)

    def _start_next(self) -> None:
        if self._is_prefilling or not self._queue or self._streams >= self._model.slots:
            return
        queued = self._queue.popleft()
        self._is_prefilling = True
        self._streams += 1
        hit = self._use_prefix(queued.arrival.prefix)
        tokens = queued.arrival.prompt_tokens
        if hit:
            tokens -= queued.arrival.prefix_tokens
        rate = self._model.prefill_tokens_per_s * self._model.speed
        self._loop.after(tokens / rate, self._begin_decoding, queued, hit)

    def _begin_decoding(self, queued: _Queued, hit: bool) -> None:
        self._is_prefilling = False
        queued.on_first_token(queued.arrival, hit)
        token_s = self._model.token_s / self._model.speed
        output_s = queued.arrival.output_tokens * token_s
        self._loop.after(output_s, self._end, queued)
        self._start_next()

    def _end(self, queued: _Queued) -> None:
        self._streams -= 1
        self._tokens -= queued.arrival.tokens
        self.served_tokens += queued.arrival.tokens
        queued.on_end(queued.arrival)
        self._start_next()

    def _use_prefix(self, prefix: str) -> bool:
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._model.cached_prefixes:
            self._cache.popitem(last=False)
        return hit
