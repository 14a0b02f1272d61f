"""The memory budget of a process."""

import attrs

from ._account import Account, Kind
from ._policy import MemoryPolicy

# An account is dropped only for one with more than this many times its progress: two
# bodies that arrive at similar rates do not displace each other.
DISPLACING_PROGRESS = 2.0


@attrs.frozen
class Decisions:
    """What became of waiting accounts: granted, refused, and dropped for others."""

    granted: tuple[Account, ...] = ()
    refused: tuple[Account, ...] = ()
    dropped: tuple[Account, ...] = ()


class MemoryBudget:
    """Decides which connections may hold how much memory.

    The sum of what is held never exceeds the limit. An incomplete request reserves what
    it needs to its end at once, so that the requests under way can always end: a body
    that does not fit waits before it is read. Where memory is short, incomplete
    requests with the least progress for the memory they hold are dropped for those with
    more, and for complete requests, which are never dropped for incomplete ones. Times
    are monotonic, in seconds.

        budget = MemoryBudget(MemoryPolicy(limit=2**26))
        account, _ = budget.open(connection, now)
        if budget.reserve(account, Kind.BODY, 4_194_304, now) is None:
            budget.wait(account, Kind.BODY, 4_194_304, now)
    """

    def __init__(self, policy: MemoryPolicy) -> None:
        self.policy = policy
        self.accounts: set[Account] = set()
        self.used = 0
        self._waiting: dict[Account, None] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether a connection waits for memory."""
        return bool(self._waiting)

    def held(self) -> dict[Kind, int]:
        """Returns the bytes held by kind."""
        sums = dict.fromkeys(Kind, 0)
        for account in self.accounts:
            for kind, size in account.held.items():
                sums[kind] += size
        return sums

    def open(
        self, owner: object, size: int, now: float
    ) -> tuple[Account | None, tuple[Account, ...]]:
        """Opens an account with ``size`` bytes and returns it and those dropped for it.

        The account is None if the connection has to be closed.
        """
        account = Account(owner, self.policy.progress_s, now)
        dropped = self.reserve(account, Kind.CONNECTION, size, now)
        if dropped is None:
            return None, ()
        self.accounts.add(account)
        return account, dropped

    def can_ever_fit(self, size: int) -> bool:
        """Whether a request of this size fits if nothing else is held."""
        return size <= self.policy.large_limit

    def reserve(
        self, account: Account, kind: Kind, size: int, now: float
    ) -> tuple[Account, ...] | None:
        """Sets what an account holds of a kind to ``size`` bytes.

        Returns the accounts that are dropped for it, or None if it does not fit; then
        nothing has changed. What is less than before always fits.
        """
        if not account.is_open:
            return None
        more = size - account.held.get(kind, 0)
        excess = self.used + more - self._limit_of(account, more)
        dropped: tuple[Account, ...] = ()
        if more > 0 and excess > 0:
            victims = self._victims(account, excess, now)
            if victims is None:
                return None
            dropped = victims
            for victim in dropped:
                self.close(victim)
        self.used += more
        account.held[kind] = size
        return dropped

    def wait(self, account: Account, kind: Kind, size: int, now: float) -> None:
        """Lets an account wait for memory that did not fit."""
        account.waits_since = now
        account.wanted = kind, size
        self._waiting[account] = None

    def decide(self, now: float) -> Decisions:
        """Grants memory to waiting accounts, and refuses those that waited too long.

        Small wants come first, then those that have waited longest.
        """
        granted: list[Account] = []
        dropped: list[Account] = []
        refused: list[Account] = []
        # What follows one that did not fit is not smaller: it is not tried, because
        # each trial looks at all accounts.
        full: set[bool] = set()
        for account in sorted(self._waiting, key=_wanted_first):
            if account.wanted is None or not account.is_open:
                continue
            kind, size = account.wanted
            found = None
            if account.is_complete not in full:
                found = self.reserve(account, kind, size, now)
            if found is not None:
                self._end_wait(account, now)
                granted.append(account)
                dropped += found
            elif now - account.waits_since >= self.policy.max_wait_s:
                self._end_wait(account, now)
                refused.append(account)
            if found is None:
                full.add(account.is_complete)
        # One that was granted is fresh, but a complete request displaces it too.
        gone = set(dropped)
        return Decisions(
            tuple(a for a in granted if a not in gone),
            tuple(a for a in refused if a not in gone),
            tuple(dropped),
        )

    def close(self, account: Account) -> None:
        """Releases all that an account holds."""
        if not account.is_open:
            return
        account.is_open = False
        self._waiting.pop(account, None)
        self.used -= account.total
        account.held.clear()
        self.accounts.discard(account)

    def least(self, now: float) -> Account | None:
        """Returns the incomplete account with the least progress, None without any."""
        incomplete = (a for a in self.accounts if not a.is_complete)
        return min(incomplete, key=lambda a: a.rank(now), default=None)

    def _end_wait(self, account: Account, now: float) -> None:
        self._waiting.pop(account, None)
        account.wanted = None
        account.note_begun(now)

    def _limit_of(self, account: Account, more: int) -> int:
        is_small = account.total + more <= self.policy.small
        if is_small or account.is_complete:
            return self.policy.limit
        return self.policy.large_limit

    def _victims(
        self, account: Account, excess: int, now: float
    ) -> tuple[Account, ...] | None:
        """Returns the accounts to drop for another, None if they do not suffice."""
        most = account.progress(now) / DISPLACING_PROGRESS
        candidates = [
            other
            for other in self.accounts
            if other is not account
            and not other.is_complete
            and (account.is_complete or other.progress(now) < most)
        ]
        candidates.sort(key=lambda other: other.rank(now))
        victims = []
        for other in candidates:
            if excess <= 0:
                break
            victims.append(other)
            excess -= other.total
        return tuple(victims) if excess <= 0 else None


def _wanted_first(account: Account) -> tuple[int, float]:
    assert account.wanted is not None
    return account.wanted[1], account.waits_since
