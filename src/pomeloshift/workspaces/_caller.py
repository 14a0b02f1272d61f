"""The caller of a request, as far as its key shows it."""

import attrs

from ..dispatch import Workspace


@attrs.frozen
class Caller:
    """Who sent a request and with which priority it is served.

    ``workspace`` is None for an anonymous caller and where callers have no workspaces.
    ``priority`` is that of the workspace, or of the route if the workspace has none; 0
    is the highest. ``name`` is what engines are told: the workspace's name, an empty
    name for an anonymous caller, and None where callers have no workspaces.
    """

    workspace: Workspace | None = None
    priority: int = 0
    name: str | None = None

    def may_use(self, workspace: str) -> bool:
        """Returns whether the caller may use a job that names this workspace.

        Jobs without a workspace were accepted from anonymous callers, or before the
        configuration had workspaces: every caller that is served may use them.
        """
        return self.name is None or workspace in ("", self.name)
