"""Start-time fair queueing among workspaces."""

from heapq import heappop, heappush

import attrs

from ._waiting import Waiting


@attrs.define
class _Flow:
    """The queue of one workspace.

    ``share`` is its weight, ``start`` the virtual start time of its next request and
    ``backlog`` the cost of its queued requests.
    """

    share: float = 1.0
    start: float = 0.0
    backlog: float = 0.0
    heap: list[Waiting] = attrs.field(factory=list)


class FairQueue:
    """Queues requests; serves workspaces by share, each by earliest deadline.

    Designed for floods from one workspace, which must not delay the others. Costs are
    in any unit that is the same for all requests.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, item: Waiting, share: float) -> None:
        """Adds a request; ``share`` is the weight of its workspace from now on."""
        flow = self._flows.setdefault(item.workspace, _Flow())
        flow.share = share
        if not flow.heap:
            flow.start = max(flow.start, self._virtual_time)
        heappush(flow.heap, item)
        flow.backlog += item.cost
        self._count += 1

    def pop(self) -> Waiting | None:
        """Removes and returns the next request, `None` if the queue is empty."""
        waiting = [flow for flow in self._flows.values() if flow.heap]
        if not waiting:
            return None
        flow = min(waiting, key=lambda flow: flow.start)
        self._virtual_time = max(self._virtual_time, flow.start)
        item = heappop(flow.heap)
        flow.start += item.cost / flow.share
        flow.backlog -= item.cost
        self._count -= 1
        self._remove_idle()
        return item

    def remove(self, request_id: str) -> bool:
        """Removes a request; returns whether it was queued."""
        for flow in self._flows.values():
            for item in flow.heap:
                if item.request_id == request_id:
                    flow.heap.remove(item)
                    flow.heap.sort()
                    flow.backlog -= item.cost
                    self._count -= 1
                    return True
        return False

    def pop_expired(self, now: float) -> list[Waiting]:
        """Removes and returns all requests whose deadline has passed."""
        expired = []
        for flow in self._flows.values():
            while flow.heap and flow.heap[0].deadline_at <= now:
                item = heappop(flow.heap)
                flow.backlog -= item.cost
                self._count -= 1
                expired.append(item)
        return expired

    def work_ahead(self, workspace: str, share: float) -> float:
        """Returns the cost that is served before a new request of a workspace.

        It is the workspace's own backlog, plus what the other workspaces are served
        by their shares in the meantime, each up to its backlog.
        """
        own = self._flows.get(workspace)
        backlog = own.backlog if own is not None else 0.0
        lead = self._virtual_lead(own)
        rounds = backlog / share + lead
        others = sum(
            min(flow.backlog, max(0.0, rounds - self._virtual_lead(flow)) * flow.share)
            for name, flow in self._flows.items()
            if flow.heap and name != workspace
        )
        return backlog + others

    def _virtual_lead(self, flow: _Flow | None) -> float:
        return 0.0 if flow is None else max(0.0, flow.start - self._virtual_time)

    def _remove_idle(self) -> None:
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.heap and flow.start <= self._virtual_time
        ]
        for name in idle:
            del self._flows[name]
