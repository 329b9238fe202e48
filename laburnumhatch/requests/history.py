"""Records of what was sent to the upstreams, for a checker."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..results import Run

__all__ = ["AttemptRecord", "HistoryHook"]


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One upstream call of which at least one byte may have gone out.

    Attributes
    ----------
    request_id : str
        The same for all attempts of one request.
    service, kind : str
    key : str or None
    server : str
        Name of the target.
    epoch : int or None
        Fencing token; None for a service without owners.
    repeatable : bool
    started_at : timedelta
        Instant just before the first byte was handed to the kernel.
    ended_at : timedelta
        Instant at which the answer was whole, or the call was given up.
    run : Run
        What is known about the run at the upstream.
    """

    request_id: str
    service: str
    kind: str
    key: str | None
    server: str
    epoch: int | None
    repeatable: bool
    started_at: timedelta
    ended_at: timedelta
    run: Run


HistoryHook = Callable[[AttemptRecord], None]
