"""Requests of one connection, in the order in which they are answered."""

from collections import deque
from collections.abc import Iterator

from .memory_budget import REQUEST_STATE_BYTES, HeldKind, MemoryBudget
from .request_cycle import RequestCycle

__all__ = ["RequestQueue"]

# Bytes of responses that wait for earlier ones on a connection, above which their writers are
# paused and no further request is begun. A response that isn't streamed is no longer than this.
MAX_WAITING_BYTES = 262_144


class RequestQueue:
    """Requests without a complete response, and last the one that is parsed.

    Parameters
    ----------
    memory : MemoryBudget
        Counts the bytes of responses that wait for earlier ones.
    """

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._cycles: deque[RequestCycle] = deque()
        self._waiting_bytes = 0
        self._counted_behind = 0

    def __len__(self) -> int:
        return len(self._cycles)

    def __iter__(self) -> Iterator[RequestCycle]:
        return iter(self._cycles)

    @property
    def first(self) -> RequestCycle:
        """Request whose response is sent now."""
        return self._cycles[0]

    @property
    def last(self) -> RequestCycle:
        """Request that is parsed."""
        return self._cycles[-1]

    @property
    def holds_too_much(self) -> bool:
        """Whether no further request may be begun behind the ones in the queue."""
        return self._waiting_bytes >= MAX_WAITING_BYTES or not self._memory.may_begin_behind

    @property
    def should_pause_waiting(self) -> bool:
        """Whether the writers of responses that wait for earlier ones should write no more."""
        return self._waiting_bytes >= MAX_WAITING_BYTES or not self._memory.may_hold_answers

    def append(self, cycle: RequestCycle) -> None:
        """Add a request behind the others."""
        self._cycles.append(cycle)
        self._count_behind()

    def replace_first(self, cycle: RequestCycle | None) -> RequestCycle:
        """Remove the first request, add `cycle` if none is left, and return the next one."""
        self._cycles.popleft()
        if cycle is not None:
            self._cycles.append(cycle)
        self._count_behind()
        return self._cycles[0]

    def count_waiting(self, change: int) -> None:
        """Count bytes of a response that waits for an earlier one."""
        self._waiting_bytes += change
        self._memory.add(HeldKind.WAITING_ANSWER, change)

    def has_begun_behind(self, cycle: RequestCycle) -> bool:
        """Return whether the handler has a request behind another one, or it is answered."""
        for follower in reversed(self._cycles):
            if follower is cycle:
                break
            if follower.is_handled or follower.is_over:
                return True
        return False

    def behind(self, cycle: RequestCycle) -> list[RequestCycle]:
        """Return the requests behind one."""
        cycles = list(self._cycles)
        return cycles[cycles.index(cycle) + 1 :]

    def drop_behind(self, cycle: RequestCycle) -> None:
        """Drop the requests behind one."""
        dropped = []
        while self._cycles[-1] is not cycle:
            dropped.append(self._cycles.pop())
        self._count_behind()
        for follower in reversed(dropped):
            follower.drop()
            follower.forget_request()

    def drop_all(self) -> None:
        """Drop all requests."""
        self.first.drop()
        self.drop_behind(self.first)

    def update_writers(self) -> None:
        """Pause or resume the writers of the responses."""
        for cycle in list(self._cycles):
            cycle.update_writer()

    def _count_behind(self) -> None:
        behind = len(self._cycles) - 1
        if behind != self._counted_behind:
            change = (behind - self._counted_behind) * REQUEST_STATE_BYTES
            self._counted_behind = behind
            self._memory.add(HeldKind.REQUEST_BEHIND, change)
