"""Claims a call by appending a record and reading it back before the call runs."""

from collections.abc import Callable
from random import Random

import attrs
from twisted.internet.defer import DeferredLock

from ...log import (
    AppendOutcomeUnknownError,
    LogExpiredError,
    LogStore,
    LogUnavailableError,
    Record,
    RecordCodec,
    StreamFollower,
)
from ...net import Clock
from ._claims import CallClaimed, CallClaims, ClaimState, claim_key
from ._errors import CallConflictError, CallOutcomeUnknownError, ClaimUnconfirmedError

KEY_LIFETIME_S = 86400.0
# The age at which a record is copied forward, as a share of the log's retention.
COPY_FORWARD_SHARE = 0.25
PAGE_RECORDS = 1000
RETRY_AFTER_S = 2.0


class _Partition:
    """One stream of claims, with the claims read so far and the read position."""

    def __init__(self, stream: str) -> None:
        self.follower = StreamFollower(stream)
        self.claims = CallClaims()
        self.lock = DeferredLock()


class CallClaimer:
    """Claims non-idempotent calls across all entries and the callers' retries.

    The first claim of a key in the log wins. The entry whose claim won runs the
    call; all others respond that the outcome is unknown. A key is valid for
    ``KEY_LIFETIME_S``. The log expires records after ``log_retention_s``, so `keep`
    copies claims forward before that.
    """

    def __init__(
        self,
        name: str,
        log: LogStore,
        partitions: int,
        rng: Random,
        clock: Clock,
        log_retention_s: float,
    ) -> None:
        self._name = name
        self._log = log
        self._rng = rng
        self._clock = clock
        self._log_retention_s = log_retention_s
        self._codec = RecordCodec([CallClaimed])
        self._partitions = [_Partition(f"calls-{n:03d}") for n in range(partitions)]

    async def claim(
        self, workspace: str, service: str, key: str, fingerprint: str
    ) -> None:
        """Claims a call; raises unless this is the first claim of the key.

        Raises `CallConflictError` for a key that was used with another call,
        `CallOutcomeUnknownError` for a call that was claimed before, and a log error
        or `ClaimUnconfirmedError` with ``ran: no`` if the log does not confirm the
        claim.
        """
        now = self._clock.wall()
        digest = claim_key(workspace, service, key)
        body = CallClaimed(digest, fingerprint, now, now)
        number = int.from_bytes(body.key[:4], "big") % len(self._partitions)
        partition = self._partitions[number]
        await self._catch_up(partition)
        record_id = f"{self._name}-{self._rng.getrandbits(64):016x}"
        state = partition.claims.state_of(record_id, body)
        if state is None:
            state = await self._append(partition, record_id, body)
        _check(state, key)

    async def keep(self, is_owner: Callable[[int], bool]) -> None:
        """Copies forward claims whose records expire soon; removes expired keys.

        ``is_owner`` returns whether this entry owns the partition with that number.
        Raises a log error, after which the next call copies what is still due.
        """
        now = self._clock.wall()
        for number, partition in enumerate(self._partitions):
            if is_owner(number):
                await self._copy_forward(partition, now)

    async def _copy_forward(self, partition: _Partition, now: float) -> None:
        await self._catch_up(partition)
        partition.claims.remove_expired(now - KEY_LIFETIME_S)
        due = partition.claims.due_for_copy(
            now - COPY_FORWARD_SHARE * self._log_retention_s
        )
        if not due:
            return
        payloads = [
            self._codec.encode(Record(record_id, attrs.evolve(body, stored_at=now)))
            for record_id, body in due
        ]
        await self._log.append(partition.follower.stream, payloads)
        await self._catch_up(partition)

    async def _append(
        self, partition: _Partition, record_id: str, body: CallClaimed
    ) -> ClaimState | None:
        payload = self._codec.encode(Record(record_id, body))
        try:
            await self._log.append(partition.follower.stream, [payload])
        except AppendOutcomeUnknownError as exc:
            raise _unconfirmed_error() from exc
        try:
            await self._catch_up(partition)
        except LogUnavailableError as exc:
            raise _unconfirmed_error() from exc
        return partition.claims.state_of(record_id, body)

    async def _catch_up(self, partition: _Partition) -> None:
        await partition.lock.acquire()
        try:
            while await self._read_page(partition):
                pass
        finally:
            partition.lock.release()

    async def _read_page(self, partition: _Partition) -> bool:
        follower = partition.follower
        try:
            page = await self._log.read(
                follower.stream, follower.next_offset, PAGE_RECORDS
            )
        except LogExpiredError as exc:
            follower.next_offset = exc.first_offset
            return True
        for stored in follower.take_page(page):
            record = self._codec.decode(stored.data)
            partition.claims.apply(record.record_id, record.body)
        return follower.is_behind


def _check(state: ClaimState | None, key: str) -> None:
    if state is ClaimState.WON:
        return
    if state is ClaimState.CONFLICT:
        raise CallConflictError(f"the key {key!r} was used with another call")
    if state is ClaimState.TAKEN:
        raise CallOutcomeUnknownError(
            f"a call with the key {key!r} was claimed before; it is not run again"
        )
    raise _unconfirmed_error()


def _unconfirmed_error() -> ClaimUnconfirmedError:
    return ClaimUnconfirmedError(
        "the log did not confirm the claim; the call was not run",
        retry_after_s=RETRY_AFTER_S,
    )
