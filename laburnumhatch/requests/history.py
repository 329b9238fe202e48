"""Records of upstream calls, for consistency checks of a history."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..results import RunStatus

__all__ = ["AttemptRecord", "HistoryHook"]


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Record of one upstream call of which at least one byte may have been sent.

    Attributes
    ----------
    request_id : str
        Identifier of the request, shared by all its attempts.
    service, kind : str
    key : str or None
    server : str
        Name of the target.
    epoch : int or None
        Fencing token, or None for a service without owners.
    is_repeatable : bool
    started_at : timedelta
        Time just before the first byte was passed to the kernel.
    ended_at : timedelta
        Time at which the answer was complete or the call was cancelled.
    run : RunStatus
        Whether the upstream ran the request, as far as known.
    """

    request_id: str
    service: str
    kind: str
    key: str | None
    server: str
    epoch: int | None
    is_repeatable: bool
    started_at: timedelta
    ended_at: timedelta
    run: RunStatus


HistoryHook = Callable[[AttemptRecord], None]
