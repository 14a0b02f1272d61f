"""The latencies between the demo's instances."""

from typing import Any

import attrs

from ..model import Instance, Place
from ..net._list_client import LiveListClient
from ._link import Link
from ._plan import BETWEEN_REGIONS_S, BETWEEN_ZONES_S, LINK_BYTES_PER_S, TO_CALLERS_S
from ._relay import Path, Relay

CONTROL_SCHEME = "tcp://"


class Network:
    """Relays between availability zones, made when they are first needed.

    ``links`` holds the paid link for each direction between two regions.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._relays: dict[tuple[Place | None, str], Relay] = {}
        self.links: dict[tuple[str, str], Link] = {}

    @property
    def cross_region_bytes(self) -> int:
        """The bytes that have crossed the paid link."""
        return sum(link.bytes_sent for link in self.links.values())

    def reach(self, source: Place | None, target: Place, address: str) -> str:
        """Returns the address at which ``source`` reaches ``address``.

        Callers have no place; their source is `None`.
        """
        if source == target:
            return address
        relay = self._relays.get((source, address))
        if relay is None:
            port = int(address.rsplit(":", 1)[1])
            relay = Relay(self._reactor, port, self._path(source, target))
            self._relays[source, address] = relay
        return f"127.0.0.1:{relay.port}"

    async def stop(self) -> None:
        """Closes all relays."""
        for relay in self._relays.values():
            await relay.stop()

    def _path(self, source: Place | None, target: Place) -> Path:
        if source is None:
            return Path(TO_CALLERS_S)
        if source.region == target.region:
            return Path(BETWEEN_ZONES_S)
        return Path(
            BETWEEN_REGIONS_S,
            self._link(source.region, target.region),
            self._link(target.region, source.region),
        )

    def _link(self, source: str, target: str) -> Link:
        return self.links.setdefault((source, target), Link(LINK_BYTES_PER_S))


class ViewedList(LiveListClient):
    """The live list with the addresses at which one place reaches the instances."""

    def __init__(self, url: str, reactor: Any, network: Network, place: Place) -> None:
        super().__init__(url, reactor)
        self._network = network
        self._place = place

    async def instances(self) -> tuple[Instance, ...]:
        """Returns the instances that the list shows."""
        shown = await super().instances()
        return tuple(self._view(instance) for instance in shown)

    def _view(self, instance: Instance) -> Instance:
        control = instance.control_address
        if control:
            control = CONTROL_SCHEME + self._reach(
                instance, control.removeprefix(CONTROL_SCHEME)
            )
        address = self._reach(instance, instance.address)
        return attrs.evolve(instance, address=address, control_address=control)

    def _reach(self, instance: Instance, address: str) -> str:
        return self._network.reach(self._place, instance.place, address)
