"""Refusals, the answers that the gateway creates itself."""

import msgspec

from ..results import PROBLEM_CONTENT_TYPE, Refusal, RunStatus, problem_document
from ..transport import CallerRequest

__all__ = ["NOT_RUN_STATUS", "refuse"]

NOT_RUN_STATUS = 503


def refuse(request: CallerRequest, refusal: Refusal) -> None:
    """Answer a request with a refusal.

    Notes
    -----
    The statuses 408, 421, 429 and 503 guarantee to the caller that the request did not run and
    never will. A refusal that isn't certain of this must have another status.

    Raises
    ------
    ValueError
        If the status is 503 although the request may have run.
    """
    status = refusal.code.status
    if refusal.run_status is not RunStatus.NO and status == NOT_RUN_STATUS:
        raise ValueError(f"{refusal.code} has status 503, but the request may have run")
    fields = [(b"content-type", PROBLEM_CONTENT_TYPE.encode())]
    if refusal.retry_after is not None:
        seconds = f"{refusal.retry_after.total_seconds():.3f}"
        fields.append((b"retry-after", seconds.encode()))
    request.respond(status, fields, msgspec.json.encode(problem_document(refusal)))
