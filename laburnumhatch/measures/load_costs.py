"""Cost of load measurement: bytes of a load report and memory of a load meter.

Run with ``python -m laburnumhatch.measures.load_costs``.
"""

import json
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass

import numpy as np
from twisted.internet import task

from ..clocks import ReactorClock
from ..entry.messages import build_codec
from ..ownership.messages import KeyLoad, SlotLoad
from ..ownership.messages import LoadReport as LoadMessage
from ..planning import LoadMeter

__all__ = ["LoadCost", "main", "measure_load"]

SLOT_COUNTS = (1_024, 16_384, 262_144)
REQUEST_COUNT = 5_000
WORK_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class LoadCost:
    """Cost of measuring the load of one group of servers at one instance.

    Attributes
    ----------
    slots : int
    busy_slots : int
        Slots that received a request within one second.
    report_bytes : int
        Size of the encoded report message.
    meter_bytes : int
        Memory that the meter has allocated.
    """

    slots: int
    busy_slots: int
    report_bytes: int
    meter_bytes: int


def measure_load(slots: int) -> LoadCost:
    """Return the cost after one second of requests for distinct keys."""
    reactor = task.Clock()
    meters: list[LoadMeter] = []
    meter_bytes = _measure_allocated_bytes(
        lambda: meters.append(_make_loaded_meter(ReactorClock(reactor), reactor, slots))
    )
    report = meters[0].report()
    message = LoadMessage(
        "measured",
        0,
        "entry-1/0a1b2c3d",
        tuple(SlotLoad(slot, load) for slot, load in report.slots.items()),
        tuple(KeyLoad(key_hash, load) for key_hash, load in report.keys.items()),
    )
    encoded = build_codec().encode(message)
    return LoadCost(slots, len(report.slots), len(encoded), meter_bytes)


def _make_loaded_meter(clock: ReactorClock, reactor: task.Clock, slots: int) -> LoadMeter:
    meter = LoadMeter(clock=clock, slot_count=slots)
    for key_hash in np.random.default_rng(1).integers(0, 2**63, REQUEST_COUNT).tolist():
        meter.record(slot=key_hash % slots, key_hash=key_hash, work=WORK_SECONDS)
    reactor.advance(1.0)
    return meter


def _measure_allocated_bytes(call: Callable[[], object]) -> int:
    tracemalloc.start()
    call()
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return current


def main() -> None:
    """Print the costs by the number of slots, one JSON object a line."""
    for slots in SLOT_COUNTS:
        print(json.dumps(asdict(measure_load(slots))))


if __name__ == "__main__":
    main()
