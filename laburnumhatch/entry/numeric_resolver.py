"""Resolver of IP numbers, which needs no thread."""

from collections.abc import Sequence
from typing import Any

from twisted.internet.abstract import isIPAddress
from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IHostnameResolver, IHostResolution, IResolutionReceiver
from zope.interface import implementer

__all__ = ["NumericResolver"]


@implementer(IHostResolution)
class _Resolution:
    """A resolution that is complete when it begins."""

    def __init__(self, name: str) -> None:
        self.name = name

    def cancel(self) -> None:
        """Do nothing: there is nothing left to cancel."""


@implementer(IHostnameResolver)
class NumericResolver:
    """Resolver that takes IPv4 numbers as they are and finds no address for any other name.

    Notes
    -----
    The reactor's own resolver asks the C library on threads of a pool, for IP numbers too.
    """

    def resolveHostName(
        self,
        resolutionReceiver: IResolutionReceiver,
        hostName: str,
        portNumber: int = 0,
        addressTypes: Sequence[Any] | None = None,
        transportSemantics: str = "TCP",
    ) -> _Resolution:
        """Report the address of an IP number to the receiver."""
        resolution = _Resolution(hostName)
        receiver: Any = resolutionReceiver
        receiver.resolutionBegan(resolution)
        if isIPAddress(hostName):
            kind: Any = transportSemantics
            receiver.addressResolved(IPv4Address(kind, hostName, portNumber))
        receiver.resolutionComplete()
        return resolution
