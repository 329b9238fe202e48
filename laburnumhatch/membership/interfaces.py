"""What the other packages ask of membership."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

__all__ = ["Instance", "InstanceView", "TargetState", "TargetView"]


@dataclass(frozen=True, slots=True)
class Instance:
    """An entry instance that is held to be live."""

    name: str
    host: str
    peer_port: int
    admin_port: int
    data_centre: str


class InstanceView(Protocol):
    """The entry instances, from the platform's list and from heartbeats."""

    def live(self) -> tuple[Instance, ...]:
        """Return the live instances in order of name, this one included."""


class TargetState(StrEnum):
    """State of an upstream target as this instance sees it."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


class TargetView(Protocol):
    """The targets, from their health endpoints and from this instance's own requests."""

    def state(self, service: str, target: str) -> TargetState:
        """Return the state of a target."""

    def takes_new_work(self, service: str, target: str) -> bool:
        """Return whether new requests may be sent to a target."""

    def note_answer(self, service: str, target: str) -> None:
        """Note that a target answered a request."""

    def note_draining(self, service: str, target: str) -> None:
        """Note that a target refused a request because it is leaving."""

    def note_connection_refused(self, service: str, target: str) -> None:
        """Note that a target refused a connection."""

    def note_silence(self, service: str, target: str) -> None:
        """Note that a target did not answer a request in time."""
