"""The ownership of all services, as one entry instance keeps it."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.defer import ensureDeferred

from ..clocks import Cancellable, Clock, milliseconds
from ..links.interfaces import Links
from ..membership.interfaces import InstanceView, TargetView
from ..planning.interfaces import Move, PlanningView
from ..platform import Absent, Conflict, Row, Table, Written
from ..results import ResultCode
from ..routing import Ownership, Service, Snapshot
from .grants import GrantSender, GrantSet, slot_ranges
from .owner import NoOwner, Owner
from .row import FIRST_EPOCH, GroupRow, InvalidRow, decode_row, encode_row, initial_owners
from .slots import group_name, hash_key, slot_of_hash

__all__ = ["OwnershipKeeper"]

Plan = Callable[[PlanningView], tuple[Move, ...]]

READ_INTERVAL = milliseconds(500)
LEASE = milliseconds(1500)

_log = logbook.Logger("ownership")


class OwnershipKeeper:
    """Routing leases, and this instance's part in keeping them, for all owned services.

    Parameters
    ----------
    reactor
        A Twisted reactor that connects and keeps time.
    clock : Clock
    name : str
        Name of the instance.
    data_centre : str
    table : Table
    links : Links
    instances : InstanceView
    targets : TargetView
    plan : callable
        Takes a `PlanningView` and returns the moves to make.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        name: str,
        data_centre: str,
        table: Table,
        links: Links,
        instances: InstanceView,
        targets: TargetView,
        plan: Plan,
    ) -> None:
        self._clock = clock
        self._name = name
        self._table = table
        self._sender = GrantSender(reactor, clock)
        self._groups: dict[str, _StaticGroup] = {}
        self._running = False

    def use_snapshot(self, snapshot: Snapshot) -> None:
        """Keep the owned services of `snapshot` from now on, and no others."""
        owned = {s.name: s for s in snapshot.services if s.ownership is not None}
        for name in set(self._groups) - set(owned):
            self._groups.pop(name).stop()
        for service in owned.values():
            if service.name not in self._groups:
                self._groups[service.name] = self._new_group(service)

    def start(self) -> None:
        """Begin to take part."""
        self._running = True
        for group in self._groups.values():
            group.start()

    async def stop(self) -> None:
        """Hand over what this instance coordinates, and give up its leases."""
        self._running = False
        for group in self._groups.values():
            group.stop()

    def owner_of(self, service: str, key: str) -> Owner | NoOwner:
        """Return the owner of a key as of now."""
        group = self._groups.get(service)
        if group is None:
            return NoOwner(ResultCode.NO_OWNER, f"service {service} has no owned keys")
        return group.owner_of(hash_key(service, key), self._clock.now())

    def is_current(self, owner: Owner) -> bool:
        """Return whether a request may still go out under `owner`."""
        return self._clock.now() < owner.expires

    def request_started(self, owner: Owner) -> None:
        """Note that a request under `owner` is in flight."""

    def request_ended(self, owner: Owner) -> None:
        """Note that the upstream can no longer be running the request."""

    def describe(self, service: str, key: str) -> dict[str, Any]:
        """Return what is known of a key's owner, for the operators."""
        answer = self.owner_of(service, key)
        if isinstance(answer, NoOwner):
            return {"service": service, "key": key, "owner": None, "why": answer.detail}
        row = self._groups[service].row
        return {
            "service": service,
            "key": key,
            "slot": answer.slot,
            "owner": answer.server,
            "epoch": answer.epoch,
            "coordinator": row.coordinator if row else None,
            "row_version": row.version if row else 0,
        }

    def status(self) -> dict[str, Any]:
        """Return the state of each group, for the operators."""
        return {
            service: {
                "coordinator": group.row.coordinator if group.row else None,
                "row_version": group.row.version if group.row else 0,
            }
            for service, group in self._groups.items()
        }

    def _new_group(self, service: Service) -> "_StaticGroup":
        group = _StaticGroup(service, self._name, self._clock, self._table, self._sender)
        if self._running:
            group.start()
        return group


class _StaticGroup:
    """One service's slots, as first assigned."""

    def __init__(
        self, service: Service, name: str, clock: Clock, table: Table, sender: GrantSender
    ) -> None:
        self.row: GroupRow | None = None
        self._service = service
        self._name = name
        self._clock = clock
        self._table = table
        self._sender = sender
        self._expires = timedelta()
        self._timer: Cancellable | None = None

    def start(self) -> None:
        ensureDeferred(self._refresh())

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def owner_of(self, key_hash: int, now: timedelta) -> Owner | NoOwner:
        if self.row is None or now >= self._expires:
            return NoOwner(ResultCode.LEASE_EXPIRED, "the instance holds no lease", READ_INTERVAL)
        slot = slot_of_hash(key_hash, len(self.row.owners))
        server = self.row.servers[self.row.owners[slot]]
        return Owner(self._service.name, slot, server, self.row.epochs[slot], self._expires)

    async def _refresh(self) -> None:
        sent = self._clock.now()
        key = group_name(self._service.name, 0)
        answer = await self._table.read(key)
        if isinstance(answer, Absent):
            await self._create(key)
        elif isinstance(answer, Row):
            await self._adopt(answer, sent)
        self._timer = self._clock.call_later(READ_INTERVAL, lambda: ensureDeferred(self._refresh()))

    async def _create(self, key: str) -> None:
        ownership = self._service.ownership
        assert isinstance(ownership, Ownership)
        servers = tuple(target.name for target in self._service.targets)
        slots = range(ownership.slot_count)
        owners = initial_owners(self._service.name, slots, servers)
        epochs = (FIRST_EPOCH,) * len(slots)
        row = GroupRow(1, self._name, (), 0, servers, owners, epochs)
        answer = await self._table.write(key, encode_row(row), 0, self._name)
        if isinstance(answer, Written | Conflict):
            sent = self._clock.now()
            current = await self._table.read(key)
            if isinstance(current, Row):
                await self._adopt(current, sent)

    async def _adopt(self, found: Row, sent: timedelta) -> None:
        try:
            row = decode_row(found.value, found.version, found.writer)
        except InvalidRow as e:
            _log.error("row {} is unusable: {}", found.key, e)
            return
        self._expires = sent + LEASE
        first = self.row is None
        self.row = row
        if first:
            for index, server in enumerate(row.servers):
                await self._grant(row, index, server)

    async def _grant(self, row: GroupRow, index: int, server: str) -> None:
        target = self._service.target(server)
        if target is None:
            return
        slots = [(s, row.epochs[s]) for s, owner in enumerate(row.owners) if owner == index]
        await self._sender.send(self._service.name, target, GrantSet(slot_ranges(slots)))
