"""Reference planner that tries every single move and recomputes all loads each time."""

from ..interfaces import Move


def server_loads(view, owners, key_owners):
    """Return the load of each server, computed from the view and the given owners."""
    loads = [0.0] * len(view.servers)
    for i, owner in enumerate(owners):
        loads[owner] += remaining_slot_load(view, i, key_owners)
    for key, owner in key_owners.items():
        loads[owner] += view.key_load.get(key, 0.0)
    return loads


def remaining_slot_load(view, index, key_owners):
    """Return the load of a slot, excluding keys that got an own owner in this plan."""
    newly_owned = [key for key in key_owners if key not in view.key_owners]
    return view.slot_load[index] - sum(
        view.key_load[key] for key in newly_owned if view.slot_of_key(key) == index
    )


def naive_rebalance(view, policy):
    """Return the moves that `plan_rebalance` must return, as tuples without reasons."""
    owners, key_owners = list(view.owners), dict(view.key_owners)
    active = [i for i, server in enumerate(view.servers) if server.accepts_keys]
    loads = [server_loads(view, owners, key_owners)[i] for i in active]
    mean = sum(loads) / len(loads)
    if max(loads) <= policy.start_ratio * mean and min(loads) >= policy.min_load_ratio * mean:
        return ()
    moves, moved = [], set()
    while len(active) > 1 and len(moves) < policy.max_moves:
        loads = server_loads(view, owners, key_owners)
        mean = sum(loads[i] for i in active) / len(active)
        source = max(active, key=lambda i: (loads[i], -i))
        least = min(loads[i] for i in active)
        if not mean or (
            loads[source] <= policy.stop_ratio * mean and least >= policy.min_load_ratio * mean
        ):
            break
        best = None
        for candidate in candidate_moves(
            view, owners, key_owners, moved, active, source, mean, policy
        ):
            gain = net_gain(view, owners, key_owners, candidate, loads, mean, active, policy)
            if gain > 0.0 and (best is None or gain > best[0]):
                best = (gain, candidate)
        if best is None:
            active.remove(source)
            continue
        for move in best[1]:
            apply(owners, key_owners, view, move)
            moves.append(move)
            moved.add(move[1] if move[1] is not None else ("slot", move[0]))
    return tuple((move[0], move[1], move[2], move[3]) for move in moves)


def candidate_moves(view, owners, key_owners, moved, active, source, mean, policy):
    loads = server_loads(view, owners, key_owners)
    others = sorted((i for i in active if i != source), key=lambda i: (loads[i], i))
    for destination in sorted(
        others, key=lambda i: view.servers[i].warmup_remaining.total_seconds() > 0
    ):
        for i, owner in enumerate(owners):
            if owner == source and ("slot", i) not in moved:
                yield ((i, None, source, destination),)
        for key in sorted({*view.key_load, *view.key_owners}):
            i = view.slot_of_key(key)
            overridden = key in key_owners
            owner = key_owners[key] if overridden else owners[i]
            load = view.key_load.get(key, 0.0)
            if owner != source or key in moved or load < policy.hot_key_share * mean:
                continue
            if not overridden and ("slot", i) in moved:
                continue
            yield ((i, key, source, -1 if owners[i] == destination else destination),)


def net_gain(view, owners, key_owners, candidate, before, mean, active, policy):
    after_owners, after_keys = list(owners), dict(key_owners)
    for move in candidate:
        apply(after_owners, after_keys, view, move)
    after = server_loads(view, after_owners, after_keys)
    gain = sum(u * u for u in before) - sum(u * u for u in after)
    load = before[candidate[0][2]] - after[candidate[0][2]]
    destination = next(i for i in active if after[i] > before[i]) if load else None
    if destination is None:
        return -1.0
    pause = (policy.move_pause + view.servers[destination].warmup_remaining).total_seconds()
    keys = mean * len(active) / len(owners) if candidate[-1][1] is None else 0.0
    total = policy.horizon.total_seconds() * gain / mean
    total -= policy.unavailable_weight * (pause * (load + keys))
    return total - len(candidate) * policy.move_cost.total_seconds()


def apply(owners, key_owners, view, move):
    i, key, _, destination = move
    if key is None:
        owners[i] = destination
    else:
        key_owners[key] = owners[i] if destination == -1 else destination


def as_tuples(moves):
    """Return moves as tuples without their reasons."""
    assert all(isinstance(move, Move) for move in moves)
    return tuple((move.slot, move.key_hash, move.source, move.destination) for move in moves)
