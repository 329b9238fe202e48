"""Load of a group's slots, aggregated over all entry instances."""

from datetime import timedelta

from ..clocks import Clock
from ..planning.load import LoadMeter, LoadReport, merge_load_reports
from .messages import KeyLoad, SlotLoad
from .messages import LoadReport as LoadMessage
from .state import GroupSetup

__all__ = ["LoadAggregator", "load_message"]

# Older reports are ignored.
MAX_REPORT_AGE = timedelta(seconds=5)
# Largest number of keys in one report.
MAX_REPORTED_KEYS = 32
# Smallest load of a slot or key that is reported, in seconds of work a second.
MIN_REPORTED_LOAD = 1e-4


class LoadAggregator:
    """Latest load report of each instance."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, tuple[timedelta, LoadReport]] = {}

    def record_report(self, message: LoadMessage) -> None:
        """Replace the report of the instance that sent `message`."""
        slots = {item.slot: item.load for item in message.slots}
        keys = {item.key_hash: item.load for item in message.keys}
        self._reports[message.member] = (self._clock.now(), LoadReport(slots, keys))

    def total(self) -> LoadReport:
        """Return the sum of the reports of all instances within `MAX_REPORT_AGE`."""
        now = self._clock.now()
        self._reports = {
            member: (received_at, report)
            for member, (received_at, report) in self._reports.items()
            if now - received_at < MAX_REPORT_AGE
        }
        return merge_load_reports(report for _, report in self._reports.values())


def load_message(setup: GroupSetup, meter: LoadMeter) -> LoadMessage:
    """Return the report on a group's slots and on the hottest keys from an instance's meter."""
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
