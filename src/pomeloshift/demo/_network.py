"""Adds the latencies of the network between the demo's instances."""

from typing import Any

import attrs

from ..model import Instance, Place
from ..net._list_client import LiveListClient
from ._link import Link
from ._plan import CALLER_LATENCY_S, LINK_BYTES_PER_S, REGION_LATENCY_S, ZONE_LATENCY_S
from ._relay import Relay, RelayPath

CONTROL_SCHEME = "tcp://"


class Network:
    """Relays between availability zones, created on first use.

    ``links`` holds the metered inter-region link of each direction by its regions.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._relays: dict[tuple[Place | None, str], Relay] = {}
        self.links: dict[tuple[str, str], Link] = {}

    @property
    def cross_region_bytes(self) -> int:
        """The bytes sent over all inter-region links."""
        return sum(link.bytes_sent for link in self.links.values())

    def address_from(self, source: Place | None, target: Place, address: str) -> str:
        """Returns the address at which ``source`` reaches ``address`` in ``target``.

        Within an availability zone this is ``address`` itself, otherwise the address of
        a relay. ``source`` is `None` for callers, which have no place.
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

    def _path(self, source: Place | None, target: Place) -> RelayPath:
        if source is None:
            return RelayPath(CALLER_LATENCY_S)
        if source.region == target.region:
            return RelayPath(ZONE_LATENCY_S)
        return RelayPath(
            REGION_LATENCY_S,
            self._link(source.region, target.region),
            self._link(target.region, source.region),
        )

    def _link(self, source: str, target: str) -> Link:
        return self.links.setdefault((source, target), Link(LINK_BYTES_PER_S))


class RelayedListClient(LiveListClient):
    """The instance list with the addresses at which one place reaches instances."""

    def __init__(self, url: str, reactor: Any, network: Network, place: Place) -> None:
        super().__init__(url, reactor)
        self._network = network
        self._place = place

    async def instances(self) -> tuple[Instance, ...]:
        """Returns the instances in the list, with addresses of relays."""
        listed = await super().instances()
        return tuple(self._with_relays(instance) for instance in listed)

    def _with_relays(self, instance: Instance) -> Instance:
        control = instance.control_address
        if control:
            control = CONTROL_SCHEME + self._address_of(
                instance, control.removeprefix(CONTROL_SCHEME)
            )
        address = self._address_of(instance, instance.address)
        return attrs.evolve(instance, address=address, control_address=control)

    def _address_of(self, instance: Instance, address: str) -> str:
        return self._network.address_from(self._place, instance.place, address)
