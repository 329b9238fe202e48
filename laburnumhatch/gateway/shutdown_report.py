"""Log lines about a graceful shutdown and the requests that it meets."""

from collections.abc import Iterable
from datetime import timedelta

import logbook

from ..clocks import Clock
from ..transport import CallerConnection, CallerRequest
from ..transport.peek import undelivered_bytes, unsent_bytes
from .request_log import RequestLog, RequestState

__all__ = ["ShutdownReport"]

_log = logbook.Logger("laburnumhatch.gateway")


class ShutdownReport:
    """Instants of a graceful shutdown, and the lines that relate requests to them.

    Parameters
    ----------
    clock : Clock
    request_log : RequestLog

    Attributes
    ----------
    signalled_at : timedelta or None
        Instant at which the process got the signal to stop; None without one.
    is_port_closed : bool
        Whether the port for callers is closed.
    """

    def __init__(self, clock: Clock, request_log: RequestLog) -> None:
        self._clock = clock
        self._request_log = request_log
        self.signalled_at: timedelta | None = None
        self.is_port_closed = False

    def log_start(self, requests_end_at: timedelta) -> None:
        """Log how late the event loop handles the signal, and when the shutdown ends requests."""
        _log.info(
            "graceful shutdown started; the instance is no longer ready",
            extra={
                "signal_delay_ms": self._since_signal_ms(self._clock.now()),
                "requests_end_ms": self._since_signal_ms(requests_end_at),
            },
        )

    def fields(
        self, request: CallerRequest | None = None, sent_at: timedelta | None = None
    ) -> dict[str, object]:
        """Return the time since the signal, and those of a request, for a log line.

        It is empty if the instance isn't stopping. What came before the signal has negative times.
        """
        if self.signalled_at is None:
            return {}
        fields: dict[str, object] = {"stopping_ms": self._since_signal_ms(self._clock.now())}
        if request is not None:
            fields["read_ms"] = self._since_signal_ms(request.received_at)
        if sent_at is not None:
            fields["sent_ms"] = self._since_signal_ms(sent_at)
        return fields

    def log_late_request(self, state: RequestState) -> None:
        """Log what was decided about a request that was read after the port was closed."""
        self._log_state(state, "read after the port was closed")

    def log_request_left(self, state: RequestState) -> None:
        """Log the state of a request that the end of the shutdown ends."""
        self._log_state(state, "ended by the shutdown")

    def log_exit(self, code: int, connections: Iterable[CallerConnection]) -> None:
        """Log which bytes the callers' connections that are open at the exit have left."""
        open_connections = list(connections)
        unsent = [unsent_bytes(c.transport) for c in open_connections]
        undelivered = [undelivered_bytes(c.transport) for c in open_connections]
        _log.info(
            "the process ends with {} connections of callers open",
            len(open_connections),
            extra={
                "exit_code": code,
                "busy_connections": sum(not c.is_idle for c in open_connections),
                "unsent_connections": sum(map(bool, unsent)),
                "unsent_bytes": sum(unsent),
                "undelivered_connections": sum(map(bool, undelivered)),
                "undelivered_bytes": sum(undelivered),
                **self.fields(),
            },
        )

    def _log_state(self, state: RequestState, message: str) -> None:
        times = self.fields(state.request, state.sent_at)
        self._request_log.log_state(state, f"{message}: {state.state}", **times)

    def _since_signal_ms(self, instant: timedelta) -> float:
        assert self.signalled_at is not None
        return round((instant - self.signalled_at).total_seconds() * 1000, 1)
