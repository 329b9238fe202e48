"""Bytes that a caller has sent and that are not parsed yet."""

from collections import deque
from datetime import timedelta

from ..clocks import milliseconds

__all__ = ["InputBuffer"]

# Bytes that arrive within this time share an instant, the earlier one. It bounds the number of
# instants that are kept for a caller that sends single bytes, and is short against deadlines.
ARRIVAL_RESOLUTION = milliseconds(10)


class InputBuffer:
    """Bytes in the order of their arrival, and the instants at which they arrived.

    The parser takes them in slices, so some of the bytes that have been taken may not be parsed.
    """

    def __init__(self) -> None:
        self._content = bytearray()
        self._appended_bytes = 0
        # Number of bytes appended up to an instant, and the instant.
        self._arrivals: deque[tuple[int, timedelta]] = deque()

    def __len__(self) -> int:
        return len(self._content)

    def append(self, data: bytes, now: timedelta, taken_ahead: int) -> None:
        """Add bytes that have just arrived; `taken_ahead` bytes are taken and not parsed."""
        parsed_bytes = self._parsed_bytes(taken_ahead)
        while self._arrivals and self._arrivals[0][0] <= parsed_bytes:
            self._arrivals.popleft()
        self._content += data
        self._appended_bytes += len(data)
        if self._arrivals and now - self._arrivals[-1][1] < ARRIVAL_RESOLUTION:
            now = self._arrivals.pop()[1]
        self._arrivals.append((self._appended_bytes, now))

    def take(self, size: int) -> bytes:
        """Remove and return up to `size` bytes."""
        taken = bytes(self._content[:size])
        del self._content[:size]
        return taken

    def put_back(self, data: bytes) -> None:
        """Return bytes that have been taken, but are not parsed."""
        self._content[:0] = data

    def last_arrival(self, taken_ahead: int) -> timedelta:
        """Return the instant at which the last parsed byte arrived."""
        parsed_bytes = self._parsed_bytes(taken_ahead)
        while len(self._arrivals) > 1 and self._arrivals[0][0] < parsed_bytes:
            self._arrivals.popleft()
        return self._arrivals[0][1]

    def _parsed_bytes(self, taken_ahead: int) -> int:
        return self._appended_bytes - len(self._content) - taken_ahead
