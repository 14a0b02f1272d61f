"""Fetches newer configurations from the entries that reported their versions."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

from loguru import logger
from twisted.internet.defer import ensureDeferred

from ...config import ConfigHolder
from ...errors import PomeloshiftError
from ...wire import ConfigDocument

Pull = Callable[[str], Awaitable[ConfigDocument]]


class Puller:
    """Pulls from one peer at a time, from the one with the highest version first.

    ``pull`` requests a peer's configuration; if it is `None`, ``refresh`` reads the log
    instead. ``offer`` applies the configuration that a peer replied with.
    """

    def __init__(
        self,
        name: str,
        holder: ConfigHolder,
        pull: Pull | None,
        offer: Callable[[ConfigDocument], bool],
        refresh: Callable[[], Awaitable[None]],
        rng: Random,
    ) -> None:
        self._name = name
        self._holder = holder
        self._pull = pull
        self._offer = offer
        self._refresh = refresh
        self._rng = rng
        self._is_pulling = False

    def fetch(self) -> None:
        """Starts fetching the newer versions of peers, unless a fetch is running."""
        if not self._is_pulling:
            self._is_pulling = True
            ensureDeferred(self._fetch_all())

    async def ask_any(self, names: Sequence[str]) -> None:
        """Pulls from a random peer; used by a process without a configuration."""
        peers = [name for name in names if name != self._name]
        if self._pull is not None and peers:
            await self._pull_from(self._rng.choice(peers))

    async def _fetch_all(self) -> None:
        try:
            while (peer := self._holder.next_pull()) is not None:
                await self._pull_from(peer)
        finally:
            self._is_pulling = False

    async def _pull_from(self, peer: str) -> None:
        try:
            if self._pull is None:
                await self._refresh()
            else:
                self._offer(await self._pull(peer))
        except PomeloshiftError as exc:
            logger.info(
                "event=config_pull_failed peer={} code={}", peer, exc.code.value
            )
        except Exception:
            logger.exception("event=config_pull_failed peer={}", peer)
        finally:
            self._holder.remove_peer(peer)
