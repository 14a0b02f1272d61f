"""Counts how often each call of a plain service was run."""

from collections import Counter

import attrs


@attrs.frozen
class CallCount:
    """One call and the number of times it was run."""

    call_id: str
    method: str
    path: str
    runs: int


class CallLedger:
    """Keeps the runs of calls by their call id."""

    def __init__(self) -> None:
        self._runs: Counter[tuple[str, str, str]] = Counter()

    def record(self, call_id: str, method: str, path: str) -> int:
        """Counts one run and returns the number of all runs so far."""
        self._runs[call_id, method, path] += 1
        return self._runs.total()

    def counts(self) -> tuple[CallCount, ...]:
        """Returns all calls in the order of their first run."""
        return tuple(CallCount(*call, runs) for call, runs in self._runs.items())
