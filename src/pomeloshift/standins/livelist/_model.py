"""An instance list that shows each change after a lag, without I/O."""

import attrs

from ...model import Instance


@attrs.frozen
class _Change:
    """A change and the time at which readers see it.

    ``instance`` is `None` for a removal.
    """

    shown_at: float
    name: str
    instance: Instance | None


class ListModel:
    """The platform's list of live and leaving instances.

    Changes are shown ``lag_s`` seconds after they are made, and in the same order:

        listed = ListModel(lag_s=2.0)
        listed.put(instance, now=10.0)
        listed.instances(now=11.0) == ()
        listed.instances(now=12.0) == (instance,)
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self._shown: dict[str, Instance] = {}
        self._changes: list[_Change] = []

    def put(self, instance: Instance, now: float) -> None:
        """Adds an instance, or replaces the one of that name."""
        self._change(instance.name, instance, now)

    def remove(self, name: str, now: float) -> None:
        """Removes the instance of that name, if there is one."""
        self._change(name, None, now)

    def instances(self, now: float) -> tuple[Instance, ...]:
        """Returns the instances shown at ``now``, ordered by name."""
        while self._changes and self._changes[0].shown_at <= now:
            self._show(self._changes.pop(0))
        return tuple(self._shown[name] for name in sorted(self._shown))

    def _change(self, name: str, instance: Instance | None, now: float) -> None:
        shown_at = now + self.lag_s
        if self._changes:
            shown_at = max(shown_at, self._changes[-1].shown_at)
        self._changes.append(_Change(shown_at, name, instance))

    def _show(self, change: _Change) -> None:
        if change.instance is None:
            self._shown.pop(change.name, None)
        else:
            self._shown[change.name] = change.instance
