"""Driver of one group, which carries out the effects that the decisions return."""

from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import logbook
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..clocks import Cancellable, Clock, milliseconds
from ..links.interfaces import Links
from ..membership.interfaces import InstanceView
from ..routing import Service
from ..storage import Absent, Conflict, OutcomeUnknown, Row, Table, Written
from .effects import (
    AwaitDrain,
    Drained,
    Effect,
    Event,
    LeaseChanged,
    MessageArrived,
    ReadRow,
    RowRead,
    SendGrants,
    SendMessage,
    ServerAnswered,
    StopRequested,
    Tick,
    WriteAnswered,
    WriteOutcome,
    WriteRow,
)
from .flights import InFlightRequests
from .grants import GrantAnswer, GrantSender
from .group import handle_event
from .lookup import build_lookup, empty_lookup
from .messages import OwnershipMessage
from .row import GroupRow, InvalidRow, decode_row, encode_row
from .slots import ownership_row_name
from .state import GroupSetup, GroupState

__all__ = ["GroupDriver", "GroupDependencies"]

TICK_INTERVAL = milliseconds(100)
HANDOVER_TIMEOUT = milliseconds(2000)
HANDOVER_POLL_INTERVAL = milliseconds(50)

_log = logbook.Logger("laburnumhatch.ownership")


@dataclass(frozen=True, slots=True)
class GroupDependencies:
    """External services that a group's driver uses."""

    clock: Clock
    table: Table
    links: Links
    instances: InstanceView
    sender: GrantSender


