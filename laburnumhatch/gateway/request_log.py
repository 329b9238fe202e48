"""Rate-limited log of requests."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import logbook

from ..clocks import Clock
from ..fleet import Upstream
from ..platform.headers import ATTEMPT_ID, KEY, find_header
from ..results import Refusal
from ..transport import CallerRequest
from .fingerprint import fingerprint_of

__all__ = ["LoggedTarget", "RequestLog", "RequestState"]

# Rate and burst of log lines. They are limited because a line takes processor time from requests.
# Lines about answered requests have a separate limit, so that they don't displace others, and so
# have those about requests that end without an answer, of which many may come at once.
LINES_PER_SECOND = 30.0
LINES_BURST = 60.0
ANSWERED_LINES_PER_SECOND = 3.0
ANSWERED_LINES_BURST = 6.0

_log = logbook.Logger("laburnumhatch.requests")


@dataclass(slots=True)
class _TokenBucket:
    """Token bucket that limits the rate and the burst of log lines."""

    rate_per_s: float
    burst: float
    tokens: float
    refilled_at: timedelta

    def take(self, now: timedelta) -> bool:
        """Take a token for one line if there is one; return whether there was."""
        elapsed_s = (now - self.refilled_at).total_seconds()
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class LoggedTarget:
    """Where a request goes, as far as that was decided; names are empty before."""

    service: str
    route: str
    upstream: Upstream | None


@dataclass(frozen=True, slots=True)
class RequestState:
    """What is done for a request at some instant.

    Attributes
    ----------
    request : CallerRequest
    target : LoggedTarget
    state : str
        What the request waits for.
    sent_at : timedelta or None
        Instant at which it was last sent to an upstream.
    """

    request: CallerRequest
    target: LoggedTarget
    state: str
    sent_at: timedelta | None


class RequestLog:
    """Rate-limited log of requests, with separate limits for answered, unanswered and other ones.

    Parameters
    ----------
    clock : Clock
    log_context : callable
        Returns the versions and ages of the data behind the decisions, for each log line.

    Attributes
    ----------
    dropped_count : int
        Lines about retries, failures and refusals that were left out since the last such line.
    dropped_answered_count : int
        Lines about answered requests that were left out since the start.
    dropped_state_count : int
        Lines about the states of requests that were left out since the last such line.
    """

    def __init__(self, clock: Clock, log_context: Callable[[], Mapping[str, object]]) -> None:
        self._clock = clock
        self._log_context = log_context
        now = clock.now()
        self._bucket = _TokenBucket(LINES_PER_SECOND, LINES_BURST, LINES_BURST, now)
        self._answered_bucket = _TokenBucket(
            ANSWERED_LINES_PER_SECOND, ANSWERED_LINES_BURST, ANSWERED_LINES_BURST, now
        )
        self._state_bucket = _TokenBucket(LINES_PER_SECOND, LINES_BURST, LINES_BURST, now)
        self.dropped_count = 0
        self.dropped_answered_count = 0
        self.dropped_state_count = 0

    def log_answer(
        self, request: CallerRequest, target: LoggedTarget, send_count: int, waited: timedelta
    ) -> None:
        """Log that a request was answered after `send_count` attempts and a wait for room."""
        if self._answered_bucket.take(self._clock.now()):
            fields: dict[str, object] = {"sends": send_count}
            if waited:
                fields["waited_ms"] = round(waited.total_seconds() * 1000, 1)
            self._write(request, target, "answered", **fields)
        else:
            self.dropped_answered_count += 1

    def log_refusal(self, request: CallerRequest, target: LoggedTarget, refusal: Refusal) -> None:
        """Log that a request was refused."""
        self._write_if_allowed(
            request,
            target,
            f"refused: {refusal.code.title}; {refusal.detail}",
            code=refusal.code.number,
            run=refusal.run_status.value,
        )

    def log_retry(
        self, request: CallerRequest, target: LoggedTarget, reason: str, budget_left: float
    ) -> None:
        """Log that a request is retried; `budget_left` further retries are allowed."""
        self._write_if_allowed(
            request, target, f"retrying: {reason}", budget_left=round(budget_left, 1)
        )

    def log_relay(self, request: CallerRequest, target: LoggedTarget, peer: str) -> None:
        """Log that a request is passed on to another instance."""
        self._write_if_allowed(request, target, f"passed on to {peer}")

    def log_disconnect(
        self, request: CallerRequest, target: LoggedTarget, state: str, was_sent: bool
    ) -> None:
        """Log that the caller closed its connection before its answer.

        Parameters
        ----------
        request : CallerRequest
        target : LoggedTarget
        state : str
            What the request was waiting for.
        was_sent : bool
            Whether an upstream was sent the request.
        """
        self._write_if_allowed(request, target, "the caller left", state=state, was_sent=was_sent)

    def log_failure(self, request: CallerRequest, target: LoggedTarget, reason: str) -> None:
        """Log that a request failed at its upstream."""
        self._write_if_allowed(request, target, reason)

    def may_log_state(self) -> bool:
        """Return whether `log_unanswered` may be called once, and count the line if it may not."""
        if self._state_bucket.take(self._clock.now()):
            return True
        self.dropped_state_count += 1
        return False

    def log_unanswered(
        self, request_id: str, state: RequestState | None, fields: dict[str, object]
    ) -> None:
        """Log that a request ends without a complete answer.

        Parameters
        ----------
        request_id : str
        state : RequestState or None
            None if it is no longer known.
        fields : dict of str to object
            What else the line says.
        """
        message = f"no complete answer: {fields['cause']}"
        if state is not None:
            self._write_state(state, message, fields)
        else:
            extra = {"request": request_id, **self._left_out(), **fields, **self._log_context()}
            _log.info("{}", message, extra=extra)

    def log_state(self, state: RequestState, message: str, **fields: object) -> None:
        """Log the state of a request."""
        if self.may_log_state():
            fields["was_sent"] = state.sent_at is not None
            self._write_state(state, message, fields)

    def _write_state(self, state: RequestState, message: str, fields: dict[str, object]) -> None:
        self._write(state.request, state.target, message, **self._left_out(), **fields)

    def _left_out(self) -> dict[str, object]:
        count, self.dropped_state_count = self.dropped_state_count, 0
        return {"lines_left_out": count} if count else {}

    def _write_if_allowed(
        self,
        request: CallerRequest,
        target: LoggedTarget,
        message: str,
        **fields: object,
    ) -> None:
        if not self._bucket.take(self._clock.now()):
            self.dropped_count += 1
            return
        if self.dropped_count:
            fields["lines_left_out"] = self.dropped_count
            self.dropped_count = 0
        fields["fingerprint"] = fingerprint_of(request).hex()
        self._write(request, target, message, **fields)

    def _write(
        self,
        request: CallerRequest,
        target: LoggedTarget,
        message: str,
        **fields: object,
    ) -> None:
        now = self._clock.now()
        request_id = find_header(request.fields, ATTEMPT_ID) or b""
        extra: dict[str, object] = {
            "request": request_id.decode("latin-1"),
            "service": target.service,
            "route": target.route,
            "after_ms": round((now - request.received_at).total_seconds() * 1000, 1),
            **fields,
            **self._log_context(),
        }
        key = find_header(request.fields, KEY)
        if key is not None:
            extra["key"] = key.decode("latin-1")
        if target.upstream is not None:
            extra["upstream"] = target.upstream.name
        _log.info("{}", message, extra=extra)
