"""Interfaces that membership offers to the other packages."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

__all__ = ["Instance", "InstanceView", "TargetState", "TargetView"]


@dataclass(frozen=True, slots=True)
class Instance:
    """Name, addresses and data centre of an entry instance."""

    name: str
    host: str
    peer_port: int
    admin_port: int
    data_centre: str


class InstanceView(Protocol):
    """View of the entry instances, from the platform's list and from heartbeats."""

    def live(self) -> tuple[Instance, ...]:
        """Return the live instances sorted by name, including this one."""


class TargetState(StrEnum):
    """State of an upstream target as known to this instance.

    Only a target that is `READY` receives new requests.
    """

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


class TargetView(Protocol):
    """View of the targets, from their health endpoints and from this instance's requests."""

    def state(self, service: str, target: str) -> TargetState:
        """Return the state of a target."""

    def takes_new_work(self, service: str, target: str) -> bool:
        """Return whether new requests may be sent to a target."""

    def record_answer(self, service: str, target: str) -> None:
        """Record that a target answered a request."""

    def record_draining(self, service: str, target: str) -> None:
        """Record that a target refused a request because it is shutting down."""

    def record_connection_refused(self, service: str, target: str) -> None:
        """Record that a target refused a connection."""

    def record_timeout(self, service: str, target: str) -> None:
        """Record that a target did not answer a request before its timeout."""
