"""Bound on the connections that a process has open."""

from collections import deque
from collections.abc import Callable
from enum import IntEnum
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from .inbound import CallerConnection

__all__ = ["CloseRank", "ConnectionLimit", "connection_limit"]

# Shares of the bound. From the first on, a caller's connection is closed for each one accepted and
# for each request, which may need one to an upstream, and no request is begun behind another.
# From the second on no caller's connection is accepted, from the third on no request. The rest is
# for the store and for other instances. Connections that are closed count until the next iteration
# of the event loop, so the shares are apart.
SHORT_SHARE, FULL_SHARE, LAST_SHARE = 0.75, 0.875, 0.92
# Share below which the shortage is over, for the log.
RELAXED_SHARE = 0.5
# Connections that are found at once to be closed one after the other. Looking through thousands for
# each new one would take the event loop's time.
MAX_CANDIDATES = 32
# Fraction of the callers' connections. After none could be closed, this many times no further one
# is looked for. With 1,300 connections, a look for each request would occupy the event loop for
# seconds.
SKIPPED_FRACTION = 8
# Memory of a caller's connection without a request: its objects, its timer and its parser.
CONNECTION_BYTES = 24_576

# Descriptors that the process has open besides connections: its ports, its output and the like.
OTHER_DESCRIPTORS = 16

_log = logbook.Logger("laburnumhatch.transport")


class CloseRank(IntEnum):
    """What a caller's connection does, in the order in which connections are closed for others."""

    IDLE = 0
    # A request arrives, or its caller reads no answers.
    UNFINISHED = 1
    # A request is handled, and its caller sends a body or further requests, or reads no answer.
    AHEAD = 2


def connection_limit(descriptor_limit: int, held_bytes: int) -> int:
    """Return how many connections a process may have open.

    Parameters
    ----------
    descriptor_limit : int
        Limit on its open descriptors.
    held_bytes : int
        Bytes that it may hold on behalf of others.

    Examples
    --------
    >>> connection_limit(1024, 110 * 1_048_576), connection_limit(20_000, 110 * 1_048_576)
    (1008, 4693)
    """
    return max(1, min(descriptor_limit - OTHER_DESCRIPTORS, held_bytes // CONNECTION_BYTES))


class ConnectionLimit:
    """Connections of the callers, which are closed for others when they are too many.

    Parameters
    ----------
    limit : int or None
        Bound on all connections; None for no bound.
    outbound_count : callable, optional
        Returns the number of connections to upstreams, the store and other instances.

    Attributes
    ----------
    callers : set of CallerConnection
        The open connections of all ports.
    closed_count : int
        Number of connections that were closed for others, or not accepted.
    """

    def __init__(
        self, limit: int | None = None, outbound_count: Callable[[], int] = lambda: 0
    ) -> None:
        self._limit = limit
        self._outbound_count = outbound_count
        # Connections of one rank, the one that has waited longest first.
        self._candidates: deque[tuple[CloseRank, CallerConnection]] = deque()
        self._skipped_count = 0
        self._is_logged = False
        self.callers: set[CallerConnection] = set()
        self.closed_count = 0

    @property
    def open_count(self) -> int:
        """Number of all open connections, also of those that are being closed."""
        return len(self.callers) + self._outbound_count()

    @property
    def is_short(self) -> bool:
        """Whether connections are closed for others."""
        return self._is_above(SHORT_SHARE)

    def may_accept(self) -> bool:
        """Make room for a new connection of a caller, and return whether it may be accepted."""
        if not self.is_short:
            return True
        self._close_one()
        if self._is_above(FULL_SHARE):
            self.closed_count += 1
            return False
        return True

    def may_handle(self, connection: "CallerConnection") -> bool:
        """Make room for a connection to an upstream, and return whether there is any.

        It is for a request on a caller's connection, which is not closed.
        """
        if not self.is_short:
            return True
        self._close_one(connection)
        return not self._is_above(LAST_SHARE)

    def add(self, connection: "CallerConnection") -> None:
        """Count a caller's connection."""
        self.callers.add(connection)

    def remove(self, connection: "CallerConnection") -> None:
        """Count a caller's connection no longer."""
        self.callers.discard(connection)
        if self._is_logged and not self._is_above(RELAXED_SHARE):
            self._is_logged = False
            _log.info("connections are no longer short; {} are open", self.open_count)

    def _is_above(self, share: float) -> bool:
        return self._limit is not None and self.open_count >= self._limit * share

    def _close_one(self, kept: "CallerConnection | None" = None) -> None:
        if not self._is_logged:
            self._is_logged = True
            _log.warning(
                "{} connections are open, of {} at most; closing those of callers",
                self.open_count,
                self._limit,
            )
        if self._skipped_count:
            self._skipped_count -= 1
            return
        if not self._candidates:
            self._find_candidates()
        while self._candidates:
            rank, connection = self._candidates.popleft()
            if connection is kept or connection.close_rank != rank:
                continue
            if connection.close_for_others():
                self.closed_count += 1
                return
        self._skipped_count = len(self.callers) // SKIPPED_FRACTION

    def _find_candidates(self) -> None:
        """Look for the connections of the lowest rank, so that each look serves many closings."""
        ranked = [(c.close_rank, c) for c in self.callers]
        ranks = [rank for rank, _ in ranked if rank is not None]
        if ranks:
            lowest = min(ranks)
            found = [c for rank, c in ranked if rank is lowest]
            found.sort(key=lambda connection: connection.waiting_since)
            self._candidates.extend((lowest, connection) for connection in found[:MAX_CANDIDATES])
