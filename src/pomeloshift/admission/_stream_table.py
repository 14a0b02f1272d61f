"""The streams that admission knows, by priority and phase."""

from ..model import LoadReport
from ._messages import StreamOffered
from ._stream import Phase, Stream

Group = dict[str, Stream]


class StreamTable:
    """Streams in groups by priority and phase, each in the order of entry."""

    def __init__(self) -> None:
        self._streams: dict[str, Stream] = {}
        self._groups: dict[tuple[bool, Phase], Group] = {
            (online, phase): {} for online in (True, False) for phase in Phase
        }
        self.get = self._streams.get
        self.online_waiting = self._groups[True, Phase.WAITING]
        self.online_prefill = self._groups[True, Phase.PREFILL]
        self.online_decoding = self._groups[True, Phase.DECODING]
        self.batch_waiting = self._groups[False, Phase.WAITING]
        self.batch_prefill = self._groups[False, Phase.PREFILL]
        self.batch_decoding = self._groups[False, Phase.DECODING]
        self.batch_preempted = self._groups[False, Phase.PREEMPTED]

    def add(self, offer: StreamOffered, now: float) -> Stream:
        """Adds a new stream in the waiting phase."""
        stream = Stream(offer, offer.prompt_tokens, changed_at=now)
        self._streams[offer.stream_id] = stream
        self._group(stream)[offer.stream_id] = stream
        return stream

    def move(self, stream: Stream, phase: Phase, now: float) -> None:
        """Moves a stream to another phase."""
        del self._group(stream)[stream.stream_id]
        stream.phase = phase
        stream.changed_at = now
        self._group(stream)[stream.stream_id] = stream

    def remove(self, stream: Stream) -> None:
        """Removes a stream."""
        del self._group(stream)[stream.stream_id]
        del self._streams[stream.stream_id]

    @property
    def has_online(self) -> bool:
        """Whether any online stream waits or runs."""
        return bool(self.online_waiting or self.online_running)

    @property
    def online_running(self) -> int:
        """The number of online streams at the engine."""
        return len(self.online_prefill) + len(self.online_decoding)

    @property
    def batch_running(self) -> int:
        """The number of batch streams at the engine."""
        return len(self.batch_prefill) + len(self.batch_decoding)

    @property
    def decoding(self) -> int:
        """The number of streams that get a token in each step."""
        return len(self.online_decoding) + len(self.batch_decoding)

    @property
    def has_prefill(self) -> bool:
        """Whether any prompt is in prefill."""
        return bool(self.online_prefill or self.batch_prefill)

    @property
    def has_suspect(self) -> bool:
        """Whether a suspect runs; suspects run one at a time."""
        running = (
            self.online_prefill,
            self.online_decoding,
            self.batch_prefill,
            self.batch_decoding,
        )
        return any(s.offer.alone for group in running for s in group.values())

    def load_report(
        self, itl_s: float, capacity_tokens: int, sequence: int
    ) -> LoadReport:
        """Returns the load of all streams, running or not.

        ``itl_s`` is the time between tokens in seconds, and ``capacity_tokens`` the
        number of tokens of online streams that the engine can hold.
        """
        online = [s for s in self._streams.values() if s.is_online]
        batch = [s for s in self._streams.values() if not s.is_online]
        return LoadReport(
            online_streams=len(online),
            batch_streams=len(batch),
            online_tokens=sum(s.tokens_left for s in online),
            batch_tokens=sum(s.tokens_left for s in batch),
            queued_online=len(self.online_waiting),
            itl_s=itl_s,
            capacity_tokens=capacity_tokens,
            sequence=sequence,
        )

    def _group(self, stream: Stream) -> Group:
        return self._groups[stream.is_online, stream.phase]
