"""Key ownership of all services at one entry instance."""

import secrets
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

from twisted.internet.defer import DeferredList, ensureDeferred

from ..clocks import Clock
from ..links.interfaces import Links
from ..membership.interfaces import InstanceView, TargetView
from ..planning.interfaces import Move, PlanningView
from ..results import ResultCode
from ..routing import Service, Snapshot
from ..storage import Table
from .explanation import describe_group, describe_key
from .grants import GrantSender
from .group_driver import GroupDependencies, GroupDriver
from .lookup import RETRY_AFTER
from .messages import OWNERSHIP_MESSAGES, OwnershipMessage
from .owner import NoOwner, Owner
from .planned_group import PlannedGroup
from .slots import hash_key, slot_of_hash
from .state import GroupSetup

__all__ = ["OwnershipKeeper"]

Plan = Callable[[PlanningView], tuple[Move, ...]]
INCARNATION_BYTES = 4


class OwnershipKeeper:
    """Routing leases of all services with owned keys.

    The keeper also runs this instance's part of the ownership protocol: as an entry that holds
    leases, as a standby, and as the coordinator of groups.

    Parameters
    ----------
    reactor
        A Twisted reactor for connections and timers.
    clock : Clock
    name : str
        Name of the instance.
    data_centre : str
    table : Table
    links : Links
    instances : InstanceView
    targets : TargetView
    plan : callable
        Returns the moves to make for a `PlanningView`.
    sender : GrantSender, optional
        Sends grants to the servers; uses HTTP over `reactor` by default.

    Notes
    -----
    `owner_of` and `is_current` run on the path of every request. Both take a few dictionary and
    array accesses, independent of the number of slots.
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
        sender: GrantSender | None = None,
    ) -> None:
        self._clock = clock
        self._member = f"{name}/{secrets.token_hex(INCARNATION_BYTES)}"
        self._data_centre = data_centre
        self._targets = targets
        self._plan = plan
        self._dependencies = GroupDependencies(
            clock, table, links, instances, sender or GrantSender(reactor, clock)
        )
        self._services: dict[str, _ServiceGroups] = {}
        self._is_running = False
        for message_type in OWNERSHIP_MESSAGES:
            links.add_handler(message_type, self._receive)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the services by those services of `snapshot` that have owned keys."""
        owned = {s.name: s for s in snapshot.services if s.ownership is not None}
        for name in set(self._services) - set(owned):
            self._services.pop(name).cancel()
        for service in owned.values():
            current = self._services.get(service.name)
            if current is not None and current.is_compatible_with(service):
                current.use_service(service)
                continue
            if current is not None:
                current.cancel()
            self._services[service.name] = self._new_groups(service)

    def start(self) -> None:
        """Start the ownership protocol for all services."""
        self._is_running = True
        for groups in self._services.values():
            groups.start()

    async def stop(self) -> None:
        """Hand over the groups that this instance coordinates, and drop its leases."""
        self._is_running = False
        stops = [groups.stop() for groups in self._services.values()]
        await DeferredList([ensureDeferred(stop) for stop in stops])

    def owner_of(self, service: str, key: str) -> Owner | NoOwner:
        """Return the owner of a key as of now."""
        groups = self._services.get(service)
        if groups is None:
            return NoOwner(ResultCode.NO_OWNER, f"service {service} has no owned keys")
        return groups.owner_of(hash_key(service, key), self._clock.now())

    def is_current(self, owner: Owner) -> bool:
        """Return whether a request may still be sent under `owner`."""
        group = self._group_of(owner.service, owner.slot)
        return group is not None and group.lookup.is_current(owner, self._clock.now())

    def request_started(self, owner: Owner) -> None:
        """Record that a request under `owner` is in flight."""
        group = self._group_of(owner.service, owner.slot)
        if group is not None:
            group.in_flight_requests.start(owner)

    def request_ended(self, owner: Owner) -> None:
        """Record that the upstream can no longer be running the request."""
        group = self._group_of(owner.service, owner.slot)
        if group is not None:
            group.in_flight_requests.end(owner)

    def record_work(self, owner: Owner, key: str, work: timedelta) -> None:
        """Record the server's work on an answered request, for the planner.

        Parameters
        ----------
        owner : Owner
        key : str
        work : timedelta
            Time from the sending of the request to the answer.
        """
        groups = self._services.get(owner.service)
        if groups is not None:
            groups.planned_group_of(owner.slot).record_work(owner, work)

    def describe(self, service: str, key: str) -> dict[str, Any]:
        """Return a description of a key's owner for operators."""
        groups = self._services.get(service)
        if groups is None:
            return {"service": service, "key": key, "owner": None, "why": "no owned keys"}
        key_hash = hash_key(service, key)
        group = groups.driver_of(groups.slot_of(key_hash))
        described = describe_key(group, key_hash, groups.slot_of(key_hash), self._clock.now())
        return {"service": service, "key": key, **described}

    def status(self) -> dict[str, Any]:
        """Return the state of each service's first group, with that of further groups in a list."""
        now = self._clock.now()
        described = {
            service: [describe_group(driver, now) for driver in groups.drivers]
            for service, groups in self._services.items()
        }
        return {
            service: first | ({"further_groups": further} if further else {})
            for service, (first, *further) in described.items()
        }

    def services_without_lease(self) -> list[str]:
        """Return the services for which some group has had no lease at this instance yet."""
        return [
            service
            for service, groups in self._services.items()
            if not all(driver.lookup.servers for driver in groups.drivers)
        ]

    def _receive(self, instance: str, message: OwnershipMessage) -> None:
        groups = self._services.get(message.service)
        if groups is not None and 0 <= message.group < len(groups.planned):
            groups.planned[message.group].receive(instance, message)

    def _group_of(self, service: str, slot: int) -> GroupDriver | None:
        groups = self._services.get(service)
        return None if groups is None else groups.driver_of(slot)

    def _new_groups(self, service: Service) -> "_ServiceGroups":
        new_planned = partial(PlannedGroup, targets=self._targets, plan=self._plan)
        groups = _ServiceGroups(
            service, self._member, self._data_centre, self._dependencies, new_planned
        )
        if self._is_running:
            groups.start()
        return groups


