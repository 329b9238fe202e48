"""View of a group that its coordinator gives to the planner."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from ..membership.interfaces import TargetState, TargetView
from ..planning.interfaces import PlanningView, ServerCondition
from ..planning.load import LoadReport
from ..routing import Service
from .row import GroupRow

__all__ = ["build_planning_view", "lost_servers", "server_names"]

ZERO_DURATION = timedelta()


def server_names(service: Service, row: GroupRow) -> tuple[str, ...]:
    """Return the configured targets, then the owners in the row that are no longer configured."""
    configured = tuple(target.name for target in service.targets)
    in_use = {owner for owner in (*row.owners, *(key.server for key in row.keys)) if owner >= 0}
    row_owners = (row.servers[owner] for owner in sorted(in_use))
    return configured + tuple(name for name in row_owners if name not in configured)


def lost_servers(service: Service, names: Iterable[str], targets: TargetView) -> frozenset[str]:
    """Return the servers that are suspect, gone or no longer configured."""
    return frozenset(name for name in names if not _is_alive(service, name, targets))


def build_planning_view(
    service: Service,
    slot_count: int,
    row: GroupRow,
    names: tuple[str, ...],
    targets: TargetView,
    load: LoadReport,
    time_since_last_move: timedelta,
) -> PlanningView:
    """Return the planner's view of a group.

    Keys that have returned to their slot's owner are counted as part of their slot.
    """
    assert service.ownership is not None
    index = {name: i for i, name in enumerate(names)}
    owners = [index[row.servers[owner]] if owner >= 0 else -1 for owner in row.owners]
    key_owners = {
        key.key_hash: index[row.servers[key.server]]
        for key in row.keys
        if key.server >= 0 and key.server != row.owners[key.slot - row.first_slot]
    }
    return PlanningView(
        objective=service.ownership.objective,
        servers=[_condition(service, name, targets) for name in names],
        owners=owners,
        slot_load=_slot_load(row, load, key_owners),
        key_owners=key_owners,
        key_load=load.keys,
        time_since_last_move=time_since_last_move,
        first_slot=row.first_slot,
        slot_count=slot_count,
    )


def _slot_load(row: GroupRow, load: LoadReport, key_owners: Mapping[int, int]) -> list[float]:
    slot_load = [0.0] * len(row.owners)
    for slot, seconds in load.slots.items():
        if 0 <= slot - row.first_slot < len(slot_load):
            slot_load[slot - row.first_slot] = seconds
    for key in row.keys:
        if key.key_hash in key_owners:
            offset = key.slot - row.first_slot
            key_seconds = load.keys.get(key.key_hash, 0.0)
            slot_load[offset] = max(0.0, slot_load[offset] - key_seconds)
    return slot_load


def _condition(service: Service, name: str, targets: TargetView) -> ServerCondition:
    if service.target(name) is None:
        return ServerCondition(name, accepts_keys=False, is_alive=False)
    accepts_keys = targets.takes_new_work(service.name, name)
    return ServerCondition(name, accepts_keys, _is_alive(service, name, targets))


def _is_alive(service: Service, name: str, targets: TargetView) -> bool:
    if service.target(name) is None:
        return False
    return targets.state(service.name, name) not in (TargetState.SUSPECT, TargetState.GONE)
