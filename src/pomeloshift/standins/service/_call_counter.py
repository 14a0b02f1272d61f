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


class CallCounter:
    """Counts runs by call id, method and path."""

    def __init__(self) -> None:
        self._runs: Counter[tuple[str, str, str]] = Counter()

    def record(self, call_id: str, method: str, path: str) -> int:
        """Counts one run and returns the number of runs of all calls so far."""
        self._runs[call_id, method, path] += 1
        return self._runs.total()

    def counts(self) -> tuple[CallCount, ...]:
        """Returns the count of each call, ordered by first run."""
        return tuple(CallCount(*call, runs) for call, runs in self._runs.items())
