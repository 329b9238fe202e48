"""Parameters of the two deployments that the measurements simulate."""

from dataclasses import dataclass

from ..routing import Objective

__all__ = ["DEPLOYMENTS", "ENTRY_COUNT", "Deployment"]

ENTRY_COUNT = 8


@dataclass(frozen=True, slots=True)
class Deployment:
    """Parameters of a deployment.

    Attributes
    ----------
    name : str
    data_centres : tuple of str
    hop_seconds : float
        One-way latency between data centres.
    owner_count : int
        Number of servers of the service that is divided by key.
    target_count : int
        Number of servers of each of the other services.
    slots_per_server : int
        Requests that one server runs concurrently.
    connections_per_server : int
        Connections that one server accepts.
    objective : Objective
    """

    name: str
    data_centres: tuple[str, ...]
    hop_seconds: float
    owner_count: int
    target_count: int
    slots_per_server: int
    connections_per_server: int
    objective: Objective


DEPLOYMENTS = (
    Deployment(
        name="duefjaer",
        data_centres=("lade", "byasen", "heimdal", "ranheim"),
        hop_seconds=0.0015,
        owner_count=15,
        target_count=8,
        slots_per_server=2,
        connections_per_server=100,
        objective=Objective.UNAVAILABLE_TIME,
    ),
    Deployment(
        name="caroni",
        data_centres=("north", "middle", "south"),
        hop_seconds=0.001,
        owner_count=15,
        target_count=6,
        slots_per_server=6,
        connections_per_server=100,
        objective=Objective.IMBALANCE,
    ),
)
