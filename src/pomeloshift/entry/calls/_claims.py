"""The fold of a stream of claims."""

from enum import Enum

import attrs
import xxhash


@attrs.frozen
class CallClaimed:
    """An entry claims the right to run a call.

    ``key`` is the digest of workspace, service and idempotency key, and
    ``fingerprint`` identifies the call that is sent under it.
    """

    key: bytes
    fingerprint: str


class ClaimState(Enum):
    """What became of a claim."""

    WON = "won"
    TAKEN = "taken"
    CONFLICT = "conflict"


@attrs.frozen
class _First:
    record_id: str
    fingerprint: str


class CallClaims:
    """The first claim of each key in the order of the log.

    claims.apply("r1", CallClaimed(key, "f"))
    claims.state_of("r1", CallClaimed(key, "f"))    # ClaimState.WON
    """

    def __init__(self) -> None:
        self._first_by_key: dict[bytes, _First] = {}

    def apply(self, record_id: str, body: CallClaimed) -> None:
        """Takes the next claim of the stream."""
        self._first_by_key.setdefault(body.key, _First(record_id, body.fingerprint))

    def state_of(self, record_id: str, body: CallClaimed) -> ClaimState | None:
        """Tells whether a claim was the first, or `None` if the key has none."""
        first = self._first_by_key.get(body.key)
        if first is None:
            return None
        if first.record_id == record_id:
            return ClaimState.WON
        if first.fingerprint != body.fingerprint:
            return ClaimState.CONFLICT
        return ClaimState.TAKEN


def claim_key(workspace: str, service: str, key: str) -> bytes:
    """Returns the digest under which a caller's key is claimed."""
    parts = (workspace, service, key)
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return xxhash.xxh3_128_digest(text.encode())
