"""What the request path asks of balancing."""

from datetime import timedelta
from typing import Protocol

from ..routing import Service, Target

__all__ = ["OpenTargets", "TargetChooser"]


class OpenTargets(Protocol):
    """The part of `membership.TargetView` that a choice needs."""

    def takes_new_work(self, service: str, target: str) -> bool:
        """Return whether new requests may be sent to a target."""


class TargetChooser(Protocol):
    """Choice of a target for requests that have no exclusive owner."""

    def choose(self, service: Service, excluded: frozenset[str]) -> Target | None:
        """Return a target with room that isn't excluded, or None."""

    def request_started(self, service: str, target: str) -> None:
        """Note that a request to a target is in flight."""

    def request_ended(self, service: str, target: str, latency: timedelta, answered: bool) -> None:
        """Note that a request to a target is over.

        Parameters
        ----------
        service, target : str
        latency : timedelta
            From the send to the answer's header, or to the failure.
        answered : bool
            False for a shed, a timeout and a broken connection.
        """
