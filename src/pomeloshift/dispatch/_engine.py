"""What an entry knows of one engine."""

import attrs

from ._engine_load import EngineLoad
from ._engine_record import EngineRecord
from ._peer_loads import NO_REQUESTS, RequestCounts

# A reported load is used for this long: about as long as an online request holds a
# place.
LOAD_VALID_S = 0.6


@attrs.define(eq=False)
class Engine:
    """One incarnation of an engine, and this entry's work there.

    Times are monotonic seconds. ``avoided_until`` is set when the engine refused or
    failed; ``gone`` once its entry was removed.
    """

    record: EngineRecord
    online: int = 0
    batch: int = 0
    is_gone: bool = False
    avoided_until: float = float("-inf")
    last_byte_at: float = float("-inf")
    peers: RequestCounts = NO_REQUESTS
    _load: EngineLoad | None = None
    _load_at: float = float("-inf")
    _known_at_load: int = 0
    _unanswered: dict[int, float] = attrs.field(factory=dict)
    _next_key: int = 0

    @property
    def own(self) -> int:
        """Requests of this entry that are at the engine."""
        return self.online + self.batch

    @property
    def own_counts(self) -> RequestCounts:
        """The same by kind."""
        return RequestCounts(self.online, self.batch)

    @property
    def slots(self) -> int:
        """Requests that the engine runs at once."""
        return max(1, self.record.slots)

    @property
    def is_serving(self) -> bool:
        """Whether new requests may go there."""
        return not self.is_gone and not self.record.is_draining

    def note_load(self, load: EngineLoad, now: float) -> None:
        """Takes a load that the engine reported."""
        self._load, self._load_at, self._known_at_load = load, now, self.known

    def load_age(self, now: float) -> float:
        """Returns the seconds since the engine last reported its load."""
        return now - self._load_at

    @property
    def known(self) -> int:
        """Requests of this entry and of those that it hears from."""
        return self.own + self.peers.online + self.peers.batch

    def occupancy(self, now: float) -> float:
        """Returns an estimate of the requests that run or wait there.

        It is what entries tell of their work, and what the engine reported beyond
        that, which fades as the report grows old.
        """
        return self.known + self._unexplained(now)

    def online_occupancy(self, now: float) -> float:
        """Returns the same without batch items, which give way."""
        return self.occupancy(now) - self.batch - self.peers.batch

    def _unexplained(self, now: float) -> float:
        if self._load is None:
            return 0.0
        age = now - self._load_at
        if age >= LOAD_VALID_S:
            return 0.0
        excess = self._load.running + self._load.waiting - self._known_at_load
        return max(0, excess) * (1.0 - age / LOAD_VALID_S)

    def begin(self, now: float, is_batch: bool) -> int:
        """Counts a request that is sent; returns a key for `on_bytes` and `end`.

        A batch item was counted before, when its place was taken.
        """
        if not is_batch:
            self.online += 1
        self._next_key += 1
        self._unanswered[self._next_key] = now
        return self._next_key

    def reserve_slot(self) -> None:
        """Counts a batch item from when it is chosen, before it is sent."""
        self.batch += 1

    def release_slot(self) -> None:
        """Counts a batch item that is no longer at the engine."""
        self.batch -= 1

    def on_bytes(self, key: int, now: float) -> None:
        """Notes that bytes of a request's answer arrived."""
        self.last_byte_at = now
        self._unanswered.pop(key, None)

    def end(self, key: int, is_batch: bool) -> None:
        """Counts a request that is no longer at the engine."""
        self._unanswered.pop(key, None)
        if not is_batch:
            self.online -= 1

    def silence(self, now: float) -> float:
        """Returns how long a request has waited while the engine sent nothing at all.

        An engine that is merely full still sends pieces of other answers.
        """
        if not self._unanswered:
            return 0.0
        oldest = next(iter(self._unanswered.values()))
        return now - max(oldest, self.last_byte_at)
