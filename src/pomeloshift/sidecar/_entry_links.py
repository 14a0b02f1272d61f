"""The entries that a sidecar reports to."""

from collections.abc import Callable, Sequence

from ..model import Instance, InstanceRole, InstanceState, Place
from ._entry_link import EntryLink


class EntryLinks:
    """Follows the live list and keeps one link to each live entry."""

    def __init__(self, place: Place, connect: Callable[[Instance], EntryLink]) -> None:
        self._place = place
        self._connect = connect
        self._links: dict[str, EntryLink] = {}

    def observe(self, instances: Sequence[Instance]) -> None:
        """Takes the live list."""
        entries = {
            instance.name: instance
            for instance in instances
            if instance.role is InstanceRole.ENTRY
        }
        for name in set(self._links) - set(entries):
            del self._links[name]
        for name, entry in entries.items():
            known = self._links.get(name)
            if known is None or known.entry.control_address != entry.control_address:
                self._links[name] = self._connect(entry)
            else:
                known.entry = entry

    def beat(self) -> None:
        """Sends a heartbeat to every entry."""
        for link in self._links.values():
            link.beat()

    def entries(self) -> list[Instance]:
        """Returns the live entries, those of the own region first."""
        live = [
            link.entry
            for link in self._links.values()
            if link.entry.state is InstanceState.LIVE
        ]
        return sorted(live, key=self._distance)

    def _distance(self, entry: Instance) -> int:
        if entry.place == self._place:
            return 0
        return 1 if entry.place.region == self._place.region else 2
