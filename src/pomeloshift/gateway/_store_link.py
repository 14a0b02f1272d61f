"""Chooses the path to the store: direct, or relayed by another gateway."""

from collections.abc import Callable
from typing import Any

import attrs

from ..dispatch import DIRECT, StorePath
from ..platform import StoreClient
from ._events import EventLog


@attrs.define
class StoreLink:
    """Chooses the address that the store's client calls.

    ``address`` is the store's own address. ``relays`` returns the addresses of the
    gateways that reach the store directly and relay calls to it.
    """

    store: StoreClient
    address: str
    path: StorePath
    relays: Callable[[], frozenset[str]]
    events: EventLog
    clock: Any

    def attach(self) -> None:
        """Registers callbacks with the client: for addresses and outcomes of calls."""
        self.store.choose_address = self._choose
        self.store.on_address = self._record_call

    async def probe(self) -> None:
        """Returns to the direct path once the store responds on it again."""
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
            self.path.record_success(choice)
        else:
            self.path.record_failure(choice, self.clock.monotonic())
        if self.path.is_direct != was_direct:
            self.events.warn(
                "store_path_changed",
                is_straight=self.path.is_direct,
                relays=len(self.relays()),
            )
