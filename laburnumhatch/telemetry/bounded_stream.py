"""A text stream that never blocks its writer."""

import os

__all__ = ["BoundedStream"]

# Bytes that may wait for a reader that doesn't read.
MOST_WAITING = 262_144


class BoundedStream:
    """Stream over a file descriptor; what finds no room is dropped and counted.

    Parameters
    ----------
    descriptor : int
        Set to not blocking.

    Attributes
    ----------
    dropped : int
        Writes that were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting = bytearray()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Take a text, or drop it whole."""
        content = text.encode("utf-8", "replace")
        if len(self._waiting) + len(content) > MOST_WAITING:
            self.dropped += 1
        else:
            self._waiting += content
        return len(text)

    def flush(self) -> None:
        """Hand over as much as the reader takes now."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self._waiting.clear()
                self.dropped += 1
                return
            del self._waiting[:written]