class GroupDriver:
    """One group of slots at one instance.

    Parameters
    ----------
    setup : GroupSetup
    service : Service
    dependencies : GroupDependencies
    on_tick : callable
        Called with this driver after each tick.

    Attributes
    ----------
    state : GroupState
    lookup : Lookup
        Owners under the current routing lease.
    service : Service
        Configuration of the service; replaced by `use_service`.
    in_flight_requests : InFlightRequests
    key : str
        Key of the table row.
    """

    def __init__(
        self,
        setup: GroupSetup,
        service: Service,
        dependencies: GroupDependencies,
        on_tick: Callable[["GroupDriver"], None],
    ) -> None:
        self.service = service
        self.state = GroupState(setup, tuple(target.name for target in service.targets))
        self.lookup = empty_lookup()
        self.in_flight_requests = InFlightRequests(self._on_drained)
        self._dependencies = dependencies
        self._on_tick = on_tick
        self.key = ownership_row_name(setup.service, setup.group)
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._lookup_inputs: tuple[Any, ...] | None = None
        self._timer: Cancellable | None = None
        self._is_stopped = False

    def start(self) -> None:
        """Start the periodic timer."""
        self._tick()

    def use_service(self, service: Service) -> None:
        """Apply a new configuration of the service."""
        self.service = service
        self.state.servers = tuple(target.name for target in service.targets)

    async def stop(self) -> None:
        """Hand over the group if this instance coordinates it, and stop."""
        self.dispatch(StopRequested())
        deadline = self._dependencies.clock.now() + HANDOVER_TIMEOUT
        while self._is_handing_over() and self._dependencies.clock.now() < deadline:
            pause: Deferred[None] = Deferred()
            self._dependencies.clock.call_later(HANDOVER_POLL_INTERVAL, pause.callback, None)
            await pause
        self.cancel()

    def cancel(self) -> None:
        """Stop without a handover."""
        self._is_stopped = True
        self.lookup = empty_lookup()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def receive(self, instance: str, message: OwnershipMessage) -> None:
        """Handle a message of another instance."""
        self.dispatch(MessageArrived(instance, message))

    def dispatch(self, event: Event) -> None:
        """Handle an event.

        Events that are dispatched meanwhile are handled after it, in order.
        """
        if self._is_stopped:
            return
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        was_coordinator = self.state.term is not None
        try:
            effects = handle_event(self.state, event, self._dependencies.clock.now())
        except InvalidRow as e:
            _log.error("{}: dropped a message with an invalid row: {}", self.key, e)
            return
        if was_coordinator != (self.state.term is not None):
            known = self.state.known_row
            transition = "stopped being" if was_coordinator else "became"
            _log.info(
                "{}: {} the coordinator at row {}", self.key, transition, known and known.version
            )
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case ReadRow():
                self._run_async(self._read())
            case WriteRow():
                self._run_async(self._write(effect.row))
            case SendMessage():
                self._send(effect)
            case SendGrants():
                self._run_async(self._send_grants(effect))
            case LeaseChanged():
                self._update_lookup()
            case AwaitDrain():
                self.in_flight_requests.notify_when_drained(effect, self._is_covered)

    def _update_lookup(self) -> None:
        """Update the look-up, rebuilding it only if more than the lease's end has changed."""
        lease = self.state.lease
        version = lease.row.version if lease.row is not None else 0
        content = (version, frozenset(lease.closed_slots), frozenset(lease.closed_keys))
        if content != self._lookup_inputs:
            self._lookup_inputs = content
            self.lookup = build_lookup(self.state.setup.service, lease)
        self.lookup.expires = lease.expires

    def _run_async(self, work: Coroutine[Any, Any, Event]) -> None:
        done: Deferred[Any] = Deferred.fromCoroutine(work)
        done.addCallback(self.dispatch)
        done.addErrback(self._log_failure)

    def _log_failure(self, failure: Failure) -> None:
        _log.error("{}: {}", self.key, failure.getTraceback())

    async def _read(self) -> Event:
        sent_at = self._dependencies.clock.now()
        answer = await self._dependencies.table.read(self.key)
        if isinstance(answer, Absent):
            return RowRead(sent_at, True)
        if isinstance(answer, Row):
            row = self._decode(answer)
            return RowRead(sent_at, row is not None, row)
        return RowRead(sent_at, False)

    async def _write(self, row: GroupRow) -> Event:
        sent_at = self._dependencies.clock.now()
        answer = await self._dependencies.table.write(
            self.key, encode_row(row), row.version - 1, row.writer
        )
        if isinstance(answer, Written):
            return WriteAnswered(row.writer, sent_at, WriteOutcome.WRITTEN)
        if isinstance(answer, Conflict):
            current = self._decode(answer.current) if answer.current is not None else None
            return WriteAnswered(row.writer, sent_at, WriteOutcome.CONFLICT, current)
        if isinstance(answer, OutcomeUnknown):
            return WriteAnswered(row.writer, sent_at, WriteOutcome.UNKNOWN)
        return WriteAnswered(row.writer, sent_at, WriteOutcome.NOT_DONE)

    def _decode(self, row: Row) -> GroupRow | None:
        try:
            decoded = decode_row(row.value, row.version, row.writer)
        except InvalidRow as e:
            _log.error("row {} version {} can't be decoded: {}", row.key, row.version, e)
            return None
        if len(decoded.owners) != len(self.state.setup.slots):
            expected = len(self.state.setup.slots)
            _log.error("row {} has {} slots, expected {}", row.key, len(decoded.owners), expected)
            return None
        return decoded

    async def _send_grants(self, effect: SendGrants) -> Event:
        sent_at = self._dependencies.clock.now()
        target = self.service.target(effect.server)
        answer = GrantAnswer.UNKNOWN
        if target is not None:
            answer = await self._dependencies.sender.send(self.service.name, target, effect.grants)
        return ServerAnswered(effect.server, sent_at, effect.grants, answer)

    def _send(self, effect: SendMessage) -> None:
        if effect.instance == self.state.setup.instance:
            self._events.append(MessageArrived(effect.instance, effect.message))
            return
        self._dependencies.links.send(effect.instance, effect.message)

    def _on_drained(self, drain: AwaitDrain) -> None:
        self.dispatch(Drained(drain.version, drain.coordinator))

    def _is_covered(self, key_hash: int, slot: int, epoch: int) -> bool:
        return self.lookup.covers(key_hash, slot, epoch)

    def _is_handing_over(self) -> bool:
        return self.state.term is not None and bool(self._live_peers())

    def _live_peers(self) -> dict[str, str]:
        own = self.state.setup.instance
        peers = dict.fromkeys(self._dependencies.links.connected_peers(), "")
        peers.update((i.name, i.data_centre) for i in self._dependencies.instances.live())
        peers.pop(own, None)
        return peers

    def _tick(self) -> None:
        if self._is_stopped:
            return
        self._timer = self._dependencies.clock.call_later(TICK_INTERVAL, self._tick)
        self.state.peers = self._live_peers()
        self.dispatch(Tick())
        self._on_tick(self)
