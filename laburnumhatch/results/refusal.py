"""Refusal of a request and its problem document."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from .codes import ResultCode, RunStatus

__all__ = ["PROBLEM_CONTENT_TYPE", "Refusal", "problem_document"]

PROBLEM_CONTENT_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:laburnumhatch:result:"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Final answer to a request that does not come from an upstream.

    Attributes
    ----------
    code : ResultCode
    detail : str
        One sentence for the caller.
    run : RunStatus or None
        Overrides ``code.run`` where more is known.
    retry_after : timedelta or None
        Time after which the caller may retry; None if no time is given.
    """

    code: ResultCode
    detail: str = ""
    run: RunStatus | None = None
    retry_after: timedelta | None = None

    @property
    def run_status(self) -> RunStatus:
        """Whether the request ran, as stated to the caller."""
        return self.code.run if self.run is None else self.run


def problem_document(refusal: Refusal, trace_id: str = "") -> dict[str, Any]:
    """Return the RFC 9457 problem document of `refusal`.

    Parameters
    ----------
    refusal : Refusal
    trace_id : str, optional
        Trace identifier of the request, 32 hexadecimal digits.

    Returns
    -------
    dict
        Members ``type``, ``title``, ``status``, ``detail``, ``code``, ``run`` and ``trace``.

    References
    ----------
    .. [1] RFC 9457, Problem Details for HTTP APIs.

    Examples
    --------
    >>> problem_document(Refusal(ResultCode.NO_OWNER))["code"]
    301
    """
    return {
        "type": f"{_TYPE_PREFIX}{refusal.code.number}",
        "title": refusal.code.title,
        "status": refusal.code.status,
        "detail": refusal.detail,
        "code": refusal.code.number,
        "run": refusal.run_status.value,
        "trace": trace_id,
    }
