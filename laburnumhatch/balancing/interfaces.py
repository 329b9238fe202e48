"""Interfaces between balancing and the request path."""

from datetime import timedelta
from typing import Protocol

from ..routing import Service, Target

__all__ = ["OpenTargets", "TargetChooser"]


class OpenTargets(Protocol):
    """Part of `membership.TargetView` that the choice of a target uses."""

    def takes_new_work(self, service: str, target: str) -> bool:
        """Return whether new requests may be sent to a target."""


class TargetChooser(Protocol):
    """Choice of targets for requests that have no exclusive owner."""

    def choose(self, service: Service, excluded: frozenset[str]) -> Target | None:
        """Return a target that may take another request and isn't excluded, or None."""

    def request_started(self, service: str, target: str) -> None:
        """Record that a request to a target was started."""

    def request_ended(self, service: str, target: str, latency: timedelta, answered: bool) -> None:
        """Record that a request to a target ended.

        Parameters
        ----------
        service, target : str
        latency : timedelta
            Time from sending the request to the header of the response or to the failure.
        answered : bool
            False if the target shed the request, it timed out, or its connection broke.
        """
