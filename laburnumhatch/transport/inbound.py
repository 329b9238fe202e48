"""Server side of the connections that callers open."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from ..clocks import Clock
from ..fleet import CallerLimits
from .caller_connection import MAX_DISCARD_TIME, CallerConnection
from .caller_request import CallerRequest
from .connection_limit import ConnectionLimit
from .memory_budget import MemoryBudget
from .unanswered import UnansweredReport

__all__ = ["MAX_DISCARD_TIME", "MAX_REQUESTS_AHEAD", "CallerConnection", "CallerFactory"]

# Requests of one connection that the gateway handles at the same time. More would let one caller
# occupy many slots of the upstreams.
MAX_REQUESTS_AHEAD = 16


class CallerFactory(Factory):
    """Twisted factory of the callers' connections.

    Parameters
    ----------
    clock : Clock
    handle : callable
        Called with each complete `CallerRequest`.
    limits : callable
        Returns the current `CallerLimits`.
    memory : MemoryBudget, optional
        Bounds the bytes that are held for callers; without one, they aren't bounded.
    refuse : callable, optional
        Answers a `CallerRequest` whose body doesn't fit into the memory. Required with `memory`.
    max_requests : int, optional
        Requests of one connection that are handled at the same time. By default the next one is
        handled once the one before is answered, so a handler need not expect others beside it.
    connection_limit : ConnectionLimit, optional
        Bounds the connections; without one, they aren't bounded. Requires `refuse`.
    keeps_bodies : bool, optional
        Whether the bodies are kept for `handle`. Otherwise they are discarded as they arrive.
    unanswered_report : UnansweredReport, optional
        Receives a report of each request that gets no complete answer.

    Attributes
    ----------
    connections : set of CallerConnection
        The open connections.
    is_stopping : bool
        Whether each connection is closed after the responses to the requests that are handled.
    is_exiting : bool
        Whether the process ends and loses the connections.
    """

    noisy = False

    def __init__(
        self,
        clock: Clock,
        handle: Callable[[CallerRequest], None],
        limits: Callable[[], CallerLimits],
        memory: MemoryBudget | None = None,
        refuse: Callable[[CallerRequest], None] = lambda request: None,
        max_requests: int = 1,
        *,
        connection_limit: ConnectionLimit | None = None,
        keeps_bodies: bool = True,
        unanswered_report: UnansweredReport | None = None,
    ) -> None:
        self.clock = clock
        self.handle = handle
        self.limits = limits
        self.memory = memory or MemoryBudget()
        self.refuse = refuse
        self.max_requests = max_requests
        self.connection_limit = connection_limit or ConnectionLimit()
        self.keeps_bodies = keeps_bodies
        self.unanswered_report = unanswered_report
        self._accepted_count = 0
        self.connections: set[CallerConnection] = set()
        self.is_stopping = self.is_exiting = False

    def buildProtocol(self, addr: Any) -> Any:
        """Return the protocol for a new connection, or None if it is closed at once."""
        self._accepted_count += 1
        if not self.connection_limit.may_accept():
            return None
        return CallerConnection(self)

    def add(self, connection: CallerConnection) -> None:
        """Add an open connection."""
        self.connections.add(connection)
        self.connection_limit.add(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self.connection_limit.remove(connection)

    def close_port(self, port: Any) -> None:
        """Accept the connections that wait on a port, and then no more.

        Otherwise the kernel would reset those that it has accepted, with the requests on them.
        """
        accepted_before = -1
        while accepted_before < self._accepted_count:
            accepted_before = self._accepted_count
            port.doRead()
        port.stopListening()

    def close_idle(self) -> None:
        """Close the connections without a request that is being received or handled."""
        for connection in list(self.connections):
            connection.close_if_idle()
