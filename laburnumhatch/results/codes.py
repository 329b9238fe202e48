"""Numbered result codes of a request."""

from enum import Enum, StrEnum

__all__ = ["ResultCode", "RunStatus"]


class RunStatus(StrEnum):
    """Whether an upstream ran a request."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class ResultCode(Enum):
    """Result code of a request.

    Attributes
    ----------
    number : int
        Stable number, which is sent to callers and listed in docs/RESULT-CODES.md.
    status : int
        HTTP status of the answer with this code.
    run : RunStatus
        Whether the request ran at an upstream, according to the code.
    title : str
        Title in the problem document.

    Examples
    --------
    >>> ResultCode.QUEUE_FULL.number, ResultCode.QUEUE_FULL.status
    (203, 503)
    """

    ANSWERED = (0, 200, RunStatus.YES, "The upstream answered")

    NO_ROUTE = (101, 404, RunStatus.NO, "No service takes this request")
    KEY_MISSING = (102, 400, RunStatus.NO, "The request carries no key")
    HEADER_TOO_LARGE = (103, 431, RunStatus.NO, "The request's header is too large")
    BODY_TOO_LARGE = (104, 413, RunStatus.NO, "The request's body is too large")
    DEADLINE_INVALID = (
        105,
        400,
        RunStatus.NO,
        "The deadline header is not a number of milliseconds",
    )
    IDEMPOTENCY_KEY_IN_USE = (106, 409, RunStatus.UNKNOWN, "The idempotency key was already used")
    CALLER_LEFT = (107, 499, RunStatus.UNKNOWN, "The caller closed its connection")
    BODY_CUT = (108, 400, RunStatus.UNKNOWN, "The request's body ended early")
    IDEMPOTENCY_KEY_INVALID = (109, 400, RunStatus.NO, "The idempotency key is not valid")

    NO_CONFIGURATION = (201, 503, RunStatus.NO, "The instance has no configuration")
    STOPPING = (202, 503, RunStatus.NO, "The instance is stopping")
    QUEUE_FULL = (203, 503, RunStatus.NO, "The queue is full")
    DEADLINE_UNREACHABLE = (204, 503, RunStatus.NO, "The deadline can't be met")
    DEADLINE_PASSED = (205, 504, RunStatus.NO, "The deadline passed before the request was sent")
    CLAIM_UNAVAILABLE = (206, 503, RunStatus.NO, "The idempotency key can't be claimed now")
    MEMORY_FULL = (207, 503, RunStatus.NO, "The instance holds all the bytes that it may")

    NO_OWNER = (301, 503, RunStatus.NO, "No server owns the key now")
    LEASE_EXPIRED = (302, 503, RunStatus.NO, "The instance holds no lease for the key")
    KEY_MOVING = (303, 503, RunStatus.NO, "The key is moving to another server")

    UPSTREAM_UNREACHABLE = (401, 502, RunStatus.NO, "No upstream accepted a connection")
    UPSTREAM_SHED = (402, 503, RunStatus.NO, "The upstream refused the request unrun")
    UPSTREAM_TIMEOUT = (403, 504, RunStatus.UNKNOWN, "The upstream did not answer in time")
    UPSTREAM_BROKEN = (404, 502, RunStatus.UNKNOWN, "The upstream's answer broke off")
    UPSTREAM_FENCED = (405, 503, RunStatus.NO, "The upstream refused the fencing token")
    NO_TARGET = (406, 503, RunStatus.NO, "The service has no target that takes work")
    CRASHES_UPSTREAMS = (
        407,
        502,
        RunStatus.UNKNOWN,
        "The request crashes the upstreams that run it",
    )

    INTERNAL_ERROR = (501, 500, RunStatus.UNKNOWN, "The instance failed on this request")

    def __init__(self, number: int, status: int, run: RunStatus, title: str) -> None:
        self.number = number
        self.status = status
        self.run = run
        self.title = title
