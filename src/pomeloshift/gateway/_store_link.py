"""Keeps the store within reach, if need be through another gateway."""

from collections.abc import Callable
from typing import Any

import attrs

from ..dispatch import DIRECT, StorePath
from ..platform import StoreClient
from ._events import EventLog


@attrs.define
class StoreLink:
    """Tells the store's client which address to call.

    ``relays`` returns the addresses of the gateways that the store serves.
    """

    store: StoreClient
    address: str
    path: StorePath
    relays: Callable[[], frozenset[str]]
    events: EventLog
    clock: Any

    def attach(self) -> None:
        """Lets the client ask for addresses and tell what became of its calls."""
        self.store.choose_address = self._choose
        self.store.on_address = self._record_call

    async def probe(self) -> None:
        """Finds out when the store answers this gateway itself again."""
        if not self.path.is_direct and await self.store.answers_directly():
            self._record_call(self.address, True)

    def _choose(self) -> str:
        self.path.set_relays(self.relays())
        choice = self.path.choose(self.clock.monotonic())
        return self.address if choice == DIRECT else choice

    def _record_call(self, address: str, has_worked: bool) -> None:
        choice = DIRECT if address == self.address else address
        was_direct = self.path.is_direct
        if has_worked:
            self.path.worked(choice)
        else:
            self.path.failed(choice, self.clock.monotonic())
        if self.path.is_direct != was_direct:
            self.events.warn(
                "store_path_changed",
                is_straight=self.path.is_direct,
                relays=len(self.relays()),
            )
