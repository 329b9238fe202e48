"""Look at what waits to be read on a socket, and at what its peer hasn't received."""

import fcntl
import socket
import struct
import termios
from typing import Any

import logbook

__all__ = ["has_undelivered_bytes", "peek"]

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


def has_undelivered_bytes(transport: Any) -> bool:
    """Return whether the peer's kernel has yet to acknowledge what was written, or the close."""
    try:
        count = fcntl.ioctl(transport.getHandle().fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError) as e:
        _log.debug("can't tell what a caller has received: {}", e)
        return False
    return struct.unpack("i", count)[0] > 0
