"""A name resolver for IP addresses."""

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IHostnameResolver, IHostResolution
from zope.interface import implementer


@implementer(IHostResolution)
class _Resolution:
    def __init__(self, name: str) -> None:
        self.name = name

    def cancel(self) -> None:
        """Does nothing; the resolution has already completed."""


@implementer(IHostnameResolver)
class AddressResolver:
    """Resolves each IP address to itself, synchronously.

    Simulated processes address each other by IP address only.
    """

    def resolveHostName(  # noqa: N802
        self,
        resolutionReceiver: Any,  # noqa: N803
        hostName: str,  # noqa: N803
        portNumber: int = 0,  # noqa: N803
        addressTypes: Any = None,  # noqa: N803
        transportSemantics: str = "TCP",  # noqa: N803
    ) -> Any:
        """Reports the address to the receiver."""
        resolution = _Resolution(hostName)
        resolutionReceiver.resolutionBegan(resolution)
        address = IPv4Address("TCP", hostName, portNumber)
        resolutionReceiver.addressResolved(address)
        resolutionReceiver.resolutionComplete()
        return resolution
