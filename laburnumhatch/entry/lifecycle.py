"""Lifecycle of an entry instance, from start to graceful shutdown."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["Lifecycle", "LifecycleActions", "build_lifecycle"]


@dataclass(frozen=True, slots=True)
class LifecycleActions:
    """What the instance does on its way down.

    Attributes
    ----------
    become_unready : callable
        Tell the balancer; requests are still served.
    close_port : callable
        Take no new connections and no new requests.
    hand_over : callable
        Give up leases and links; no request is in flight any more.
    exit : callable
        End the process; takes the exit code.
    """

    become_unready: Callable[[], None]
    close_port: Callable[[], None]
    hand_over: Callable[[], None]
    exit: Callable[[int], None]


class Lifecycle(Protocol):
    """Inputs of the lifecycle."""

    def started(self) -> None:
        """All ports are open."""

    def stop_requested(self) -> None:
        """An operator or the platform asked the instance to stop; repeats change nothing."""

    def notice_over(self) -> None:
        """The balancer had its time to learn that the instance is not ready."""

    def drained(self) -> None:
        """No request is in flight."""

    def handed_over(self) -> None:
        """Leases and links are given up."""

    def time_is_up(self) -> None:
        """The bound on the shutdown passed."""

    def state_name(self) -> str:
        """Return the name of the state."""


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


@_unready.upon(Lifecycle.notice_over).to(_draining)
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
    _state.upon(Lifecycle.time_is_up).to(_stopped)(_exit_with_aborted_requests)


@_handing_over.upon(Lifecycle.time_is_up).to(_stopped)
def _exit_without_hand_over(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    # No request is cut off; the leases simply run out.
    actions.exit(CLEAN_EXIT_CODE)


for _state in (_unready, _draining, _handing_over, _stopped):
    _state.upon(Lifecycle.stop_requested).loop().returns(None)
for _state in (_serving, _unready, _draining, _handing_over, _stopped):
    _state.upon(Lifecycle.started).loop().returns(None)
_stopped.upon(Lifecycle.time_is_up).loop().returns(None)
_stopped.upon(Lifecycle.handed_over).loop().returns(None)
_stopped.upon(Lifecycle.drained).loop().returns(None)
_stopped.upon(Lifecycle.notice_over).loop().returns(None)

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
