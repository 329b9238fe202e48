"""Attempts of one request: target selection, upstream calls and retries."""

from datetime import timedelta
from typing import Any

from ..clocks import to_milliseconds
from ..ownership import NoOwner, Owner
from ..results import Refusal, ResultCode, RunStatus
from ..routing import Match, Target
from .body import BufferedBody, StreamedBody
from .call_limit import CallTimer
from .caller import CallerRequest
from .context import RequestContext
from .history import AttemptRecord
from .outcomes import (
    AttemptFailure,
    Broken,
    Declined,
    DeclineReason,
    NotConnected,
    NotSent,
    TimedOut,
    outcome_name,
    refusal_of,
)
from .retry import GiveUp, RetryConditions, decide_retry, refill_budget, spend_retry
from .spans import end_span, inject_context, start_call_span
from .target_queue import QueuedRequest, TargetQueue
from .upstream_call import CallParameters, UpstreamCall
from .waiting import CancelScope

__all__ = ["RequestAttempts"]

RETRY_AFTER = timedelta(seconds=1)
# How often the owner is looked up again for a request that was not sent because a lease expired.
MAX_REPEATED_LOOKUPS = 3

Body = BufferedBody | StreamedBody | None


class RequestAttempts:
    """Make the upstream calls of one request until its answer is final.

    Parameters
    ----------
    context : RequestContext
    request : CallerRequest
    request_id : str
    match : Match
    body : BufferedBody, StreamedBody or None
    deadline : timedelta
        Time by which the caller must have its answer.
    cancel_scope : CancelScope
    span : Span
        Span of the request.

    Attributes
    ----------
    may_have_run : bool
        Whether an upstream may have run the request without giving a complete answer.
    status : int or None
        HTTP status of the last answer.
    """

    def __init__(
        self,
        context: RequestContext,
        request: CallerRequest,
        request_id: str,
        match: Match,
        body: Body,
        deadline: timedelta,
        cancel_scope: CancelScope,
        span: Any,
    ) -> None:
        self._context = context
        self._request = request
        self._request_id = request_id
        self._match = match
        self._body = body
        self._deadline = deadline
        self._cancel_scope = cancel_scope
        self._span = span
        self._tried_targets: frozenset[str] = frozenset()
        self._full_targets: frozenset[str] = frozenset()
        self._retry_count = 0
        self.may_have_run = False
        self.status: int | None = None

    async def send_until_final(self) -> Refusal | None:
        """Make attempts until one is final.

        Returns
        -------
        Refusal or None
            None once the caller has the complete answer.
        """
        last_refusal: Refusal | None = None
        lookup_count = 0
        while self._cancel_scope.interruption is None:
            route = self._choose_route()
            if isinstance(route, Refusal):
                return last_refusal or route
            target, owner = route
            outcome = await self._attempt(target, owner)
            if outcome is None or self._cancel_scope.interruption is not None:
                break
            if isinstance(outcome, Refusal):
                if owner is not None:
                    return outcome
                self._full_targets |= {target.name}
                last_refusal = last_refusal or outcome
                continue
            last_refusal = refusal_of(outcome, RETRY_AFTER)
            if isinstance(outcome, NotSent):
                lookup_count += 1
                if (
                    outcome.code is ResultCode.LEASE_EXPIRED
                    and lookup_count <= MAX_REPEATED_LOOKUPS
                ):
                    continue
                return last_refusal
            self._tried_targets |= {target.name}
            delay = self._retry_delay(outcome, owner)
            if delay is None or not await self._cancel_scope.sleep(delay):
                return self._cancel_scope.interruption or last_refusal
            self._retry_count += 1
            self._context.metrics.retries[self._match.service.name, self._match.kind.name] += 1
        return None if self._cancel_scope.interruption is None else self._cancel_scope.interruption

    def _choose_route(self) -> tuple[Target, Owner | None] | Refusal:
        service, context = self._match.service, self._context
        if service.ownership is None:
            found = context.chooser.choose(service, self._tried_targets | self._full_targets)
            if found is None and self._tried_targets:
                found = context.chooser.choose(service, self._full_targets)
            if found is None:
                return Refusal(ResultCode.NO_TARGET, retry_after=RETRY_AFTER)
            return found, None
        assert self._match.key is not None
        owner = context.ownership.owner_of(service.name, self._match.key)
        if isinstance(owner, NoOwner):
            retry_after = owner.retry_after or RETRY_AFTER
            return Refusal(owner.code, owner.detail, retry_after=retry_after)
        target = context.target(service, owner.server)
        if target is None or not context.targets.takes_new_work(service.name, owner.server):
            detail = f"the key's owner {owner.server} takes no new work"
            return Refusal(ResultCode.NO_TARGET, detail, retry_after=RETRY_AFTER)
        return target, owner

    def _retry_delay(self, failure: AttemptFailure, owner: Owner | None) -> timedelta | None:
        context, now = self._context, self._context.clock.now()
        body = self._body
        conditions = RetryConditions(
            is_repeatable=self._match.kind.is_repeatable,
            retry_count=self._retry_count,
            retry_limit=self._match.kind.retry_limit,
            remaining_time=self._deadline - now,
            is_body_replayable=not isinstance(body, StreamedBody) or not body.has_started,
            has_other_server=self._has_other_server(owner),
            has_budget=refill_budget(context.retry_budget, now),
            jitter=context.random.random(),
        )
        decision = decide_retry(failure, conditions)
        if isinstance(decision, GiveUp):
            return None
        spend_retry(context.retry_budget)
        return decision.delay

    def _has_other_server(self, owner: Owner | None) -> bool:
        service = self._match.service
        if owner is None:
            return (
                self._context.chooser.choose(service, self._tried_targets | self._full_targets)
                is not None
            )
        assert self._match.key is not None
        current = self._context.ownership.owner_of(service.name, self._match.key)
        return isinstance(current, Owner) and current.epoch > owner.epoch

    async def _attempt(
        self, target: Target, owner: Owner | None
    ) -> AttemptFailure | Refusal | None:
        service, context = self._match.service, self._context
        queue = context.queue(service.name, target.name)
        result = queue.submit(
            self._match.kind, self._match.key, self._deadline, context.max_concurrent_calls(service)
        )
        if isinstance(result, QueuedRequest):
            result = await self._wait_in_queue(queue, result)
        if isinstance(result, Refusal):
            return result
        call = self._build_call(target, owner)
        span = start_call_span(context.tracer, self._span, service.name, target.name)
        inject_context(span, self._request.requestHeaders)
        if owner is None:
            context.chooser.request_started(service.name, target.name)
        timer = self._start_call_timer(call, owner)
        failure: AttemptFailure | None = Broken("internal error")
        try:
            failure = await call.run()
        finally:
            timer.stop()
            now = context.clock.now()
            self._record_attempt(target, owner, call, failure, now)
            queue.finish_request(None if call.sent_at is None else now - call.sent_at)
        if span is not self._span:
            end_span(span, outcome=outcome_name(failure))
        return failure

    async def _wait_in_queue(
        self, queue: TargetQueue, queued_request: QueuedRequest
    ) -> Refusal | None:
        clock = self._context.clock
        # Refuse the request while its deadline still leaves time for one call, whatever delays the
        # queue, so that the caller can still react.
        latest_start = self._deadline - queue.latency - clock.now()
        refusal = Refusal(ResultCode.DEADLINE_UNREACHABLE, retry_after=RETRY_AFTER)
        timer = clock.call_later(latest_start, self._cancel_scope.interrupt, refusal)
        try:
            return await self._cancel_scope.wait(queued_request.started)  # type: ignore[no-any-return]
        except Exception:
            queue.withdraw(queued_request)
            return self._cancel_scope.interruption
        finally:
            if timer.active():
                timer.cancel()

    def _build_call(self, target: Target, owner: Owner | None) -> UpstreamCall:
        context, headers = self._context, self._request.requestHeaders
        remaining = max(0, to_milliseconds(self._deadline - context.clock.now()))
        headers.setRawHeaders(b"deadline-ms", [b"%d" % remaining])
        headers.setRawHeaders(b"request-id", [self._request_id.encode()])
        if owner is not None:
            headers.setRawHeaders(b"ownership-slot", [b"%d" % owner.slot])
            headers.setRawHeaders(b"fencing-token", [b"%d" % owner.epoch])
        parameters = CallParameters(
            request_id=self._request_id,
            headers=headers,
            body=self._body,
            owner=owner,
            is_repeatable=self._match.kind.is_repeatable,
            deadline=self._deadline,
            closes_connection=lambda: context.is_stopping,
        )
        pool = context.pool(target)
        return UpstreamCall(
            context.clock, context.ownership, pool, self._request, parameters, self._cancel_scope
        )

    def _start_call_timer(self, call: UpstreamCall, owner: Owner | None) -> CallTimer:
        context, service, kind = self._context, self._match.service, self._match.kind
        timer = CallTimer(context.clock, self._cancel_scope)
        if owner is None:
            may_try_another_target = kind.is_repeatable and self._retry_count < kind.retry_limit
            if may_try_another_target and len(service.targets) > 1:
                timer.start_answer_timeout(call, (self._deadline - context.clock.now()) / 2)
            return timer
        assert service.ownership is not None and self._match.key is not None
        if not service.ownership.checks_fencing and owner.expires < self._deadline:
            timer.start_lease_timeout(context.ownership, service.name, self._match.key, owner)
        return timer

    def _record_attempt(
        self,
        target: Target,
        owner: Owner | None,
        call: UpstreamCall,
        failure: AttemptFailure | None,
        now: timedelta,
    ) -> None:
        context, service = self._context, self._match.service.name
        context.metrics.attempts[service, target.name, outcome_name(failure)] += 1
        self.status = call.status
        if owner is None:
            latency = (call.answered_at or now) - (call.sent_at or now)
            context.chooser.request_ended(service, target.name, latency, failure is None)
        self._report_to_membership(target.name, call, failure)
        if call.sent_at is None:
            return
        run = RunStatus.YES if failure is None else failure.run
        self.may_have_run |= run is RunStatus.UNKNOWN
        if owner is not None and failure is None and context.on_owner_call is not None:
            assert self._match.key is not None
            context.on_owner_call(owner, self._match.key, now - call.sent_at)
        if run is RunStatus.UNKNOWN:
            context.cancel_upstream(target, owner, self._request_id)
        elif owner is not None:
            context.ownership.request_ended(owner)
        if context.history is not None:
            context.history(self._build_record(target, owner, call.sent_at, now, run))

    def _build_record(
        self, target: Target, owner: Owner | None, start: timedelta, end: timedelta, run: RunStatus
    ) -> AttemptRecord:
        return AttemptRecord(
            request_id=self._request_id,
            service=self._match.service.name,
            kind=self._match.kind.name,
            key=self._match.key,
            server=target.name,
            epoch=owner.epoch if owner is not None else None,
            is_repeatable=self._match.kind.is_repeatable,
            started_at=start,
            ended_at=end,
            run=run,
        )

    def _report_to_membership(
        self, target: str, call: UpstreamCall, failure: AttemptFailure | None
    ) -> None:
        targets, service = self._context.targets, self._match.service.name
        match failure:
            case Declined(DeclineReason.DRAINING, _):
                targets.record_draining(service, target)
            case None | Declined():
                targets.record_answer(service, target)
            case NotConnected() if call.was_connection_refused:
                targets.record_connection_refused(service, target)
            case NotConnected() | TimedOut() if call.answered_at is None:
                if not self._request.is_disconnected:
                    targets.record_timeout(service, target)
