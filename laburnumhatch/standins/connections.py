"""Bound on the connections that an upstream stand-in accepts."""

from dataclasses import dataclass
from typing import Any

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

__all__ = ["ConnectionTally", "LimitedFactory"]


@dataclass
class ConnectionTally:
    """Connections of one upstream stand-in.

    Attributes
    ----------
    limit : int
        A connection beyond it is closed at once.
    open, peak : int
        Connections now, and the most at a time.
    refused : int
        Connections that were closed because of the limit.
    """

    limit: int
    open: int = 0
    peak: int = 0
    refused: int = 0


class LimitedFactory(WrappingFactory):
    """Factory that keeps its connections within a tally's limit."""

    def __init__(self, wrapped: Any, tally: ConnectionTally) -> None:
        super().__init__(wrapped)
        self._tally = tally

    def buildProtocol(self, address: Any) -> Any:
        """Return the protocol of a new connection, or None beyond the limit."""
        if self._tally.open >= self._tally.limit:
            self._tally.refused += 1
            return None
        return super().buildProtocol(address)

    def registerProtocol(self, protocol: ProtocolWrapper) -> None:
        """Count a connection."""
        super().registerProtocol(protocol)
        self._tally.open += 1
        self._tally.peak = max(self._tally.peak, self._tally.open)

    def unregisterProtocol(self, protocol: ProtocolWrapper) -> None:
        """Count the end of a connection."""
        super().unregisterProtocol(protocol)
        self._tally.open -= 1
