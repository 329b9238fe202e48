"""Text stream that never blocks its writer."""

import os

__all__ = ["BoundedStream"]

# Maximum size of the buffer for a reader that doesn't keep up.
MAX_BUFFERED_BYTES = 262_144


class BoundedStream:
    """Buffered text stream over a file descriptor; writes that exceed the buffer are dropped.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is switched to non-blocking mode.

    Attributes
    ----------
    dropped_count : int
        Number of times that text was dropped.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped_count = 0

    def write(self, text: str) -> int:
        """Buffer a text, or drop all of it if it exceeds the buffer."""
        content = text.encode("utf-8", "replace")
        if len(self._buffer) + len(content) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
        else:
            self._buffer += content
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so there is no place to report the error.
                self._buffer.clear()
                self.dropped_count += 1
                return
            del self._buffer[:written]
