"""Record of the requests that an upstream stand-in executes."""

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
    """One execution of a request, written to the journal and answered by ``/runs`` as JSON.

    Attributes
    ----------
    server, request_id, method, path, key : str
    slot, epoch : int or None
    idempotency_key : str
    started_ms : int
        Milliseconds since the machine started, so that the times of several servers are
        comparable.
    ended_ms : int or None
        None while the request runs.
    outcome : str
        ``running``, ``answered`` or ``cancelled``; ``refused`` if the request was refused on
        arrival, which only the journal records; ``fenced`` if the effects were discarded because
        the grant ended during the run.
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
    """Bounded record of the latest runs and of the run count of each idempotency key.

    Attributes
    ----------
    clock : Clock
    journal : text file or None
        Receives a JSON line at the start and at the end of each run, so that the record survives
        the process.
    """

    clock: Clock
    journal: TextIO | None = None
    runs: deque[Run] = field(default_factory=lambda: deque(maxlen=MAX_RUNS))
    _run_counts: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def start(self, run: Run) -> int:
        """Record the start of a run and return the run count of its idempotency key."""
        run.started_ms = to_milliseconds(self.clock.now())
        self.runs.append(run)
        self._write(run)
        if not run.idempotency_key:
            return 1
        count = self._run_counts.pop(run.idempotency_key, 0) + 1
        self._run_counts[run.idempotency_key] = count
        if len(self._run_counts) > MAX_IDEMPOTENCY_KEYS:
            self._run_counts.popitem(last=False)
        return count

    def refuse(self, run: Run) -> None:
        """Write a request that was refused on arrival, without execution, to the journal."""
        run.started_ms = to_milliseconds(self.clock.now())
        run.ended_ms = run.started_ms
        run.outcome = "refused"
        self._write(run)

    def end(self, run: Run, outcome: str) -> None:
        """Record the end of a run."""
        run.ended_ms = to_milliseconds(self.clock.now())
        run.outcome = outcome
        self._write(run)

    def as_documents(self) -> list[dict[str, Any]]:
        """Return the runs as JSON objects, oldest first."""
        return [asdict(run) for run in self.runs]

    def _write(self, run: Run) -> None:
        if self.journal is not None:
            self.journal.write(json.dumps(asdict(run)) + "\n")
            self.journal.flush()
