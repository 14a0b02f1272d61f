"""The state of one engine as an entry estimates it."""

import attrs

from ._engine_limit import EngineLimit, LimitReport
from ._engine_load import EngineLoad
from ._engine_record import EngineRecord
from ._peer_loads import NO_REQUESTS, RequestCounts

# A reported load is used for this long: about as long as an online request occupies
# a slot.
LOAD_VALID_S = 0.6
# How long an entry reports that an engine names no limit any more.
LIMIT_END_REPORTED_S = 5.0


@attrs.define(eq=False)
class Engine:
    """One incarnation of an engine, and the requests that it runs.

    ``online`` and ``batch`` count this entry's own requests, ``peers`` those that
    other entries reported. Times are monotonic seconds. ``avoided_until`` is set when
    the engine refused or failed a request, ``is_gone`` once its record was removed or
    replaced by another incarnation, ``is_leaving`` once one of its responses said that
    it is about to exit. ``may_have_restarted`` is set once a crash of this incarnation
    is known, until a report names the one that runs: ``reported_incarnation``, which
    is None while that of the record is current. ``limit`` paces the requests of all
    entries while the engine names a limit. ``tokens`` sums the tokens of this entry's
    own requests.
    """

    record: EngineRecord
    online: int = 0
    batch: int = 0
    is_gone: bool = False
    is_leaving: bool = False
    may_have_restarted: bool = False
    reported_incarnation: int | None = None
    avoided_until: float = float("-inf")
    last_byte_at: float = float("-inf")
    peers: RequestCounts = NO_REQUESTS
    limit: EngineLimit | None = None
    # When the engine last named a limit, or its end.
    _limit_named_at: float = float("-inf")
    _load: EngineLoad | None = None
    _load_at: float = float("-inf")
    _known_at_report: int = 0
    _unanswered: dict[int, float] = attrs.field(factory=dict)
    _next_key: int = 0
    tokens: int = 0

    @property
    def incarnation(self) -> int:
        """The incarnation that runs, as far as known; its record may be late."""
        if self.reported_incarnation is not None:
            return self.reported_incarnation
        return self.record.incarnation

    def note_reported(self, incarnation: int) -> None:
        """Records the incarnation that a report names."""
        is_known = incarnation == self.record.incarnation
        self.reported_incarnation = None if is_known else incarnation
        self.may_have_restarted = False

    @property
    def own(self) -> int:
        """The number of this entry's requests at the engine."""
        return self.online + self.batch

    @property
    def own_counts(self) -> RequestCounts:
        """This entry's requests at the engine, online and batch."""
        return RequestCounts(self.online, self.batch)

    @property
    def slots(self) -> int:
        """The number of requests that the engine runs concurrently, at least 1."""
        return max(1, self.record.slots)

    @property
    def is_serving(self) -> bool:
        """Whether the engine takes new requests: it neither leaves nor has left."""
        return not (self.is_gone or self.is_leaving or self.record.is_draining)

    def note_load(self, load: EngineLoad, now: float) -> None:
        """Records a load that the engine reported at ``now``."""
        self._load, self._load_at, self._known_at_report = (
            load,
            now,
            self.known_requests,
        )

    def load_age(self, now: float) -> float:
        """Returns the seconds since the last load report, infinity before any."""
        return now - self._load_at

    def note_limit(self, rate: float | None, named_at: float, now: float) -> bool:
        """Records a limit, in requests a second, or None for its end.

        ``named_at`` is when the engine named it; an older statement than the last one
        changes nothing. Returns whether the limit changed.
        """
        if named_at < self._limit_named_at:
            return False
        self._limit_named_at = named_at
        before = self.limit.rate if self.limit is not None else None
        if rate is None:
            self.limit = None
        elif self.limit is None:
            self.limit = EngineLimit(rate, accrued_at=now)
        else:
            self.limit.change_rate(rate, now)
        return rate != before

    def note_unlimited(self, sent_at: float, now: float) -> bool:
        """Records a response without a limit; returns whether this ends one.

        It says nothing if its request was sent, at ``sent_at``, before the engine last
        named a limit: it may have been overtaken.
        """
        if self.limit is None or sent_at < self._limit_named_at:
            return False
        return self.note_limit(None, now, now)

    def note_peer_limit(self, peer: str, report: LimitReport, now: float) -> bool:
        """Applies another entry's report; returns whether the limit changed."""
        if report.incarnation != self.record.incarnation:
            return False
        has_changed = self.note_limit(report.rate, report.named_at, now)
        if self.limit is not None and report.rate is not None:
            self.limit.note_peer(peer, report.sent, now)
        return has_changed

    def limit_report(self, now: float) -> LimitReport | None:
        """Returns what other entries are to know of the engine's limit, if anything."""
        incarnation, named_at = self.record.incarnation, self._limit_named_at
        if self.limit is not None:
            rate, sent = self.limit.rate, self.limit.sent
            return LimitReport(incarnation, rate, named_at, sent)
        if now - named_at < LIMIT_END_REPORTED_S:
            return LimitReport(incarnation, None, named_at)
        return None

    @property
    def known_requests(self) -> int:
        """The number of requests of this entry and of its peers at the engine."""
        return self.own + self.peers.online + self.peers.batch

    def occupancy(self, now: float) -> float:
        """Returns an estimate of the requests that run or wait at the engine.

        The estimate is the number of known requests plus an excess: the requests in the
        last load report minus those known at the time of the report. The excess decays
        linearly to 0 within `LOAD_VALID_S` of the report.
        """
        return self.known_requests + self._unattributed_load(now)

    def online_occupancy(self, now: float) -> float:
        """Returns `occupancy` without batch items, which can be preempted."""
        return self.occupancy(now) - self.batch - self.peers.batch

    def _unattributed_load(self, now: float) -> float:
        if self._load is None:
            return 0.0
        age = now - self._load_at
        if age >= LOAD_VALID_S:
            return 0.0
        excess = self._load.running + self._load.waiting - self._known_at_report
        return max(0, excess) * (1.0 - age / LOAD_VALID_S)

    def begin(self, now: float, is_batch: bool) -> int:
        """Counts a request that is sent; returns a key for `on_bytes` and `end`.

        A batch item was already counted by `reserve_slot`.
        """
        if not is_batch:
            self.online += 1
        self._next_key += 1
        self._unanswered[self._next_key] = now
        return self._next_key

    def reserve_slot(self, tokens: int = 0) -> None:
        """Counts a batch item that was chosen for the engine, before it is sent."""
        self.batch += 1
        self.tokens += tokens

    def release_slot(self, tokens: int = 0) -> None:
        """Uncounts a batch item that is no longer at the engine."""
        self.batch -= 1
        self.tokens -= tokens

    def on_bytes(self, key: int, now: float) -> None:
        """Records that bytes of a request's response arrived."""
        self.last_byte_at = now
        self._unanswered.pop(key, None)

    def end(self, key: int, is_batch: bool) -> None:
        """Removes a request that ended; a batch item also needs `release_slot`."""
        self._unanswered.pop(key, None)
        if not is_batch:
            self.online -= 1

    def unresponsive_s(self, now: float) -> float:
        """Returns for how many seconds the engine has not responded at all.

        The time runs from the engine's last byte of any response, or from the sending
        of the oldest request without bytes of a response if that is later. It is 0 if
        no request waits for its first bytes. A full engine stays responsive, because
        it sends chunks of other responses.
        """
        if not self._unanswered:
            return 0.0
        oldest = next(iter(self._unanswered.values()))
        return now - max(oldest, self.last_byte_at)
