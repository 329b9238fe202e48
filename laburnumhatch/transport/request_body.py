"""Body of a request, held once, in the parts in which it arrives."""

from collections import deque
from collections.abc import Callable, Iterator

from .memory_budget import SMALL_BODY_BYTES, STREAM_WINDOW_BYTES, HeldKind, MemoryBudget

__all__ = ["NO_BODY", "DiscardedBody", "RequestBody"]

# Size up to which received parts are joined: many tiny ones would need more memory than bytes.
PART_BYTES = 65_536
# Bytes of a streamed body that wait to be sent, above which its caller isn't read any more.
MAX_WAITING_BYTES = STREAM_WINDOW_BYTES // 2


def _do_nothing() -> None:
    pass


class RequestBody:
    """Body of a request.

    A kept body can be sent several times. Of a streamed one, each part is dropped once it has been
    taken, so it can be sent once.

    Parameters
    ----------
    length : int or None
        Length of the whole body; None if it is not known before its end.
    budget : MemoryBudget, optional
        Counts what is held.
    is_streamed : bool, optional

    Attributes
    ----------
    is_streamed : bool
    is_complete : bool
        Whether the whole body has been received.
    received_bytes : int
    is_taken : bool
        Whether a part of a streamed body has been taken.
    on_part : callable
        Called when a part of a streamed body has been received, and at its end.
    on_space : callable
        Called when the caller of a streamed body may be read again.
    """

    def __init__(
        self, length: int | None, budget: MemoryBudget | None = None, *, is_streamed: bool = False
    ) -> None:
        self._length = length
        self._budget = budget or MemoryBudget()
        self._parts: deque[bytearray | bytes] = deque()
        self._waiting_bytes = 0
        self._user_count = 1
        self._held_kind = HeldKind.SMALL_BODY
        self._held_bytes = 0
        self.is_streamed = is_streamed
        self.is_complete = False
        self.received_bytes = 0
        self.is_taken = False
        self.on_part: Callable[[], None] = _do_nothing
        self.on_space: Callable[[], None] = _do_nothing
        if is_streamed:
            self._hold(HeldKind.STREAMED_BODY, STREAM_WINDOW_BYTES)
        elif length:
            self._hold_kept(length)

    @classmethod
    def of(cls, content: bytes) -> "RequestBody":
        """Return a complete body with a content."""
        body = cls(len(content))
        body.received_bytes = len(content)
        body.is_complete = True
        if content:
            body._parts.append(content)
        return body

    def __bytes__(self) -> bytes:
        return b"".join(self._parts)

    @property
    def length(self) -> int:
        """Length of the whole body, which is complete or has a known length."""
        return self.received_bytes if self._length is None else self._length

    @property
    def can_be_sent_again(self) -> bool:
        """Whether no part of the body has been dropped."""
        return not self.is_taken

    @property
    def is_congested(self) -> bool:
        """Whether the caller of a streamed body sends faster than the body is taken."""
        return self.is_streamed and self._waiting_bytes >= MAX_WAITING_BYTES

    def append(self, data: bytes | bytearray) -> bool:
        """Add received bytes, or return False if the budget doesn't allow them."""
        if self._length is None:
            if not self._budget.may_grow(self.received_bytes, len(data)):
                return False
            self._hold_kept(self.received_bytes + len(data))
        self.received_bytes += len(data)
        self._waiting_bytes += len(data)
        last = self._parts[-1] if self._parts else None
        if isinstance(last, bytearray) and len(last) + len(data) <= PART_BYTES:
            last += data
        else:
            self._parts.append(bytearray(data))
        self.on_part()
        return True

    def complete(self) -> None:
        """Record that the whole body has been received."""
        self.is_complete = True
        self.on_part()

    def kept_parts(self) -> Iterator[bytearray | bytes]:
        """Yield the parts of a kept body in order."""
        yield from self._parts

    def take_parts(self) -> Iterator[bytearray | bytes | None]:
        """Yield the parts in order, None while a streamed one waits for the next."""
        if not self.is_streamed:
            yield from self.kept_parts()
            return
        while self._parts or not self.is_complete:
            if not self._parts:
                yield None
                continue
            was_congested = self.is_congested
            part = self._parts.popleft()
            self.is_taken = True
            self._waiting_bytes -= len(part)
            if was_congested and not self.is_congested:
                self.on_space()
            yield part

    def acquire(self) -> None:
        """Keep the body for a further user."""
        self._user_count += 1

    def release(self) -> None:
        """Drop the body once its last user has released it."""
        self._user_count -= 1
        if not self._user_count:
            self._parts.clear()
            self._hold(self._held_kind, 0)

    def _hold_kept(self, size: int) -> None:
        kind = HeldKind.SMALL_BODY if size <= SMALL_BODY_BYTES else HeldKind.LONG_BODY
        self._hold(kind, size)

    def _hold(self, kind: HeldKind, size: int) -> None:
        if self._held_bytes:
            self._budget.remove(self._held_kind, self._held_bytes)
        self._held_kind, self._held_bytes = kind, size
        if size:
            self._budget.add(kind, size)


class DiscardedBody(RequestBody):
    """Body of a request whose handler doesn't read it: nothing of it is held."""

    def __init__(self) -> None:
        super().__init__(0)

    def append(self, data: bytes | bytearray) -> bool:
        """Count received bytes."""
        self.received_bytes += len(data)
        return True


# Body of all requests without one.
NO_BODY = RequestBody.of(b"")
