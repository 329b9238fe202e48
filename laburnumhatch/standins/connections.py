"""Limit on the connections of an upstream stand-in."""

from dataclasses import dataclass
from typing import Any

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

__all__ = ["ConnectionTally", "LimitedFactory"]


@dataclass
class ConnectionTally:
    """Connection limit and counts of one upstream stand-in, answered by ``/counters`` as JSON.

    Attributes
    ----------
    limit : int
        Maximum number of open connections; a further one is closed immediately.
    open, peak : int
        Number of open connections, now and at its maximum.
    refused : int
        Number of connections that were closed because of the limit.
    """

    limit: int
    open: int = 0
    peak: int = 0
    refused: int = 0


class LimitedFactory(WrappingFactory):
    """Protocol factory that counts its connections and enforces the limit of a tally."""

    def __init__(self, wrapped: Any, tally: ConnectionTally) -> None:
        super().__init__(wrapped)
        self._tally = tally

    def buildProtocol(self, address: Any) -> Any:
        """Return the protocol of a new connection, or None if the limit is reached."""
        if self._tally.open >= self._tally.limit:
            self._tally.refused += 1
            return None
        return super().buildProtocol(address)

    def registerProtocol(self, protocol: ProtocolWrapper) -> None:
        """Count an opened connection."""
        super().registerProtocol(protocol)
        self._tally.open += 1
        self._tally.peak = max(self._tally.peak, self._tally.open)

    def unregisterProtocol(self, protocol: ProtocolWrapper) -> None:
        """Count a closed connection."""
        super().unregisterProtocol(protocol)
        self._tally.open -= 1
