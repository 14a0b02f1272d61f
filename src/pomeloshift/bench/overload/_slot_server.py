"""A backend server that runs a fixed number of streams and queues the rest."""

from collections import deque
from collections.abc import Callable

import attrs

from ...model import Instance, LoadReport
from ...wire import SidecarReport
from ..routing._virtual_loop import VirtualLoop

SLOTS = 16
PREFILL_S = 0.05
TOKEN_S = 0.02
TOKENS_PER_STREAM = 200


@attrs.define(eq=False)
class Stream:
    """One attempt at a server, with callbacks for its first token and its end."""

    attempt_id: str
    output_tokens: int
    on_first_token: Callable[[], None]
    on_end: Callable[[], None]
    is_cancelled: bool = False
    is_running: bool = False

    @property
    def service_s(self) -> float:
        """The time for which the stream occupies a slot, in seconds."""
        return PREFILL_S + self.output_tokens * TOKEN_S


class SlotServer:
    """Serves streams in order of arrival and rejects them when the queue is full.

    The queue is full when ``max_queue`` streams are waiting; `None` means no bound.
    """

    def __init__(
        self, instance: Instance, loop: VirtualLoop, max_queue: int | None
    ) -> None:
        self.instance = instance
        self._loop = loop
        self._max_queue = max_queue
        self._queue: deque[Stream] = deque()
        self._streams: dict[str, Stream] = {}
        self._running = 0
        self._sequence = 0

    def offer(self, stream: Stream) -> bool:
        """Queues a stream and returns true, or returns false if the queue is full.

        If the attempt is known already, its stream gets the new callbacks.
        """
        known = self._streams.get(stream.attempt_id)
        if known is not None:
            known.on_first_token = stream.on_first_token
            known.on_end = stream.on_end
            return True
        if self._max_queue is not None and len(self._queue) >= self._max_queue:
            return False
        self._streams[stream.attempt_id] = stream
        self._queue.append(stream)
        self._run_next()
        return True

    def cancel(self, attempt_id: str) -> None:
        """Cancels the stream of an attempt; an unknown attempt is ignored."""
        stream = self._streams.pop(attempt_id, None)
        if stream is None:
            return
        stream.is_cancelled = True
        if stream.is_running:
            self._running -= 1
        else:
            self._queue.remove(stream)
        self._run_next()

    def report(self) -> SidecarReport:
        """Returns the current load in the form of a sidecar's report."""
        self._sequence += 1
        waiting = len(self._queue)
        load = LoadReport(
            online_streams=self._running,
            online_tokens=(self._running + waiting) * TOKENS_PER_STREAM,
            queued_online=waiting,
            itl_s=TOKEN_S,
            capacity_tokens=SLOTS * TOKENS_PER_STREAM,
            sequence=self._sequence,
            made_at_s=self._loop.now + 1.0,
        )
        return SidecarReport(self.instance, 1, self._sequence, 0, load)

    def _run_next(self) -> None:
        while self._queue and self._running < SLOTS:
            stream = self._queue.popleft()
            stream.is_running = True
            self._running += 1
            self._loop.after(PREFILL_S, self._first_token, stream)
            self._loop.after(stream.service_s, self._end, stream)

    def _first_token(self, stream: Stream) -> None:
        if not stream.is_cancelled:
            stream.on_first_token()

    def _end(self, stream: Stream) -> None:
        if stream.is_cancelled:
            return
        del self._streams[stream.attempt_id]
        self._running -= 1
        stream.on_end()
        self._run_next()
