"""Rate-limited log of requests."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import logbook

from ..clocks import Clock
from ..fleet import Upstream
from ..platform.headers import KEY, REQUEST_ID, find_header
from ..results import Refusal
from ..transport import CallerRequest

__all__ = ["RequestLog"]

# Rate and burst of log lines. They are limited because a line takes processor time from requests.
# Lines about answered requests have a separate limit, so that they don't displace others.
LINES_PER_SECOND = 30.0
LINES_AT_ONCE = 60.0
ANSWERED_PER_SECOND = 3.0
ANSWERED_AT_ONCE = 6.0

_log = logbook.Logger("laburnumhatch.requests")


@dataclass(slots=True)
class _Allowance:
    """Token bucket that limits the rate and the burst of log lines."""

    per_second: float
    at_once: float
    left: float
    refilled: timedelta

    def take(self, now: timedelta) -> bool:
        """Take a token for one line if there is one; return whether there was."""
        passed = (now - self.refilled).total_seconds()
        self.left = min(self.at_once, self.left + passed * self.per_second)
        self.refilled = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class RequestLog:
    """Rate-limited log of requests, with separate limits for answered and for other requests.

    Parameters
    ----------
    clock : Clock
    knowledge : callable
        Returns the versions and ages of the data behind the decisions, for each log line.

    Attributes
    ----------
    dropped : int
        Lines about retries, failures and refusals that were left out since the last such line.
    answered_left_out : int
        Lines about answered requests that were left out since the start.
    """

    def __init__(self, clock: Clock, knowledge: Callable[[], Mapping[str, object]]) -> None:
        self._clock = clock
        self._knowledge = knowledge
        now = clock.now()
        self._allowance = _Allowance(LINES_PER_SECOND, LINES_AT_ONCE, LINES_AT_ONCE, now)
        self._answered = _Allowance(ANSWERED_PER_SECOND, ANSWERED_AT_ONCE, ANSWERED_AT_ONCE, now)
        self.dropped = 0
        self.answered_left_out = 0

    def answered(
        self, request: CallerRequest, service: str, upstream: Upstream | None, sends: int
    ) -> None:
        """Log that a request was answered after `sends` attempts."""
        if self._answered.take(self._clock.now()):
            self._write(request, service, upstream, "answered", sends=sends)
        else:
            self.answered_left_out += 1

    def refusal(
        self, request: CallerRequest, service: str, upstream: Upstream | None, refusal: Refusal
    ) -> None:
        """Log that a request was refused."""
        self._write_if_allowed(
            request,
            service,
            upstream,
            f"refused: {refusal.code.title}; {refusal.detail}",
            code=refusal.code.number,
            run=refusal.effective_run.value,
        )

    def retry(
        self, request: CallerRequest, service: str, upstream: Upstream | None, reason: str
    ) -> None:
        """Log that a request is retried."""
        self._write_if_allowed(request, service, upstream, f"retrying: {reason}")

    def failure(
        self, request: CallerRequest, service: str, upstream: Upstream | None, reason: str
    ) -> None:
        """Log that a request failed at its upstream."""
        self._write_if_allowed(request, service, upstream, reason)

    def _write_if_allowed(
        self,
        request: CallerRequest,
        service: str,
        upstream: Upstream | None,
        text: str,
        **fields: object,
    ) -> None:
        if not self._allowance.take(self._clock.now()):
            self.dropped += 1
            return
        if self.dropped:
            fields["lines_left_out"] = self.dropped
            self.dropped = 0
        self._write(request, service, upstream, text, **fields)

    def _write(
        self,
        request: CallerRequest,
        service: str,
        upstream: Upstream | None,
        text: str,
        **fields: object,
    ) -> None:
        now = self._clock.now()
        own_id = find_header(request.fields, REQUEST_ID) or b""
        extra: dict[str, object] = {
            "request": own_id.decode("latin-1"),
            "service": service,
            "after_ms": round((now - request.received_at).total_seconds() * 1000, 1),
            **fields,
            **self._knowledge(),
        }
        key = find_header(request.fields, KEY)
        if key is not None:
            extra["key"] = key.decode("latin-1")
        if upstream is not None:
            extra["upstream"] = upstream.name
        _log.info("{}", text, extra=extra)
