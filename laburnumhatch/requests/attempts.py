"""The upstream calls of one request, until one answer is final."""

from datetime import timedelta
from typing import Any

from ..clocks import to_milliseconds
from ..ownership import NoOwner, Owner
from ..results import Refusal, ResultCode, Run
from ..routing import Match, Target
from .body import KeptBody, StreamedBody
from .call_limit import CallLimit
from .caller import CallerRequest
from .context import RequestContext
from .history import AttemptRecord
from .outcomes import (
    AttemptFailure,
    Broken,
    Declined,
    DeclineReason,
    LeaseLapsed,
    NotConnected,
    TimedOut,
    outcome_name,
    refusal_of,
)
from .retry import GiveUp, RetrySituation, decide_retry, refill_budget, take_retry
from .spans import end_span, inject_context, start_call_span
from .target_queue import TargetQueue, Waiter
from .upstream_call import CallOrder, UpstreamCall
from .waiting import RequestWaits

__all__ = ["RequestAttempts"]

RETRY_AFTER = timedelta(seconds=1)
# Times that an owner is looked up again for a request that never went out.
LOOKUP_LIMIT = 3

Body = KeptBody | StreamedBody | None


class RequestAttempts:
    """The upstream calls of one request.

    Parameters
    ----------
    context : RequestContext
    request : CallerRequest
    request_id : str
    match : Match
    body : KeptBody, StreamedBody or None
    deadline : timedelta
        Instant by which the caller must have its answer.
    waits : RequestWaits
    span : Span
        Of the request.

    Attributes
    ----------
    may_have_run : bool
        Whether an upstream may have run the request without a whole answer.
    status : int or None
        Status of the last answer.
    """

    def __init__(
        self,
        context: RequestContext,
        request: CallerRequest,
        request_id: str,
        match: Match,
        body: Body,
        deadline: timedelta,
        waits: RequestWaits,
        span: Any,
    ) -> None:
        self._context = context
        self._request = request
        self._id = request_id
        self._match = match
        self._body = body
        self._deadline = deadline
        self._waits = waits
        self._span = span
        self._asked: frozenset[str] = frozenset()
        self._full: frozenset[str] = frozenset()
        self._retries = 0
        self.may_have_run = False
        self.status: int | None = None

    async def send_until_final(self) -> Refusal | None:
        """Return None once the caller has its whole answer, or the final refusal."""
        last: Refusal | None = None
        lookups = 0
        while self._waits.interruption is None:
            route = self._choose()
            if isinstance(route, Refusal):
                return last or route
            target, owner = route
            outcome = await self._attempt(target, owner)
            if outcome is None or self._waits.interruption is not None:
                break
            if isinstance(outcome, Refusal):
                if owner is not None:
                    return outcome
                self._full |= {target.name}
                last = last or outcome
                continue
            last = refusal_of(outcome, RETRY_AFTER)
            if isinstance(outcome, LeaseLapsed):
                lookups += 1
                if outcome.code is ResultCode.LEASE_EXPIRED and lookups <= LOOKUP_LIMIT:
                    continue
                return last
            self._asked |= {target.name}
            delay = self._retry_delay(outcome, owner)
            if delay is None or not await self._waits.sleep(delay):
                return self._waits.interruption or last
            self._retries += 1
            self._context.metrics.retries[self._match.service.name, self._match.kind.name] += 1
        return None if self._waits.interruption is None else self._waits.interruption

    def _choose(self) -> tuple[Target, Owner | None] | Refusal:
        service, context = self._match.service, self._context
        if service.ownership is None:
            found = context.chooser.choose(service, self._asked | self._full)
            if found is None and self._asked:
                found = context.chooser.choose(service, self._full)
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
        situation = RetrySituation(
            repeatable=self._match.kind.repeatable,
            retries=self._retries,
            retry_limit=self._match.kind.retry_limit,
            remaining=self._deadline - now,
            body_kept=not isinstance(body, StreamedBody) or not body.started,
            other_server=self._has_other_server(owner),
            budget=refill_budget(context.budget, now),
            jitter=context.random.random(),
        )
        decision = decide_retry(failure, situation)
        if isinstance(decision, GiveUp):
            return None
        take_retry(context.budget)
        return decision.delay

    def _has_other_server(self, owner: Owner | None) -> bool:
        service = self._match.service
        if owner is None:
            return self._context.chooser.choose(service, self._asked | self._full) is not None
        assert self._match.key is not None
        current = self._context.ownership.owner_of(service.name, self._match.key)
        return isinstance(current, Owner) and current.epoch > owner.epoch

    async def _attempt(
        self, target: Target, owner: Owner | None
    ) -> AttemptFailure | Refusal | None:
        service, context = self._match.service, self._context
        queue = context.queue(service.name, target.name)
        entered = queue.enter(
            self._match.kind, self._match.key, self._deadline, context.limit(service)
        )
        if isinstance(entered, Waiter):
            entered = await self._wait_in_queue(queue, entered)
        if isinstance(entered, Refusal):
            return entered
        call = self._new_call(target, owner)
        span = start_call_span(context.tracer, self._span, service.name, target.name)
        inject_context(span, self._request.requestHeaders)
        if owner is None:
            context.chooser.request_started(service.name, target.name)
        limit = self._limit_call(call, owner)
        failure: AttemptFailure | None = Broken("internal error")
        try:
            failure = await call.run()
        finally:
            limit.lift()
            now = context.clock.now()
            self._note(target, owner, call, failure, now)
            queue.ended(None if call.sent_at is None else now - call.sent_at)
        if span is not self._span:
            end_span(span, outcome=outcome_name(failure))
        return failure

    async def _wait_in_queue(self, queue: TargetQueue, waiter: Waiter) -> Refusal | None:
        clock = self._context.clock
        # Whatever holds the queue up, the caller hears of it while it can still act.
        latest_start = self._deadline - queue.latency - clock.now()
        refusal = Refusal(ResultCode.DEADLINE_UNREACHABLE, retry_after=RETRY_AFTER)
        timer = clock.call_later(latest_start, self._waits.interrupt, refusal)
        try:
            return await self._waits.wait(waiter.started)  # type: ignore[no-any-return]
        except Exception:
            queue.leave(waiter)
            return self._waits.interruption
        finally:
            if timer.active():
                timer.cancel()

    def _new_call(self, target: Target, owner: Owner | None) -> UpstreamCall:
        context, headers = self._context, self._request.requestHeaders
        remaining = max(0, to_milliseconds(self._deadline - context.clock.now()))
        headers.setRawHeaders(b"deadline-ms", [b"%d" % remaining])
        headers.setRawHeaders(b"request-id", [self._id.encode()])
        if owner is not None:
            headers.setRawHeaders(b"ownership-slot", [b"%d" % owner.slot])
            headers.setRawHeaders(b"fencing-token", [b"%d" % owner.epoch])
        order = CallOrder(
            request_id=self._id,
            headers=headers,
            body=self._body,
            owner=owner,
            repeatable=self._match.kind.repeatable,
            deadline=self._deadline,
            closes=lambda: context.is_stopping,
        )
        pool = context.pool(target)
        return UpstreamCall(
            context.clock, context.ownership, pool, self._request, order, self._waits
        )

    def _limit_call(self, call: UpstreamCall, owner: Owner | None) -> CallLimit:
        context, service, kind = self._context, self._match.service, self._match.kind
        limit = CallLimit(context.clock, self._waits)
        if owner is None:
            may_ask_another = kind.repeatable and self._retries < kind.retry_limit
            if may_ask_another and len(service.targets) > 1:
                limit.by_silence(call, (self._deadline - context.clock.now()) / 2)
            return limit
        assert service.ownership is not None and self._match.key is not None
        if not service.ownership.checks_fencing and owner.expires < self._deadline:
            limit.by_lease(context.ownership, service.name, self._match.key, owner)
        return limit

    def _note(
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
        self._tell_targets(target.name, call, failure)
        if call.sent_at is None:
            return
        run = Run.YES if failure is None else failure.run
        self.may_have_run |= run is Run.UNKNOWN
        if owner is not None and failure is None and context.work_done is not None:
            assert self._match.key is not None
            context.work_done(owner, self._match.key, now - call.sent_at)
        if run is Run.UNKNOWN:
            context.cancel_upstream(target, owner, self._id)
        elif owner is not None:
            context.ownership.request_ended(owner)
        if context.history is not None:
            context.history(self._new_record(target, owner, call.sent_at, now, run))

    def _new_record(
        self, target: Target, owner: Owner | None, start: timedelta, end: timedelta, run: Run
    ) -> AttemptRecord:
        return AttemptRecord(
            request_id=self._id,
            service=self._match.service.name,
            kind=self._match.kind.name,
            key=self._match.key,
            server=target.name,
            epoch=owner.epoch if owner is not None else None,
            repeatable=self._match.kind.repeatable,
            started=start,
            ended=end,
            run=run,
        )

    def _tell_targets(
        self, target: str, call: UpstreamCall, failure: AttemptFailure | None
    ) -> None:
        targets, service = self._context.targets, self._match.service.name
        match failure:
            case Declined(DeclineReason.DRAINING, _):
                targets.note_draining(service, target)
            case None | Declined():
                targets.note_answer(service, target)
            case NotConnected() if call.was_refused:
                targets.note_connection_refused(service, target)
            case NotConnected() | TimedOut() if call.answered_at is None:
                if not self._request.has_left:
                    targets.note_silence(service, target)
