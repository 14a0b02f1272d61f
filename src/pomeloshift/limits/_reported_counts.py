"""What other processes have used, from the counters that they report."""

import attrs

# Largest number of processes whose counters are known; those without a report for the
# longest are forgotten.
MAX_PEERS = 1000


@attrs.define
class ReportedCounts:
    """Turns counters into the units to charge.

    Counters only grow, so a report that is lost, late or duplicated counts nothing
    twice:

        counts = ReportedCounts()
        counts.advance("p", 3)  # 3
        counts.advance("p", 5)  # 2
        counts.advance("p", 4)  # 0
    """

    max_peers: int = MAX_PEERS
    _counts: dict[str, int] = attrs.field(factory=dict)

    def advance(self, peer: str, count: int, is_start: bool = False) -> int:
        """Returns the units that a process has used since its last report.

        With ``is_start``, the first report of a process is only the start of its count.
        """
        known = self._counts.pop(peer, count if is_start else 0)
        self._counts[peer] = max(count, known)
        if len(self._counts) > self.max_peers:
            del self._counts[next(iter(self._counts))]
        return max(0, count - known)

    def __len__(self) -> int:
        return len(self._counts)
