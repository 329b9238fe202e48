"""State of the upstream targets."""

from ..routing import Snapshot
from .interfaces import TargetState

__all__ = ["TargetHealth"]


class TargetHealth:
    """Targets of all services, all ready."""

    def follow(self, snapshot: Snapshot) -> None:
        """Watch the targets of a snapshot in place of those before."""

    def start(self) -> None:
        """Start watching."""

    def stop(self) -> None:
        """Stop watching."""

    def state(self, service: str, target: str) -> TargetState:
        """Return the state of a target."""
        return TargetState.READY

    def takes_new_work(self, service: str, target: str) -> bool:
        """Return whether new requests may be sent to a target."""
        return True

    def note_answer(self, service: str, target: str) -> None:
        """Note that a target answered a request."""

    def note_draining(self, service: str, target: str) -> None:
        """Note that a target refused a request because it is leaving."""

    def note_connection_refused(self, service: str, target: str) -> None:
        """Note that a target refused a connection."""

    def note_silence(self, service: str, target: str) -> None:
        """Note that a target did not answer a request in time."""
