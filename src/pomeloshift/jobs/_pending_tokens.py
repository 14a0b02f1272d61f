"""Sums of the tokens of unfinished items."""

import attrs


@attrs.define
class PendingTokens:
    """The tokens of the unfinished items of accepted jobs, by queue and workspace.

    Handles the load of one job log: each accepted job and finished item changes one
    sum, so that the decision about a job takes the same time however many jobs wait.

        pending.add("host/jobs/", "red", 60)
        pending.of("host/jobs/", "red")  # 60
        pending.of("host/jobs/", "")  # 60: of all workspaces together
    """

    _by_queue: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def add(self, queue: str, workspace: str, tokens: int) -> None:
        """Adds tokens, or removes them if ``tokens`` is negative."""
        sums = self._by_queue.setdefault(queue, {})
        sums[workspace] = sums.get(workspace, 0) + tokens
        if sums[workspace] == 0:
            del sums[workspace]
        if not sums:
            del self._by_queue[queue]

    def of(self, queue: str, workspace: str) -> int:
        """Returns a workspace's tokens; those of all if ``workspace`` is empty."""
        sums = self._by_queue.get(queue, {})
        return sums.get(workspace, 0) if workspace else sum(sums.values())
