"""The state replayed from a stream of claims."""

from enum import Enum

import attrs
import xxhash


@attrs.frozen
class CallClaimed:
    """An entry claims the right to run a call.

    ``key`` is the digest of workspace, service and idempotency key, and
    ``fingerprint`` identifies the call that is sent under it. ``claimed_at`` and
    ``stored_at`` are in seconds since the epoch. A claim that is copied forward
    retains its record id and ``claimed_at``.
    """

    key: bytes
    fingerprint: str
    claimed_at: float = 0.0
    stored_at: float = 0.0


class ClaimState(Enum):
    """The result of a claim.

    ``TAKEN``: an earlier claim of the same call won. ``CONFLICT``: the key was
    claimed for another call.
    """

    WON = "won"
    TAKEN = "taken"
    CONFLICT = "conflict"


@attrs.frozen
class _First:
    """The first claim of a key, with the body of its latest record."""

    record_id: str
    body: CallClaimed


class CallClaims:
    """The first claim of each key, in log order.

    claims.apply("r1", CallClaimed(key, "f"))
    claims.state_of("r1", CallClaimed(key, "f"))    # ClaimState.WON
    """

    def __init__(self) -> None:
        self._first_by_key: dict[bytes, _First] = {}

    def apply(self, record_id: str, body: CallClaimed) -> None:
        """Applies the next record of the stream."""
        first = self._first_by_key.get(body.key)
        if first is None or first.record_id == record_id:
            self._first_by_key[body.key] = _First(record_id, body)

    def state_of(self, record_id: str, body: CallClaimed) -> ClaimState | None:
        """Returns the result of a claim, or `None` if the key has no claim."""
        first = self._first_by_key.get(body.key)
        if first is None:
            return None
        if first.record_id == record_id:
            return ClaimState.WON
        if first.body.fingerprint != body.fingerprint:
            return ClaimState.CONFLICT
        return ClaimState.TAKEN

    def due_for_copy(self, stored_before: float) -> list[tuple[str, CallClaimed]]:
        """Returns the claims whose latest record is older than ``stored_before``.

        Each claim is a pair of record id and body. ``stored_before`` is in seconds
        since the epoch.
        """
        return [
            (first.record_id, first.body)
            for first in self._first_by_key.values()
            if first.body.stored_at < stored_before
        ]

    def remove_expired(self, claimed_before: float) -> None:
        """Removes the keys whose first claim is older than ``claimed_before``."""
        self._first_by_key = {
            key: first
            for key, first in self._first_by_key.items()
            if first.body.claimed_at >= claimed_before
        }


def claim_key(workspace: str, service: str, key: str) -> bytes:
    """Returns the digest of a caller's key within its workspace and service."""
    parts = (workspace, service, key)
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return xxhash.xxh3_128_digest(text.encode())
