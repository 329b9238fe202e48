"""Load of a group's slots, gathered from all entry instances."""

from datetime import timedelta

from ..clocks import Clock
from ..planning.load import LoadMeter, LoadReport, merge_load_reports
from .messages import KeyLoad, SlotLoad
from .messages import LoadReport as LoadMessage
from .state import GroupSetup

__all__ = ["LoadAggregator", "load_message"]

# Reports older than this no longer count.
MAX_REPORT_AGE = timedelta(seconds=5)
# Keys that one report names.
MAX_REPORTED_KEYS = 32
# Slots and keys with less load than this, in seconds of work a second, aren't reported.
MIN_REPORTED_LOAD = 1e-4


class LoadAggregator:
    """The latest report of each instance."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, tuple[timedelta, LoadReport]] = {}

    def record_report(self, message: LoadMessage) -> None:
        """Take an instance's report in place of its last one."""
        slots = {item.slot: item.load for item in message.slots}
        keys = {item.key_hash: item.load for item in message.keys}
        self._reports[message.member] = (self._clock.now(), LoadReport(slots, keys))

    def total(self) -> LoadReport:
        """Return the load that all instances together reported lately."""
        now = self._clock.now()
        self._reports = {
            member: (at, report)
            for member, (at, report) in self._reports.items()
            if now - at < MAX_REPORT_AGE
        }
        return merge_load_reports(report for _, report in self._reports.values())


def load_message(setup: GroupSetup, meter: LoadMeter) -> LoadMessage:
    """Return a group's part of what an instance measured."""
    report = meter.report()
    slots = sorted((slot, load) for slot, load in report.slots.items() if slot in setup.slots)
    keys = sorted(report.keys.items(), key=lambda item: -item[1])[:MAX_REPORTED_KEYS]
    return LoadMessage(
        setup.service,
        setup.group,
        setup.member,
        tuple(SlotLoad(slot, load) for slot, load in slots if load >= MIN_REPORTED_LOAD),
        tuple(KeyLoad(key_hash, load) for key_hash, load in keys if load >= MIN_REPORTED_LOAD),
    )
