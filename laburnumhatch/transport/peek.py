"""Look at what waits to be read on a socket, and at what its peer hasn't received."""

import fcntl
import socket
import struct
import termios
from typing import Any

import logbook
from twisted.internet.abstract import FileDescriptor

__all__ = ["has_failed", "has_undelivered_bytes", "peek", "undelivered_bytes", "unsent_bytes"]

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


def has_failed(transport: Any) -> bool:
    """Return whether the connection failed, for example by a reset, rather than that it ended."""
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    return False


def has_undelivered_bytes(transport: Any) -> bool:
    """Return whether the peer's kernel has yet to acknowledge what was written, or the close."""
    return undelivered_bytes(transport) > 0


def undelivered_bytes(transport: Any) -> int:
    """Return the number of bytes that the peer's kernel has yet to acknowledge."""
    try:
        count = fcntl.ioctl(transport.getHandle().fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError) as e:
        _log.debug("can't tell what a caller has received: {}", e)
        return 0
    return int(struct.unpack("i", count)[0])


def unsent_bytes(transport: Any) -> int:
    """Return the number of bytes that were written and that the kernel hasn't taken.

    It is also known after the connection is lost. Transports in memory keep no such bytes.
    """
    if not isinstance(transport, FileDescriptor):
        return 0
    # Twisted has no public name for them.
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen
