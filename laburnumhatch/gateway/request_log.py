"""Log lines about requests, bounded in number."""

from collections.abc import Callable, Mapping

import logbook

from ..clocks import Clock
from ..fleet import Upstream
from ..platform.headers import KEY, REQUEST_ID, find_header
from ..results import Refusal
from ..transport import CallerRequest

__all__ = ["RequestLog"]

# Lines a second on average, and at once; a line costs processor time that requests need.
LINES_PER_SECOND = 30.0
LINES_AT_ONCE = 60.0

_log = logbook.Logger("laburnumhatch.requests")


class RequestLog:
    """Writes what became of requests that were not simply answered.

    Parameters
    ----------
    clock : Clock
    knowledge : callable
        Returns the versions and ages of what decisions go by, for each line.
    """

    def __init__(self, clock: Clock, knowledge: Callable[[], Mapping[str, object]]) -> None:
        self._clock = clock
        self._knowledge = knowledge
        self._allowance = LINES_AT_ONCE
        self._refilled = clock.now()
        self.dropped = 0

    def refusal(
        self, request: CallerRequest, service: str, upstream: Upstream | None, refusal: Refusal
    ) -> None:
        """Write that a request was refused."""
        self._write(
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
        """Write that a request is sent again."""
        self._write(request, service, upstream, f"sent again: {reason}")

    def failure(
        self, request: CallerRequest, service: str, upstream: Upstream | None, reason: str
    ) -> None:
        """Write that a request failed at its upstream."""
        self._write(request, service, upstream, reason)

    def _write(
        self,
        request: CallerRequest,
        service: str,
        upstream: Upstream | None,
        text: str,
        **fields: object,
    ) -> None:
        now = self._clock.now()
        passed = (now - self._refilled).total_seconds()
        self._allowance = min(LINES_AT_ONCE, self._allowance + passed * LINES_PER_SECOND)
        self._refilled = now
        if self._allowance < 1.0:
            self.dropped += 1
            return
        self._allowance -= 1.0
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
        if self.dropped:
            extra["lines_left_out"] = self.dropped
            self.dropped = 0
        _log.info("{}", text, extra=extra)
