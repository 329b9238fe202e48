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
    owners : int
        Number of servers of the service that is divided by key.
    targets : int
        Number of servers of each of the other services.
    slots : int
        Requests that one server runs concurrently.
    connections : int
        Connections that one server accepts.
    objective : Objective
    """

    name: str
    data_centres: tuple[str, ...]
    hop_seconds: float
    owners: int
    targets: int
    slots: int
    connections: int
    objective: Objective


DEPLOYMENTS = (
    Deployment(
        name="duefjaer",
        data_centres=("lade", "byasen", "heimdal", "ranheim"),
        hop_seconds=0.0015,
        owners=15,
        targets=8,
        slots=2,
        connections=100,
        objective=Objective.UNAVAILABLE_TIME,
    ),
    Deployment(
        name="caroni",
        data_centres=("north", "middle", "south"),
        hop_seconds=0.001,
        owners=15,
        targets=6,
        slots=6,
        connections=100,
        objective=Objective.IMBALANCE,
    ),
)
