"""Record of the requests that an upstream stand-in ran."""

import json
from collections import OrderedDict, deque
from dataclasses import asdict, dataclass, field
from typing import Any, TextIO

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
        ``running``, ``answered`` or ``cancelled``; ``refused`` where it did not run, only in the
        journal; ``fenced`` where its effects were dropped because the grant ended under the run.
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
    """The latest runs, and the number of runs of each idempotency key; both bounded.

    Attributes
    ----------
    clock : Clock
    journal : text file or None
        Gets a JSON line at the start and at the end of each run, so that the runs outlast the
        process.
    """

    clock: Clock
    journal: TextIO | None = None
    runs: deque[Run] = field(default_factory=lambda: deque(maxlen=MAX_RUNS))
    _counts: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def start(self, run: Run) -> int:
        """Record the start of a run and return how often its idempotency key has run."""
        run.started_ms = to_milliseconds(self.clock.now())
        self.runs.append(run)
        self._write(run)
        if not run.idempotency_key:
            return 1
        count = self._counts.pop(run.idempotency_key, 0) + 1
        self._counts[run.idempotency_key] = count
        if len(self._counts) > MAX_IDEMPOTENCY_KEYS:
            self._counts.popitem(last=False)
        return count

    def refuse(self, run: Run) -> None:
        """Journal a request that was refused unrun when it arrived."""
        run.started_ms = to_milliseconds(self.clock.now())
        run.ended_ms = run.started_ms
        run.outcome = "refused"
        self._write(run)

    def end(self, run: Run, outcome: str) -> None:
        """Record the end of a run."""
        run.ended_ms = to_milliseconds(self.clock.now())
        run.outcome = outcome
        self._write(run)

    def document(self) -> list[dict[str, Any]]:
        """Return the runs, oldest first, ready for JSON."""
        return [asdict(run) for run in self.runs]

    def _write(self, run: Run) -> None:
        if self.journal is not None:
            self.journal.write(json.dumps(asdict(run)) + "\n")
            self.journal.flush()
