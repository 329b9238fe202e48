"""Handling of one caller's request from its header to its final answer."""

from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import logbook
import xxhash
from twisted.internet.defer import Deferred

from ..clocks import Cancellable
from ..results import Refusal, ResultCode, RunStatus
from ..routing import Match, RequestKind
from ..storage import Table
from .attempts import RequestAttempts
from .body import BufferedBody, StreamedBody
from .caller import MAX_BUFFERED_BODY_BYTES, CallerRequest
from .claims import ClaimState, HeldClaim, claim_request, claim_row_key, settle_claim
from .context import RequestContext
from .headers import clean_request_headers, parse_deadline
from .retry import add_request_credit
from .spans import end_span, start_request_span, trace_id_of
from .waiting import CancelScope

__all__ = ["Exchange"]

RETRY_AFTER = timedelta(seconds=1)
MAX_IDEMPOTENCY_KEY_BYTES = 255

_log = logbook.Logger("laburnumhatch.requests")


class Exchange:
    """Handler of one caller's request.

    Parameters
    ----------
    context : RequestContext
    request : CallerRequest
    """

    def __init__(self, context: RequestContext, request: CallerRequest) -> None:
        self._context = context
        self._request = request
        self._started_at = context.clock.now()
        self._request_id = context.next_request_id()
        self._span = start_request_span(context.tracer, request.requestHeaders)
        self._cancel_scope = CancelScope(context.clock)
        self._match: Match | None = None
        self._deadline = self._started_at
        self._deadline_timer: Cancellable | None = None
        self._body: BufferedBody | StreamedBody | None = None
        self._attempts: RequestAttempts | None = None
        self._is_running = False
        self._is_finished = False
        context.exchanges.add(self)

    def header_received(self, length: int | None) -> None:
        """Route the request, and start it unless its body is buffered first."""
        refusal = self._route(length)
        if refusal is not None:
            self._finish(refusal)
        elif length == 0:
            self._start()
        elif length is not None and length <= MAX_BUFFERED_BODY_BYTES:
            self._request.buffer_body()
        else:
            self._body = self._request.stream_body(length)
            self._start()

    def body_received(self, content: bytes) -> None:
        """Start a request whose body is complete."""
        self._body = BufferedBody(content)
        self._start()

    def body_too_large(self) -> None:
        """Refuse a chunked body that exceeds the limit of its kind."""
        self._interrupt(Refusal(ResultCode.BODY_TOO_LARGE))

    def caller_disconnected(self) -> None:
        """Cancel the request, since its caller has disconnected."""
        self._interrupt(Refusal(ResultCode.CALLER_LEFT))

    def _route(self, length: int | None) -> Refusal | None:
        context = self._context
        if context.is_stopping:
            return Refusal(ResultCode.STOPPING, retry_after=RETRY_AFTER)
        matcher = context.matcher()
        if matcher is None:
            return Refusal(ResultCode.NO_CONFIGURATION, retry_after=RETRY_AFTER)
        self._match = match = context.match(matcher, self._request)
        if match is None:
            return Refusal(ResultCode.NO_ROUTE)
        if match.service.ownership is not None and match.key is None:
            return Refusal(ResultCode.KEY_MISSING)
        return self._check_limits(match.kind, length)

    def _check_limits(self, kind: RequestKind, length: int | None) -> Refusal | None:
        if length is not None and length > kind.body_limit_bytes:
            detail = f"the limit for kind {kind.name} is {kind.body_limit_bytes} bytes"
            return Refusal(ResultCode.BODY_TOO_LARGE, detail)
        self._request.body_limit_bytes = kind.body_limit_bytes
        allowed_time = parse_deadline(self._request.getHeader(b"deadline-ms"), kind.deadline)
        if allowed_time is None:
            return Refusal(ResultCode.DEADLINE_INVALID)
        if not allowed_time:
            return Refusal(ResultCode.DEADLINE_PASSED)
        self._deadline = self._started_at + allowed_time
        self._deadline_timer = self._context.clock.call_later(allowed_time, self._deadline_passed)
        return None

    def _start(self) -> None:
        self._is_running = True
        clean_request_headers(self._request.requestHeaders, self._request.caller_host)
        add_request_credit(self._context.retry_budget)
        Deferred.fromCoroutine(self._run())

    async def _run(self) -> None:
        try:
            refusal = await self._answer()
        except Exception:
            _log.exception("request {} failed with an internal error", self._request_id)
            refusal = Refusal(ResultCode.INTERNAL_ERROR)
        self._finish(refusal)

    async def _answer(self) -> Refusal | None:
        assert self._match is not None
        held_claim = await self._claim_idempotency_key(self._match)
        if isinstance(held_claim, Refusal):
            return held_claim
        self._attempts = RequestAttempts(
            self._context,
            self._request,
            self._request_id,
            self._match,
            self._body,
            self._deadline,
            self._cancel_scope,
            self._span,
        )
        refusal = await self._attempts.send_until_final()
        if held_claim is not None:
            self._settle_claim(held_claim, refusal, self._attempts)
        return refusal

    async def _claim_idempotency_key(self, match: Match) -> HeldClaim | Refusal | None:
        kind, table = match.kind, self._context.claims
        idempotency_key = self._request.getHeader(b"idempotency-key")
        if idempotency_key is None or kind.is_repeatable or table is None:
            return None
        if (
            not 0 < len(idempotency_key) <= MAX_IDEMPOTENCY_KEY_BYTES
            or not idempotency_key.isascii()
        ):
            return Refusal(ResultCode.IDEMPOTENCY_KEY_INVALID)
        row_key = claim_row_key(match.service.name, kind.name, idempotency_key.decode())
        claiming = claim_request(table, row_key, self._fingerprint(), self._request_id)
        # Cancelling the request ends only this wait. The claim continues in the background until
        # its outcome is known, and is released if it succeeds too late.
        claim_result: Deferred[HeldClaim | Refusal] = Deferred()
        self._context.run_in_background(self._complete_claim(table, claiming, claim_result))
        try:
            return await self._cancel_scope.wait(claim_result)
        except Exception:
            return self._cancel_scope.interruption or Refusal(ResultCode.CLAIM_UNAVAILABLE)

    async def _complete_claim(
        self,
        table: Table,
        claiming: Coroutine[Any, Any, HeldClaim | Refusal],
        claim_result: Deferred[HeldClaim | Refusal],
    ) -> None:
        result: HeldClaim | Refusal = Refusal(ResultCode.CLAIM_UNAVAILABLE)
        try:
            result = await claiming
        finally:
            if not claim_result.called:
                claim_result.callback(result)
            elif isinstance(result, HeldClaim):
                await settle_claim(table, result, ClaimState.NOT_RUN, None)

    def _fingerprint(self) -> str:
        request, body = self._request, self._body
        digest = xxhash.xxh3_128(request.method + b" " + request.uri + b"\0")
        if isinstance(body, BufferedBody):
            digest.update(body.content)
        elif body is not None:
            # A streamed body isn't known before it is sent, so its length is hashed instead.
            digest.update(f"streamed {body.length}".encode())
        return digest.hexdigest()

    def _settle_claim(
        self, held_claim: HeldClaim, refusal: Refusal | None, attempts: RequestAttempts
    ) -> None:
        if refusal is not None and attempts.may_have_run:
            return
        state = ClaimState.ANSWERED if refusal is None else ClaimState.NOT_RUN
        assert self._context.claims is not None
        self._context.run_in_background(
            settle_claim(self._context.claims, held_claim, state, attempts.status)
        )

    def _deadline_passed(self) -> None:
        self._deadline_timer = None
        self._interrupt(Refusal(ResultCode.UPSTREAM_TIMEOUT, "the deadline passed"))

    def _interrupt(self, refusal: Refusal) -> None:
        if self._is_finished:
            return
        self._cancel_scope.interruption = self._cancel_scope.interruption or refusal
        if isinstance(self._body, StreamedBody):
            self._body.mark_truncated()
        if self._is_running:
            self._cancel_scope.cancel()
        else:
            self._finish(refusal)

    def _finish(self, refusal: Refusal | None) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
        final = None if refusal is None else self._combine_with_attempts(refusal)
        request = self._request
        if final is not None and not request.is_disconnected and not request.is_answered:
            if request.startedWriting:
                request.abort_answer()
            else:
                trace_id = trace_id_of(self._span)
                request.refuse(final, trace_id, self._request_id, self._context.is_stopping)
        self._record(final)
        self._context.exchange_finished(self)

    def _combine_with_attempts(self, refusal: Refusal) -> Refusal:
        """Return a refusal whose run status takes all attempts of the request into account."""
        may_have_run = self._attempts is not None and self._attempts.may_have_run
        run = refusal.run_status
        if may_have_run and run is RunStatus.NO:
            run = RunStatus.UNKNOWN
        if may_have_run or refusal.code not in (
            ResultCode.UPSTREAM_TIMEOUT,
            ResultCode.CALLER_LEFT,
        ):
            return Refusal(refusal.code, refusal.detail, run, refusal.retry_after)
        if refusal.code is ResultCode.CALLER_LEFT:
            return Refusal(refusal.code, refusal.detail, RunStatus.NO)
        return Refusal(ResultCode.DEADLINE_PASSED, refusal.detail, retry_after=RETRY_AFTER)

    def _record(self, refusal: Refusal | None) -> None:
        context = self._context
        code = ResultCode.ANSWERED if refusal is None else refusal.code
        match = self._match
        service, kind = (match.service.name, match.kind.name) if match else ("", "")
        context.metrics.requests[service, kind, str(code.number)] += 1
        if refusal is None:
            context.metrics.observe_latency(service, kind, context.clock.now() - self._started_at)
        else:
            context.log_refusal(refusal, trace_id_of(self._span), self._request_id, service, kind)
        end_span(
            self._span, service=service, kind=kind, code=code.number, request_id=self._request_id
        )
