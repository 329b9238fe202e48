"""Resolver of IP addresses that uses no threads."""

from collections.abc import Sequence
from typing import Any

from twisted.internet.abstract import isIPAddress
from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IHostnameResolver, IHostResolution, IResolutionReceiver
from zope.interface import implementer

__all__ = ["NumericResolver"]


@implementer(IHostResolution)
class _Resolution:
    """Resolution that is complete as soon as it begins."""

    def __init__(self, name: str) -> None:
        self.name = name

    def cancel(self) -> None:
        """Do nothing, since the resolution is already complete."""


@implementer(IHostnameResolver)
class NumericResolver:
    """Resolver that accepts only IPv4 addresses and finds no address for any other name.

    Notes
    -----
    The reactor's default resolver calls the C library in a thread pool, even for IP addresses.
    """

    def resolveHostName(
        self,
        resolutionReceiver: IResolutionReceiver,
        hostName: str,
        portNumber: int = 0,
        addressTypes: Sequence[Any] | None = None,
        transportSemantics: str = "TCP",
    ) -> _Resolution:
        """Report an IPv4 address to the receiver; report no address for any other name."""
        resolution = _Resolution(hostName)
        receiver: Any = resolutionReceiver
        receiver.resolutionBegan(resolution)
        if isIPAddress(hostName):
            kind: Any = transportSemantics
            receiver.addressResolved(IPv4Address(kind, hostName, portNumber))
        receiver.resolutionComplete()
        return resolution
