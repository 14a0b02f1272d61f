"""The interface that claims non-idempotent calls, so that they run at most once."""

from typing import Protocol


class CallGuard(Protocol):
    """Claims the right to run a call, across all entries and the caller's retries."""

    async def claim(
        self, workspace: str, service: str, key: str, fingerprint: str
    ) -> None:
        """Claims a call; raises unless this is the first claim of the key.

        The error is a `PomeloshiftError`: one with ``ran: no`` where nothing was
        claimed, ``idempotency_conflict`` for a key that was used with another call, and
        ``outcome_unknown`` for a call that was claimed before.
        """
