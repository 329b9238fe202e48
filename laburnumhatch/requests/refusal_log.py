"""Rate-limited log of refused requests."""

from collections.abc import Callable
from datetime import timedelta

import logbook

from ..clocks import Clock
from ..results import Refusal

__all__ = ["LogRefusal", "build_refusal_log"]

MAX_LINES_PER_INTERVAL = 20
INTERVAL = timedelta(seconds=1)

_log = logbook.Logger("laburnumhatch.requests")

# Takes the refusal, the trace identifier, the request identifier, the service and the kind.
LogRefusal = Callable[[Refusal, str, str, str, str], None]


def build_refusal_log(clock: Clock) -> LogRefusal:
    """Return a function that logs refusals with trace, result code and run status.

    Parameters
    ----------
    clock : Clock

    Notes
    -----
    At most 20 lines are written per second, so that logging doesn't add to an overload. The next
    line gives the number of suppressed lines as ``left_out``.
    """
    interval_started_at = clock.now()
    line_count = suppressed_count = 0

    def log_refusal(
        refusal: Refusal, trace_id: str, request_id: str, service: str, kind: str
    ) -> None:
        nonlocal interval_started_at, line_count, suppressed_count
        now = clock.now()
        if now - interval_started_at >= INTERVAL:
            interval_started_at, line_count = now, 0
        if line_count >= MAX_LINES_PER_INTERVAL:
            suppressed_count += 1
            return
        line_count += 1
        fields = {
            "trace": trace_id,
            "request": request_id,
            "service": service,
            "kind": kind,
            "code": refusal.code.number,
            "run": refusal.run_status.value,
            "left_out": suppressed_count,
        }
        suppressed_count = 0
        _log.info("refused: {}: {}", refusal.code.title, refusal.detail, extra=fields)

    return log_refusal
