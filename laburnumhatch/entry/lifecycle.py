"""State machine of an entry instance's life cycle, from start to graceful shutdown."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["Lifecycle", "LifecycleActions", "build_lifecycle"]


@dataclass(frozen=True, slots=True)
class LifecycleActions:
    """Actions of the graceful shutdown.

    Attributes
    ----------
    become_unready : callable
        Report to the load balancer that the instance isn't ready; requests are still served.
    close_port : callable
        Accept no new connections and no new requests.
    hand_over : callable
        Release the leases and close the links, after the last request has ended.
    exit : callable
        End the process with the given exit code.
    """

    become_unready: Callable[[], None]
    close_port: Callable[[], None]
    hand_over: Callable[[], None]
    exit: Callable[[int], None]


class Lifecycle(Protocol):
    """Inputs of the state machine."""

    def started(self) -> None:
        """Report that all ports are open."""

    def stop_requested(self) -> None:
        """Request the shutdown; repeated requests have no effect."""

    def readiness_delay_elapsed(self) -> None:
        """Report that the load balancer has had time to notice that the instance isn't ready."""

    def drained(self) -> None:
        """Report that no request is in flight."""

    def handed_over(self) -> None:
        """Report that the leases are released and the links are closed."""

    def shutdown_timed_out(self) -> None:
        """Report that the time limit of the shutdown has passed."""

    def state_name(self) -> str:
        """Return the name of the current state."""


_builder = TypeMachineBuilder(Lifecycle, LifecycleActions)
_starting = _builder.state("starting")
_serving = _builder.state("serving")
_unready = _builder.state("unready")
_draining = _builder.state("draining")
_handing_over = _builder.state("handing over")
_stopped = _builder.state("stopped")

CLEAN_EXIT_CODE = 0
ABORTED_REQUESTS_EXIT_CODE = 1


@_starting.upon(Lifecycle.started).to(_serving)
def _start_serving(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    pass


@_starting.upon(Lifecycle.stop_requested).to(_handing_over)
def _stop_while_starting(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.hand_over()


@_serving.upon(Lifecycle.stop_requested).to(_unready)
def _announce_unready(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.become_unready()


@_unready.upon(Lifecycle.readiness_delay_elapsed).to(_draining)
def _start_draining(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.close_port()


@_draining.upon(Lifecycle.drained).to(_handing_over)
def _start_hand_over(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.hand_over()


@_handing_over.upon(Lifecycle.handed_over).to(_stopped)
def _exit_clean(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.exit(CLEAN_EXIT_CODE)


def _exit_with_aborted_requests(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.exit(ABORTED_REQUESTS_EXIT_CODE)


for _state in (_unready, _draining):
    _state.upon(Lifecycle.shutdown_timed_out).to(_stopped)(_exit_with_aborted_requests)


@_handing_over.upon(Lifecycle.shutdown_timed_out).to(_stopped)
def _exit_without_hand_over(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    # No request is aborted; the leases that were not released expire.
    actions.exit(CLEAN_EXIT_CODE)


for _state in (_unready, _draining, _handing_over, _stopped):
    _state.upon(Lifecycle.stop_requested).loop().returns(None)
for _state in (_serving, _unready, _draining, _handing_over, _stopped):
    _state.upon(Lifecycle.started).loop().returns(None)
_stopped.upon(Lifecycle.shutdown_timed_out).loop().returns(None)
_stopped.upon(Lifecycle.handed_over).loop().returns(None)
_stopped.upon(Lifecycle.drained).loop().returns(None)
_stopped.upon(Lifecycle.readiness_delay_elapsed).loop().returns(None)

for _state, _name in (
    (_starting, "starting"),
    (_serving, "serving"),
    (_unready, "unready"),
    (_draining, "draining"),
    (_handing_over, "handing over"),
    (_stopped, "stopped"),
):
    _state.upon(Lifecycle.state_name).loop().returns(_name)

build_lifecycle: Callable[[LifecycleActions], Lifecycle] = _builder.build()
