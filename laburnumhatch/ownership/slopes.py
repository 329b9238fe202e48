"""Benchmark of ownership costs for growing numbers of slots and of entry instances.

Run it as ``python -m laburnumhatch.ownership.slopes``. It prints one JSON object a line.
"""

import json
import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass, replace
from datetime import timedelta
from functools import partial

from ..links import Codec
from .coordinator import answer_lease_request
from .effects import SendMessage
from .grants import GrantSet, encode_grants, slot_ranges
from .lookup import build_lookup
from .messages import OWNERSHIP_MESSAGES, LeaseGrant, LeaseRequest
from .owner import Owner
from .row import GroupRow, decode_row, encode_row, initial_owners
from .state import LONG_AGO, GroupSetup, GroupState, RoutingLease, Term

__all__ = ["LeaseCost", "RowCost", "measure_leases", "measure_rows"]

SLOT_COUNTS = (1_024, 16_384, 262_144)
ENTRY_COUNTS = (8, 100, 1_700)
SERVER_COUNT = 15
MOVED_SHARE = 0.1
SEED = 11
MICROSECONDS = 1e6
FIRST_TYPE_NUMBER = 100
CALL_COUNT = 20_000
SLOW_CALL_COUNT = 5


@dataclass(frozen=True, slots=True)
class RowCost:
    """Cost of a group's row.

    Attributes
    ----------
    slots : int
    row_bytes : int
        Size of the encoded row without any moves.
    moved_row_bytes : int
        Size of the encoded row after a tenth of the slots has moved, each by its own write.
    encode_us, decode_us : float
        Microseconds to encode and decode the row after the moves.
    build_us : float
        Microseconds to build the look-up after a change of the lease.
    owner_of_us, is_current_us : float
        Microseconds of one call.
    grant_bytes : int
        Size of the request body with one server's grants after the moves.
    """

    slots: int
    row_bytes: int
    moved_row_bytes: int
    encode_us: float
    decode_us: float
    build_us: float
    owner_of_us: float
    is_current_us: float
    grant_bytes: int


@dataclass(frozen=True, slots=True)
class LeaseCost:
    """Cost of leases at a coordinator.

    Attributes
    ----------
    entries : int
        Number of entry instances.
    request_bytes, grant_bytes : int
        Size of the encoded lease request and grant, without a row.
    answer_us : float
        Microseconds that the coordinator takes to decide on one request.
    """

    entries: int
    request_bytes: int
    grant_bytes: int
    answer_us: float


def measure_rows() -> Iterator[RowCost]:
    """Yield the cost of a row for each number of slots."""
    for slots in SLOT_COUNTS:
        row = _new_row(slots)
        moved = _row_after_moves(row)
        encoded = encode_row(moved)
        lease = RoutingLease(row=moved, expires=timedelta(days=1))
        lookup = build_lookup("service", lease)
        now = timedelta()
        owner = lookup.owner_of(2**63, slots // 2, now)
        assert isinstance(owner, Owner)
        yield RowCost(
            slots=slots,
            row_bytes=len(encode_row(row)),
            moved_row_bytes=len(encoded),
            encode_us=_mean_microseconds(partial(encode_row, moved), SLOW_CALL_COUNT),
            decode_us=_mean_microseconds(partial(decode_row, encoded, 1, ""), SLOW_CALL_COUNT),
            build_us=_mean_microseconds(partial(build_lookup, "service", lease), SLOW_CALL_COUNT),
            owner_of_us=_mean_microseconds(
                partial(lookup.owner_of, 2**63, slots // 2, now), CALL_COUNT
            ),
            is_current_us=_mean_microseconds(partial(lookup.is_current, owner, now), CALL_COUNT),
            grant_bytes=_grant_bytes(moved),
        )


def measure_leases() -> Iterator[LeaseCost]:
    """Yield the cost of leases for each number of entry instances."""
    codec = Codec([(FIRST_TYPE_NUMBER, OWNERSHIP_MESSAGES)])
    for entries in ENTRY_COUNTS:
        state = _coordinator_state()
        requests = [
            LeaseRequest("loft-availability", 0, f"entry-{n}/0a1b2c3d", 1, 1, 1)
            for n in range(entries)
        ]
        for request in requests:
            answer_lease_request(state, "entry", request, timedelta())
        effect = answer_lease_request(state, "entry", requests[0], timedelta())[0]
        assert isinstance(effect, SendMessage) and isinstance(effect.message, LeaseGrant)
        rounds = CALL_COUNT // entries
        answer_all = partial(_answer_all, state, requests)
        yield LeaseCost(
            entries=entries,
            request_bytes=len(codec.encode(requests[0])),
            grant_bytes=len(codec.encode(effect.message)),
            answer_us=_mean_microseconds(answer_all, rounds) / entries,
        )


def _answer_all(state: GroupState, requests: Sequence[LeaseRequest]) -> None:
    for request in requests:
        answer_lease_request(state, "entry", request, timedelta())


def _new_row(slots: int) -> GroupRow:
    servers = tuple(f"loft-{n}" for n in range(SERVER_COUNT))
    owners = initial_owners(slots, SERVER_COUNT)
    return GroupRow(1, "entry-1/0a1b2c3d", ("entry-2/0a1b2c3d",), 0, servers, owners, (1,) * slots)


def _row_after_moves(row: GroupRow) -> GroupRow:
    generator = random.Random(SEED)
    owners = list(row.owners)
    epochs = list(row.epochs)
    for epoch, slot in enumerate(
        generator.sample(range(len(owners)), int(len(owners) * MOVED_SHARE)), 2
    ):
        owners[slot] = generator.randrange(SERVER_COUNT)
        epochs[slot] = epoch
    return replace(row, owners=tuple(owners), epochs=tuple(epochs), version=max(epochs))


def _grant_bytes(row: GroupRow) -> int:
    owned = ((slot, row.epochs[slot]) for slot, owner in enumerate(row.owners) if owner == 0)
    grants = GrantSet(granted=slot_ranges(owned), validity=timedelta(seconds=1))
    return len(encode_grants("loft-availability", grants))


def _coordinator_state() -> GroupState:
    row = _new_row(SLOT_COUNTS[0])
    setup = GroupSetup(
        "loft-availability", 0, range(SLOT_COUNTS[0]), False, row.coordinator, "lade"
    )
    state = GroupState(setup, row.servers, known_row=row)
    state.term = Term(timedelta(), 1, (), LONG_AGO, LONG_AGO, LONG_AGO, renewed_at=timedelta())
    return state


def _mean_microseconds(call: Callable[[], object], count: int) -> float:
    started = time.perf_counter()
    for _ in range(count):
        call()
    return (time.perf_counter() - started) / count * MICROSECONDS


def main() -> None:
    """Print all costs."""
    costs: list[RowCost | LeaseCost] = [*measure_rows(), *measure_leases()]
    for cost in costs:
        print(json.dumps({type(cost).__name__: asdict(cost)}))


if __name__ == "__main__":
    main()
