"""Record of the requests that an upstream stand-in ran."""

from collections import OrderedDict, deque
from dataclasses import asdict, dataclass, field
from typing import Any

from ..clocks import Clock, to_milliseconds

__all__ = ["Run", "RunLog"]

MAX_RUNS = 100_000
MAX_IDEMPOTENCY_KEYS = 100_000


@dataclass(slots=True)
class Run:
    """One run of a request.

    Attributes
    ----------
    server, request_id, method, path, key : str
    slot, epoch : int or None
    idempotency_key : str
    started_ms : int
        Milliseconds since the machine started, so that runs of several servers compare.
    ended_ms : int or None
        None while the request runs.
    outcome : str
        ``running``, ``answered`` or ``cancelled``.
    """

    server: str
    request_id: str
    method: str
    path: str
    key: str
    slot: int | None
    epoch: int | None
    idempotency_key: str
    started_ms: int = 0
    ended_ms: int | None = None
    outcome: str = "running"


@dataclass
class RunLog:
    """The latest runs, and the number of runs of each idempotency key; both bounded."""

    clock: Clock
    runs: deque[Run] = field(default_factory=lambda: deque(maxlen=MAX_RUNS))
    _counts: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def start(self, run: Run) -> int:
        """Record the start of a run and return how often its idempotency key has run."""
        run.started_ms = to_milliseconds(self.clock.now())
        self.runs.append(run)
        if not run.idempotency_key:
            return 1
        count = self._counts.pop(run.idempotency_key, 0) + 1
        self._counts[run.idempotency_key] = count
        if len(self._counts) > MAX_IDEMPOTENCY_KEYS:
            self._counts.popitem(last=False)
        return count

    def end(self, run: Run, outcome: str) -> None:
        """Record the end of a run."""
        run.ended_ms = to_milliseconds(self.clock.now())
        run.outcome = outcome

    def document(self) -> list[dict[str, Any]]:
        """Return the runs, oldest first, ready for JSON."""
        return [asdict(run) for run in self.runs]
