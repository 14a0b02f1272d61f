"""Requests from other entries the counts that they have not yet stored."""

from collections.abc import Callable, Sequence
from typing import Any

import attrs
import msgspec
import treq
from loguru import logger
from twisted.internet.defer import Deferred, gatherResults
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from ...model import Instance
from ...net._bounded_body import read_bounded
from ...report import BurnSummary

PENDING_PATH = "/admin/v1/burn/pending"
TIMEOUT_S = 2.0
HTTP_OK = 200
MAX_SUMMARY_BYTES = 4 * 1024 * 1024


@attrs.frozen
class PeerSummaries:
    """The summaries of the entries that responded.

    ``answered`` holds the names of these entries and ``unreachable`` the names of the
    entries that did not respond.
    """

    summaries: tuple[BurnSummary, ...]
    answered: tuple[str, ...]
    unreachable: tuple[str, ...]


class BurnPeers:
    """Queries the other live entries through their administration API."""

    def __init__(
        self,
        name: str,
        entries: Callable[[], Sequence[Instance]],
        internal_key: str,
        reactor: Any,
    ) -> None:
        self._name = name
        self._reactor = reactor
        self._entries = entries
        self._headers = Headers({"authorization": [f"Bearer {internal_key}"]})
        self._pool = HTTPConnectionPool(reactor, persistent=False)
        self._agent: Any = Agent(reactor, connectTimeout=TIMEOUT_S, pool=self._pool)

    async def ask(self) -> PeerSummaries:
        """Queries all other entries concurrently.

        ``TIMEOUT_S`` limits the wait for each head and each body.
        """
        peers = [entry for entry in self._entries() if entry.name != self._name]
        found = await gatherResults(
            [Deferred.fromCoroutine(self._ask_one(peer)) for peer in peers]
        )
        pairs = list(zip(peers, found, strict=True))
        return PeerSummaries(
            tuple(summary for _, summary in pairs if summary is not None),
            tuple(peer.name for peer, summary in pairs if summary is not None),
            tuple(peer.name for peer, summary in pairs if summary is None),
        )

    async def _ask_one(self, peer: Instance) -> BurnSummary | None:
        try:
            response = await treq.get(
                f"http://{peer.address}{PENDING_PATH}",
                agent=self._agent,
                headers=self._headers,
                timeout=TIMEOUT_S,
                unbuffered=True,
            )
            body = read_bounded(response, MAX_SUMMARY_BYTES)
            content = await body.addTimeout(TIMEOUT_S, self._reactor)
            if response.code != HTTP_OK:
                raise ValueError(f"status {response.code}")
            return msgspec.json.decode(content, type=BurnSummary)
        except Exception as exc:
            logger.info("event=burn_peer_lost peer={} cause={!r}", peer.name, exc)
            return None
