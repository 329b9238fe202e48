"""Whether a request is sent at all.

Answers the load of more requests than the slots can serve within their goal: those that are taken
are answered in time, the others learn at once when to come back.
"""

from dataclasses import dataclass

__all__ = ["Admitted", "Declined", "decide_admission"]

# Share of the latency goal that the predicted time may take; the rest is for what the prediction
# doesn't see.
GOAL_SHARE = 1.0
# A single request takes up to this many times its usual service time without any queue.
LEAST_TURNS = 1.5
SHORTEST_RETRY_S = 0.05
LONGEST_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is sent."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The request is refused.

    Attributes
    ----------
    retry_after_s : float
        When the backlog that is in the way should be gone.
    reason : str
    """

    retry_after_s: float
    reason: str


def decide_admission(
    predicted_s: float, service_s: float, goal_s: float, left_s: float
) -> Admitted | Declined:
    """Return whether a request is sent.

    Parameters
    ----------
    predicted_s : float
        Time until the best upstream would answer.
    service_s : float
        Usual time of one request of the service.
    goal_s : float
        Time within which an answer has its full worth.
    left_s : float
        Time until the caller gives up or its route's timeout is reached.

    Examples
    --------
    >>> decide_admission(0.1, 0.1, 0.3, 2.0)
    Admitted()
    >>> decide_admission(0.5, 0.1, 0.3, 2.0).retry_after_s
    0.2
    """
    if left_s <= 0.0:
        return Declined(SHORTEST_RETRY_S, "the deadline has passed")
    allowed = max(goal_s * GOAL_SHARE, service_s * LEAST_TURNS)
    if predicted_s <= min(allowed, max(left_s, service_s * LEAST_TURNS)):
        return Admitted()
    excess = predicted_s - min(allowed, left_s)
    retry = min(max(excess, SHORTEST_RETRY_S), LONGEST_RETRY_S)
    return Declined(retry, f"{predicted_s:.3f} s predicted, {allowed:.3f} s allowed")
