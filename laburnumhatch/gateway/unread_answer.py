"""Log line of a request that ends while its upstream's answer may wait to be read."""

from ..transport.outbound import OutboundConnection
from .request_log import RequestLog, RequestState

__all__ = ["log_unread_answer"]


def log_unread_answer(
    request_log: RequestLog, state: RequestState, connection: OutboundConnection | None
) -> None:
    """Log that a request ends although its upstream has sent bytes, or its answer isn't read.

    Parameters
    ----------
    request_log : RequestLog
    state : RequestState
    connection : OutboundConnection or None
        Connection on which the request was sent; None without one.
    """
    if connection is None:
        return
    is_paused, has_unread_bytes = connection.is_reading_paused, connection.has_unread_bytes()
    if is_paused or has_unread_bytes:
        request_log.log_state(
            state,
            "ended before its answer was read",
            is_reading_paused=is_paused,
            has_unread_bytes=has_unread_bytes,
        )
