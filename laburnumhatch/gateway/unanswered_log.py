"""Log lines and counts of requests whose complete answer did not get as far as the kernel."""

from typing import TYPE_CHECKING

from ..platform.headers import ATTEMPT_ID, find_header
from ..transport import Unanswered, UnansweredReport
from ..transport.fields import HeaderFields

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ["unanswered_report"]


def unanswered_report(gateway: "Gateway") -> UnansweredReport:
    """Return the receiver of the reports of callers' connections."""

    def on_unanswered(unanswered: Unanswered) -> None:
        gateway.metrics.unanswered[unanswered.cause.value] += 1
        if gateway.request_log.may_log_state():
            _log_unanswered(gateway, unanswered)

    return UnansweredReport(_request_id, on_unanswered)


def _log_unanswered(gateway: "Gateway", unanswered: Unanswered) -> None:
    request = unanswered.request
    state = gateway.state_of(request) if request is not None else None
    if state is not None:
        name = state.state
    elif unanswered.is_answered:
        name = "answered"
    else:
        name = "finished" if unanswered.was_handled else "not handled"
    sent_at = state.sent_at if state is not None else None
    fields: dict[str, object] = {
        "cause": unanswered.cause.value,
        "state": name,
        "was_sent": sent_at is not None,
        "written_bytes": unanswered.written_bytes,
        "unsent_bytes": unanswered.unsent_bytes,
        "reason": unanswered.reason,
        **gateway.shutdown_report.fields(request, sent_at),
    }
    request_id = unanswered.request_id.decode("latin-1")
    gateway.request_log.log_unanswered(request_id, state, fields)


def _request_id(fields: HeaderFields) -> bytes:
    return find_header(fields, ATTEMPT_ID) or b""
