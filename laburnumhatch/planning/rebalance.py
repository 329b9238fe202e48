"""Moves that balance the load of the servers."""

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from .group_load import GroupLoad, HotKey
from .interfaces import Move, PlanningView
from .policy import PlanningPolicy

__all__ = ["net_gain", "plan_rebalance"]

MAX_KEY_OVERRIDES = 64


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A possible move, of a slot or of a hot key, and its net gain."""

    gain: float
    destination: int
    slot_index: int
    key: HotKey | None


def net_gain(
    load: np.ndarray | float,
    gap: float,
    mean: float,
    unavailable: np.ndarray | float,
    policy: PlanningPolicy,
) -> np.ndarray | float:
    """Return the gain of a move minus its cost, in seconds of server work.

    Parameters
    ----------
    load : array_like of float
        Load that would move, in seconds of server work a second.
    gap : float
        Load of the source minus that of the destination.
    mean : float
        Mean load of the servers.
    unavailable : array_like of float
        Seconds of server work that are unavailable because of the move.
    policy : PlanningPolicy

    Notes
    -----
    The gain is the decrease of the sum of the squared loads, divided by the mean and multiplied
    by the policy's horizon. It is zero for a move that only exchanges the two loads.

    Examples
    --------
    >>> from laburnumhatch.routing import Objective
    >>> from laburnumhatch.planning.policy import policy_of_objective
    >>> policy = policy_of_objective(Objective.IMBALANCE)
    >>> net_gain(0.5, 0.5, 1.0, 0.0, policy) < 0 < net_gain(0.2, 0.5, 1.0, 0.0, policy)
    True
    """
    horizon = policy.horizon.total_seconds()
    gain = 2.0 * horizon * load * (gap - load) / mean
    return gain - policy.unavailable_weight * unavailable - policy.move_cost.total_seconds()


def plan_rebalance(view: PlanningView, policy: PlanningPolicy) -> tuple[Move, ...]:
    """Return the moves that balance the load, in the order in which they should start.

    Parameters
    ----------
    view : PlanningView
        A state in which every owner takes keys.
    policy : PlanningPolicy

    Returns
    -------
    tuple of Move
        Empty if all loads are within the range that the policy allows.

    Notes
    -----
    The algorithm is greedy: each step makes the single move of a slot or a hot key with the
    largest net gain, from the most loaded server to the least loaded warm or the least loaded
    cold one. A hot key whose move has no net gain stays, and other slots of its server move
    instead. A server from which no move has a net gain is excluded with its load, so that the
    remaining servers can still be balanced. Each slot and key moves at most once in a plan. The
    cost is O(n) for n slots plus O(n / m) for each move, where m is the number of servers.
    """
    group = GroupLoad(view)
    active = [i for i, server in enumerate(view.servers) if server.accepts_keys]
    if not _is_unbalanced(group.server_load[active], policy):
        return ()
    moves: list[Move] = []
    while len(active) > 1 and len(moves) < policy.max_moves:
        mean = float(group.server_load[active].mean())
        source = max(active, key=lambda i: (group.server_load[i], -i))
        if mean <= 0.0 or not _should_shed_load(group, active, source, mean, policy):
            break
        best = max(
            _candidates(view, group, active, source, mean, policy),
            key=lambda candidate: candidate.gain,
            default=None,
        )
        if best is None or best.gain <= 0.0:
            active.remove(source)
            continue
        moves.extend(_apply(view, group, source, best))
    return tuple(moves)


def _is_unbalanced(loads: np.ndarray, policy: PlanningPolicy) -> bool:
    if len(loads) < 2:
        return False
    mean = loads.mean()
    return bool(
        loads.max() > policy.start_ratio * mean or loads.min() < policy.min_load_ratio * mean
    )


def _should_shed_load(
    group: GroupLoad, active: list[int], source: int, mean: float, policy: PlanningPolicy
) -> bool:
    least = float(group.server_load[active].min())
    busiest = float(group.server_load[source])
    return busiest > policy.stop_ratio * mean or least < policy.min_load_ratio * mean


def _candidates(
    view: PlanningView,
    group: GroupLoad,
    active: list[int],
    source: int,
    mean: float,
    policy: PlanningPolicy,
) -> Iterator[_Candidate]:
    for destination in _destinations(view, group, active, source):
        gap = float(group.server_load[source] - group.server_load[destination])
        pause = (policy.move_pause + view.servers[destination].warmup_remaining).total_seconds()
        slot_mean = mean * len(active) / len(group.owners)

        def gain(load: np.ndarray | float, keys: float) -> np.ndarray | float:
            return net_gain(load, gap, mean, pause * (load + keys), policy)  # noqa: B023

        slots = group.movable_slots(source)
        if len(slots):
            gains = np.asarray(gain(group.slot_load[slots], slot_mean))
            best = int(gains.argmax())
            yield _Candidate(float(gains[best]), destination, int(slots[best]), None)
        for key in _candidate_keys(group, source, mean, policy):
            yield _Candidate(float(gain(key.load, 0.0)), destination, key.slot_index, key)


def _destinations(
    view: PlanningView, group: GroupLoad, active: list[int], source: int
) -> Iterator[int]:
    others = [i for i in active if i != source]
    warm = [i for i in others if not view.servers[i].warmup_remaining]
    cold = [i for i in others if view.servers[i].warmup_remaining]
    for candidates in (warm, cold):
        if candidates:
            yield min(candidates, key=lambda i: (group.server_load[i], i))


def _candidate_keys(
    group: GroupLoad, source: int, mean: float, policy: PlanningPolicy
) -> Iterator[HotKey]:
    override_count = sum(key.is_overridden for key in group.hot_keys)
    for key in group.movable_keys(source):
        if key.load < policy.hot_key_share * mean:
            continue
        if key.is_overridden or override_count < MAX_KEY_OVERRIDES:
            yield key


def _apply(view: PlanningView, group: GroupLoad, source: int, best: _Candidate) -> Iterator[Move]:
    slot = view.first_slot + best.slot_index
    source_name = view.servers[source].name
    key = best.key
    if key is None:
        group.move_slot(best.slot_index, best.destination)
        yield Move(slot, None, source, best.destination, f"{source_name} is busier than the others")
        return
    returns_to_slot_owner = int(group.owners[best.slot_index]) == best.destination
    group.move_key(key, best.destination)
    destination = -1 if returns_to_slot_owner else best.destination
    yield Move(slot, key.key_hash, source, destination, f"hot key leaves {source_name}")
