"""The addresses at which gateways receive heartbeats, published in the store."""

from typing import Any

import msgspec

from ..platform import StoreClient
from ._events import EventLog
from ._log_writer import LogWriter
from ._peer_exchange import PeerAddress, PeerExchange
from ._timing import PEER_POLL_S
from ._topic_follower import TopicFollower, TopicHandlers

TOPIC = "keyed.peers"
PARTITION = 0


class PeerDirectory:
    """Publishes this gateway's address and follows those of its peers."""

    def __init__(
        self,
        store: StoreClient,
        writer: LogWriter,
        peers: PeerExchange,
        events: EventLog,
        reactor: Any,
        clock: Any,
    ) -> None:
        self._writer = writer
        self._peers = peers
        self._events = events
        self._follower = TopicFollower(
            TOPIC,
            PARTITION,
            store,
            reactor,
            clock,
            events,
            TopicHandlers(peers.take_record),
            poll_s=PEER_POLL_S,
        )

    @property
    def is_synced(self) -> bool:
        """Whether the addresses of all gateways have been read."""
        return self._follower.is_synced

    def start(self, address: PeerAddress) -> None:
        """Publishes the address under its IP and starts to follow the topic."""
        record = (address.ip, msgspec.msgpack.encode(address))
        self._writer.append([record]).done.addErrback(self._note_not_published)
        self._follower.start()

    async def refresh(self) -> None:
        """Reads the topic at once if a gateway is heard whose address is missing.

        Without the address this gateway sends it nothing. Raises an error of the store
        if the topic cannot be read.
        """
        if self._peers.hears_unknown and self._follower.is_reachable:
            await self._follower.catch_up()

    def stop(self) -> None:
        """Stops following and publishing."""
        self._follower.stop()
        self._writer.stop()

    def _note_not_published(self, failure: Any) -> None:
        self._events.warn("address_not_published", why=failure.getErrorMessage())
