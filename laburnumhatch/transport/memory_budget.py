"""Budget of the memory that a process holds on behalf of others."""

from collections import Counter
from enum import Enum, StrEnum

__all__ = ["BodyHandling", "HeldKind", "MemoryBudget", "fields_size", "held_bytes_limit"]

MEBIBYTE = 1_048_576
# Memory of a process that holds nothing for others, with what its libraries need under load.
BASE_BYTES = 40 * MEBIBYTE
# Share of the machine's memory that the process may use with all that it holds; the rest covers
# copies in passing and what the allocator can't reuse.
USABLE_SHARE = 0.5
# Share of the machine's memory that may be held in any case.
MIN_SHARE = 0.05
# Bodies up to this length are taken on as long as the budget isn't used up. Longer ones are kept,
# and beyond that streamed, while less than a share of it is used, so that small requests are served
# whatever the long ones hold.
SMALL_BODY_BYTES = 65_536
KEPT_LONG_BODIES_SHARE = 0.6
LONG_BODIES_SHARE = 0.75
# Memory for a body that is forwarded while it arrives: what is received and not yet sent, and what
# the socket hasn't taken yet.
STREAM_WINDOW_BYTES = 262_144
# Share of the budget above which answers are forwarded as they arrive, instead of being held back
# until they are complete.
ANSWERS_SHARE = 0.5
# Share of the budget that requests behind unanswered ones of their connections may use with their
# answers. It is a part of what long bodies leave, and small requests need the rest.
PIPELINED_SHARE = 0.2
# Share of the budget above which callers with much unparsed input are closed. Reading pauses at
# `PIPELINED_SHARE`, but each of very many connections may be read once more. Headers that aren't
# complete may use half of the budget, which the number of connections bounds.
MAX_INPUT_SHARE = 0.5
# What a request in flight needs with its state, its timers and its connection to an upstream, as
# measured with 960 of them in flight.
REQUEST_STATE_BYTES = 40_960
# Number of header fields that is part of a request's state. Beyond it, each field is counted with
# the bytes that its objects need in the request and in its copy for the upstream: 4 bytes as sent
# become some 400.
UNCOUNTED_FIELDS = 128
FIELD_BYTES = 400


class HeldKind(StrEnum):
    """What bytes are held for."""

    SMALL_BODY = "small request bodies"
    LONG_BODY = "long request bodies"
    STREAMED_BODY = "streamed request bodies"
    ANSWER = "answers"
    UNSENT = "unsent answers"
    WAITING_ANSWER = "answers that wait for earlier ones"
    REQUEST_BEHIND = "requests behind unanswered ones"
    FIELDS = "many header fields"
    INPUT = "unparsed requests"


class BodyHandling(Enum):
    """What happens to the body of a request."""

    # It is received as a whole before the request is handled, so the request can be sent again.
    KEEP = "keep"
    # It is forwarded while it arrives.
    STREAM = "stream"
    REFUSE = "refuse"


def held_bytes_limit(memory_bytes: float) -> int:
    """Return how much a process may hold on behalf of others.

    Parameters
    ----------
    memory_bytes : float
        Memory of the process at which the platform ends it.

    Examples
    --------
    >>> held_bytes_limit(300 * 1_048_576) // 1_048_576
    110
    """
    usable = memory_bytes * USABLE_SHARE - BASE_BYTES
    return int(max(usable, memory_bytes * MIN_SHARE))


def fields_size(count: int) -> int:
    """Return the bytes to count for the fields of a header, zero for an ordinary number of them.

    Examples
    --------
    >>> fields_size(40), fields_size(1128)
    (0, 400000)
    """
    return max(0, count - UNCOUNTED_FIELDS) * FIELD_BYTES


class MemoryBudget:
    """Bytes that the process holds on behalf of others, and what it takes on besides.

    Parameters
    ----------
    limit : int or None
        Bytes that may be held in all; None for no limit.

    Attributes
    ----------
    limit : int or None
    total : int
        Bytes that are held now.
    held : Counter of HeldKind
        Bytes that are held now, by kind.
    """

    def __init__(self, limit: int | None = None) -> None:
        self.limit = limit
        self.total = 0
        self.held: Counter[HeldKind] = Counter()

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more may be taken on."""
        return self.limit is not None and self.total >= self.limit

    @property
    def may_hold_answers(self) -> bool:
        """Whether answers may be held back until they are complete."""
        return self.limit is None or self.total < self.limit * ANSWERS_SHARE

    @property
    def may_begin_behind(self) -> bool:
        """Whether a request may be handled beside an unanswered one of its connection."""
        if self.limit is None:
            return True
        pipelined = self.held[HeldKind.WAITING_ANSWER] + self.held[HeldKind.REQUEST_BEHIND]
        return not self.is_exhausted and pipelined < self.limit * PIPELINED_SHARE

    @property
    def may_read_ahead(self) -> bool:
        """Whether callers are read beyond the request that they wait for."""
        if self.limit is None:
            return True
        return not self.is_exhausted and self.held[HeldKind.INPUT] < self.limit * PIPELINED_SHARE

    @property
    def has_too_much_input(self) -> bool:
        """Whether callers who send beyond the request that they wait for are closed."""
        if self.limit is None:
            return False
        return self.held[HeldKind.INPUT] > self.limit * MAX_INPUT_SHARE

    def choose_handling(self, length: int | None) -> BodyHandling:
        """Decide what happens to the body of a request.

        Parameters
        ----------
        length : int or None
            Length of the body; None if it is not known before its end.

        Notes
        -----
        A body that can't be kept is streamed rather than refused. An upstream then runs the request
        for as long as the caller takes to send the body, so bodies are kept where that is possible.
        """
        size = length or 0
        if self.may_grow(0, size):
            return BodyHandling.KEEP
        if size > STREAM_WINDOW_BYTES and self._fits(STREAM_WINDOW_BYTES, LONG_BODIES_SHARE):
            return BodyHandling.STREAM
        return BodyHandling.REFUSE

    def may_take_fields(self, size: int) -> bool:
        """Return whether the fields of a header, which need some bytes, may be taken on."""
        return not size or self._fits(size, LONG_BODIES_SHARE)

    def may_grow(self, size: int, growth: int) -> bool:
        """Return whether a kept body, of which `size` bytes are held, may grow."""
        if self.limit is None:
            return True
        if size + growth <= SMALL_BODY_BYTES:
            return self.total + growth <= self.limit
        # From its first long part on, the whole body counts as a long one.
        long_growth = growth if size > SMALL_BODY_BYTES else size + growth
        return self._fits(long_growth, KEPT_LONG_BODIES_SHARE)

    def add(self, kind: HeldKind, size: int) -> None:
        """Count bytes that are held from now on."""
        self.held[kind] += size
        self.total += size

    def remove(self, kind: HeldKind, size: int) -> None:
        """Count bytes that are no longer held."""
        self.add(kind, -size)

    def _fits(self, size: int, share: float) -> bool:
        """Return whether no more than a share of the budget is used with further bytes."""
        return self.limit is None or self.total + size <= self.limit * share
