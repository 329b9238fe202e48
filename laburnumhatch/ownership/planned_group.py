"""A group together with its measured load and its planner."""

from collections.abc import Callable
from datetime import timedelta

from ..membership.interfaces import TargetState, TargetView
from ..planning.interfaces import Move, PlanningView
from ..planning.load import LoadMeter
from ..routing import Service
from .effects import MovesPlanned
from .group_driver import GroupDependencies, GroupDriver
from .group_load import LoadAggregator, load_message
from .messages import LoadReport, OwnershipMessage
from .moving import may_write
from .owner import Owner
from .planning_view import build_planning_view, lost_servers, server_names
from .state import LONG_AGO, GroupSetup, instance_of

__all__ = ["PlannedGroup"]

PLAN_INTERVAL = timedelta(milliseconds=500)
REPORT_INTERVAL = timedelta(seconds=1)


class PlannedGroup:
    """A group's driver with the load reports and the planner that feed it.

    Parameters
    ----------
    setup : GroupSetup
    service : Service
    dependencies : GroupDependencies
    targets : TargetView
    plan : callable
        Returns the moves to make for a `PlanningView`.

    Attributes
    ----------
    driver : GroupDriver
    """

    def __init__(
        self,
        setup: GroupSetup,
        service: Service,
        dependencies: GroupDependencies,
        *,
        targets: TargetView,
        plan: Callable[[PlanningView], tuple[Move, ...]],
    ) -> None:
        assert service.ownership is not None
        self.driver = GroupDriver(setup, service, dependencies, self._on_tick)
        self._dependencies = dependencies
        self._targets = targets
        self._plan = plan
        self._slot_count = service.ownership.slot_count
        self._meter = LoadMeter(clock=dependencies.clock, slot_count=self._slot_count)
        self._load_reports = LoadAggregator(dependencies.clock)
        self._planned_at = LONG_AGO
        self._reported_at = LONG_AGO
        self._last_target_states: tuple[TargetState, ...] = ()

    def receive(self, instance: str, message: OwnershipMessage) -> None:
        """Handle a message of another instance."""
        if isinstance(message, LoadReport):
            self._load_reports.record_report(message)
            return
        self.driver.receive(instance, message)

    def record_work(self, owner: Owner, work: timedelta) -> None:
        """Record a server's work on a request."""
        self._meter.record(slot=owner.slot, key_hash=owner.key_hash, work=work.total_seconds())

    def _on_tick(self, driver: GroupDriver) -> None:
        now = self._dependencies.clock.now()
        if now - self._reported_at >= REPORT_INTERVAL:
            self._reported_at = now
            self._report_load()
        states = self._target_states()
        if now - self._planned_at >= PLAN_INTERVAL or states != self._last_target_states:
            self._planned_at = now
            self._last_target_states = states
            self._plan_moves(now)

    def _target_states(self) -> tuple[TargetState, ...]:
        service = self.driver.service
        return tuple(self._targets.state(service.name, t.name) for t in service.targets)

    def _report_load(self) -> None:
        state = self.driver.state
        message = load_message(state.setup, self._meter)
        if state.known_row is None:
            return
        coordinator = instance_of(state.known_row.coordinator)
        if coordinator == state.setup.instance:
            self._load_reports.record_report(message)
        else:
            self._dependencies.links.send(coordinator, message)

    def _plan_moves(self, now: timedelta) -> None:
        state = self.driver.state
        term = state.term
        row = state.known_row
        if term is None or row is None or not may_write(state, now):
            return
        service = self.driver.service
        names = server_names(service, row)
        time_since_last_move = now - max(term.moved_at, term.started_at)
        view = build_planning_view(
            service,
            self._slot_count,
            row,
            names,
            self._targets,
            self._load_reports.total(),
            time_since_last_move,
        )
        moves = self._plan(view)
        if moves:
            lost = lost_servers(service, names, self._targets)
            self.driver.dispatch(MovesPlanned(names, moves, lost))
