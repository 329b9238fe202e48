"""Look at what waits to be read on a socket."""

import socket
from typing import Any

import logbook

__all__ = ["peek"]

_log = logbook.Logger("laburnumhatch.transport")


def peek(transport: Any) -> bytes | None:
    """Return a byte that waits to be read, nothing at the end, or None if neither is there."""
    try:
        return bytes(transport.getHandle().recv(1, socket.MSG_PEEK))
    except (BlockingIOError, InterruptedError):
        return None
    except OSError as e:
        _log.debug("a caller's connection failed: {}", e)
        return b""