class _ServiceGroups:
    """The groups of slots of one service."""

    def __init__(
        self,
        service: Service,
        member: str,
        data_centre: str,
        dependencies: GroupDependencies,
        new_planned: Callable[..., PlannedGroup],
    ) -> None:
        ownership = service.ownership
        assert ownership is not None
        self.slot_count = ownership.slot_count
        self._slots_per_group = ownership.slot_count // ownership.group_count
        self._ownership = ownership
        self.planned = [
            new_planned(
                GroupSetup(
                    service=service.name,
                    group=group,
                    slots=range(group * self._slots_per_group, (group + 1) * self._slots_per_group),
                    checks_fencing=ownership.checks_fencing,
                    member=member,
                    data_centre=data_centre,
                ),
                service,
                dependencies,
            )
            for group in range(ownership.group_count)
        ]
        self.drivers = [planned.driver for planned in self.planned]

    def is_compatible_with(self, service: Service) -> bool:
        """Return whether the groups can go on under the settings of `service`."""
        ownership = service.ownership
        assert ownership is not None
        current = self._ownership
        return (
            ownership.slot_count == current.slot_count
            and ownership.group_count == current.group_count
            and ownership.checks_fencing == current.checks_fencing
        )

    def use_service(self, service: Service) -> None:
        for driver in self.drivers:
            driver.use_service(service)

    def start(self) -> None:
        for driver in self.drivers:
            driver.start()

    def cancel(self) -> None:
        for driver in self.drivers:
            driver.cancel()

    async def stop(self) -> None:
        stops = [ensureDeferred(driver.stop()) for driver in self.drivers]
        await DeferredList(stops)

    def slot_of(self, key_hash: int) -> int:
        return slot_of_hash(key_hash, self.slot_count)

    def planned_group_of(self, slot: int) -> PlannedGroup:
        return self.planned[slot // self._slots_per_group]

    def driver_of(self, slot: int) -> GroupDriver:
        return self.drivers[slot // self._slots_per_group]

    def owner_of(self, key_hash: int, now: timedelta) -> Owner | NoOwner:
        slot = slot_of_hash(key_hash, self.slot_count)
        driver = self.drivers[slot // self._slots_per_group]
        if not driver.lookup.servers:
            detail = "the instance holds no lease on the key's owner yet"
            return NoOwner(ResultCode.LEASE_EXPIRED, detail, RETRY_AFTER)
        return driver.lookup.owner_of(key_hash, slot, now)
