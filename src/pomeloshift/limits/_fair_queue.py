"""Start-time fair queueing among workspaces."""

from heapq import heappop, heappush

import attrs

from ._waiting import Waiting


@attrs.define
class _Lane:
    """The queue of one workspace; ``start`` is the tag of its next request."""

    share: float = 1.0
    start: float = 0.0
    backlog: float = 0.0
    heap: list[Waiting] = attrs.field(factory=list)


class FairQueue:
    """Serves workspaces by their shares, and within one the earliest deadline."""

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane] = {}
        self._virtual = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, item: Waiting, share: float) -> None:
        """Adds a request of a workspace with that share."""
        lane = self._lanes.setdefault(item.workspace, _Lane())
        lane.share = share
        if not lane.heap:
            lane.start = max(lane.start, self._virtual)
        heappush(lane.heap, item)
        lane.backlog += item.cost
        self._count += 1

    def pop(self) -> Waiting | None:
        """Takes the next request."""
        waiting = [lane for lane in self._lanes.values() if lane.heap]
        if not waiting:
            return None
        lane = min(waiting, key=lambda lane: lane.start)
        self._virtual = max(self._virtual, lane.start)
        item = heappop(lane.heap)
        lane.start += item.cost / lane.share
        lane.backlog -= item.cost
        self._count -= 1
        self._forget_idle()
        return item

    def remove(self, request_id: str) -> bool:
        """Takes a request out whose caller has gone."""
        for lane in self._lanes.values():
            for item in lane.heap:
                if item.request_id == request_id:
                    lane.heap.remove(item)
                    lane.heap.sort()
                    lane.backlog -= item.cost
                    self._count -= 1
                    return True
        return False

    def pop_late(self, now: float) -> list[Waiting]:
        """Takes all requests out whose deadline has passed."""
        late = []
        for lane in self._lanes.values():
            while lane.heap and lane.heap[0].deadline_at <= now:
                item = heappop(lane.heap)
                lane.backlog -= item.cost
                self._count -= 1
                late.append(item)
        return late

    def work_ahead(self, workspace: str, share: float) -> float:
        """Returns the work that is served before a new request of a workspace.

        Other workspaces are served beside it by their shares, each at most with
        what it has waiting.
        """
        own = self._lanes.get(workspace)
        backlog = own.backlog if own is not None else 0.0
        lead = self._virtual_lead(own)
        rounds = backlog / share + lead
        others = sum(
            min(lane.backlog, max(0.0, rounds - self._virtual_lead(lane)) * lane.share)
            for name, lane in self._lanes.items()
            if lane.heap and name != workspace
        )
        return backlog + others

    def _virtual_lead(self, lane: _Lane | None) -> float:
        return 0.0 if lane is None else max(0.0, lane.start - self._virtual)

    def _forget_idle(self) -> None:
        idle = [
            name
            for name, lane in self._lanes.items()
            if not lane.heap and lane.start <= self._virtual
        ]
        for name in idle:
            del self._lanes[name]
