"""The configuration that one process has applied."""

import attrs

from ._configuration import Configuration
from ._document import decode_configuration


@attrs.define
class ConfigHolder:
    """Applies only higher versions, and tracks which peers have a newer one.

        holder = ConfigHolder()
        holder.offer(3, document)           # True: applied
        holder.offer(2, older)              # False: never reverts
        holder.observe("entry-2", 5)        # a peer reported version 5
        holder.next_pull()                  # "entry-2"

    Versions may come from the log, from peers or from pushes, in any order.
    """

    version: int = 0
    document: bytes = b""
    current: Configuration | None = None
    _versions_by_peer: dict[str, int] = attrs.field(factory=dict)

    @property
    def newest_seen(self) -> int:
        """The highest of this process's version and those that peers reported."""
        return max([self.version, *self._versions_by_peer.values()])

    def offer(self, version: int, document: bytes) -> bool:
        """Applies a configuration if its version is higher; returns whether it did.

        Raises `ConfigDocumentError` for bytes that are not a configuration.
        """
        if version <= self.version or not document:
            return False
        self.current = decode_configuration(document)
        self.document = document
        self.version = version
        self._drop_outdated_peers()
        return True

    def observe(self, peer: str, version: int) -> bool:
        """Records the version of a peer; returns whether it is newer than ours."""
        if version <= self.version:
            self._versions_by_peer.pop(peer, None)
            return False
        self._versions_by_peer[peer] = version
        return True

    def remove_peer(self, peer: str) -> None:
        """Removes a peer's version; `next_pull` no longer returns this peer."""
        self._versions_by_peer.pop(peer, None)

    def next_pull(self) -> str | None:
        """Returns the peer with the highest version, or `None` if none is ahead."""
        if not self._versions_by_peer:
            return None
        return max(self._versions_by_peer, key=lambda p: (self._versions_by_peer[p], p))

    def _drop_outdated_peers(self) -> None:
        self._versions_by_peer = {
            peer: version
            for peer, version in self._versions_by_peer.items()
            if version > self.version
        }
