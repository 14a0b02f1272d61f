"""The memory of one caller's connection."""

from typing import Any

from twisted.internet.defer import Deferred

from ..http1 import Grant, RequestHead
from ..memory import Account, Kind
from ..platform import request_id_of

# Objects of an open connection, and of a request beside its body.
CONNECTION_BYTES = 8 * 1024
REQUEST_BYTES = 8 * 1024
# An incomplete head with its objects: it may have 16 KiB and its request line 4 KiB.
HEAD_BYTES = 24 * 1024
# What a read returns, and what the system holds of a connection that is not read.
READ_BYTES = 64 * 1024
UNREAD_BYTES = 64 * 1024
# The buffer of a body grows by an eighth more than it needs.
GROWTH = 9 / 8


class HeldMemory:
    """The `ConnectionMemory` of one connection, on its account of the budget."""

    def __init__(self, shared: Any, connection: Any) -> None:
        self.connection = connection
        self.account: Account = Account(self, shared.policy.progress_s, shared.now())
        self.received = 0
        self.request_id = ""
        self.unread_s = shared.policy.unread_s
        self._shared = shared
        self._decoding: Deferred[bool] | None = None
        self._has_request = False
        self._body_since: float | None = None
        self._held_since: float | None = None

    # Reading a request

    def note_head(self, head: RequestHead) -> None:
        """Records the id of the request that is read."""
        self.request_id = request_id_of(head)

    def note_received(self, size: int) -> None:
        """Records bytes that have arrived."""
        self.received += size
        self.account.note_received(size, self._shared.now())

    def begin_head(self) -> bool:
        """Reserves memory for an incomplete head; False if there is none."""
        return self._reserve(Kind.HEAD, HEAD_BYTES)

    def begin_body(self, length: int | None) -> Grant:
        """Reserves memory for an incomplete body, None if its length is unknown."""
        # Until its memory is granted, a body may hold this much.
        least = READ_BYTES + UNREAD_BYTES
        if not self._reserve(Kind.HEAD, least):
            return Grant.REFUSED
        size = min(length or 0, self._shared.small_body)
        if length is not None and length > self._shared.small_body:
            size = length
        return self._reserve_or_wait(size)

    def begin_long_body(self, max_length: int) -> Grant:
        """Reserves memory for a body of unknown length that is not small."""
        return self._reserve_or_wait(max_length)

    def _reserve_or_wait(self, length: int) -> Grant:
        budget = self._shared.budget
        size = int(length * GROWTH)
        if self._reserve(Kind.BODY, size, is_final=False):
            self.account.note_begun(self._shared.now())
            return Grant.GRANTED
        if not budget.can_ever_fit(self.account.total + size):
            self._shared.note_refused("size", size, self.request_id)
            return Grant.REFUSED
        budget.wait(self.account, Kind.BODY, size, self._shared.now())
        self._shared.decide_soon(0.1)
        return Grant.WAITS

    def body_time_left(self, is_reading: bool) -> float:
        """Returns the time in which the next bytes of the body must arrive."""
        now = self._shared.now()
        if self._body_since is None:
            self._body_since = now
            self.received = 0
        if not is_reading:
            self._held_since = now
        elif self._held_since is not None:
            self._body_since += now - self._held_since
            self._held_since = None
        policy = self._shared.policy
        allowed_s = policy.body_pause_s + self.received / policy.body_rate
        return float(allowed_s - (now - self._body_since))

    # Complete requests

    def dispatch(self, size: int) -> bool:
        """Holds a complete request; False if there is no memory for it."""
        self.account.is_complete = self._has_request = True
        self._body_since = self._held_since = None
        self._set(Kind.HEAD, 0)
        self._set(Kind.BODY, 0)
        if self._reserve(Kind.REQUEST, size + REQUEST_BYTES):
            self._shared.decide_soon()
            return True
        self.account.is_complete = self._has_request = False
        return False

    def hold_pipelined(self, size: int) -> bool:
        """Holds bytes after a complete request; False if there is no memory."""
        return self._reserve(Kind.HEAD, size)

    def hold_response(self, size: int) -> bool:
        """Holds what the caller has not read; False if there is no memory."""
        if size:
            self.account.is_complete = True
        else:
            self.account.is_complete = self._has_request
        return self._reserve(Kind.RESPONSE, size)

    async def hold_decoded(self, size: int) -> bool:
        """Waits for memory to decode a request; False if there is none."""
        if self._reserve(Kind.DECODING, size, is_final=False):
            return True
        budget = self._shared.budget
        if not budget.can_ever_fit(self.account.total + size):
            self._shared.note_refused("decoding", size, self.request_id)
            return False
        budget.wait(self.account, Kind.DECODING, size, self._shared.now())
        self._shared.decide_soon(0.1)
        self._decoding = Deferred()
        return await self._decoding

    def end(self) -> None:
        """Releases the request, whose response has been written."""
        self._has_request = False
        self.account.is_complete = bool(self.account.held.get(Kind.RESPONSE))
        self.account.note_begun(self._shared.now())
        for kind in (Kind.REQUEST, Kind.DECODING):
            self._set(kind, 0)
        self._shared.decide_soon()

    def close(self) -> None:
        """Releases everything: the connection has ended."""
        self._shared.budget.close(self.account)
        self.wake(False)
        self._shared.decide_soon()

    def note_unread(self, unsent: int) -> None:
        """Records that the caller is disconnected because it has read nothing."""
        self._shared.note_unread(self.request_id, unsent)

    # Decisions of the budget

    def granted(self) -> None:
        """Continues what waited for memory."""
        if not self.wake(True):
            self.connection.proceed()

    def refused(self) -> None:
        """Refuses what waited for memory."""
        if not self.wake(False):
            self.connection.refuse()

    def wake(self, is_granted: bool) -> bool:
        """Wakes a request that waits to be decoded; returns whether one does."""
        decoding, self._decoding = self._decoding, None
        if decoding is not None:
            decoding.callback(is_granted)
        return decoding is not None

    def _set(self, kind: Kind, size: int) -> None:
        self._reserve(kind, size)

    def _reserve(self, kind: Kind, size: int, is_final: bool = True) -> bool:
        shared = self._shared
        dropped = shared.budget.reserve(self.account, kind, size, shared.now())
        if dropped is None:
            if is_final:
                shared.note_refused(kind.value, size, self.request_id)
            return False
        shared.drop(dropped, "memory")
        return True
