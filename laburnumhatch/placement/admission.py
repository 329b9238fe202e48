"""Admission control: whether a request is sent to its upstream or refused.

If more requests arrive than the slots can serve within the latency objective, the admitted requests
are answered in time, and the others are refused immediately with a time to retry.
"""

from dataclasses import dataclass

__all__ = ["Admitted", "Declined", "can_finish_before_stop", "decide_admission"]

# Fraction of the latency objective that the predicted time may take. A value below 1.0 would leave
# a margin for load that the prediction doesn't include; 1.0 leaves none.
MAX_OBJECTIVE_SHARE = 1.0
# Multiple of the service time that is always allowed: a single request may take this long even
# without a queue.
MIN_ALLOWED_FACTOR = 1.5
# Multiple of the predicted time that must be left until the instance stops. Service times vary, and
# a request that is cut off can't be repeated, while one that is refused runs at another instance.
STOP_MARGIN_FACTOR = 3.0
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """Decision to send the request."""


@dataclass(frozen=True, slots=True)
class Declined:
    """Decision to refuse the request.

    Attributes
    ----------
    retry_after_s : float
        Seconds until the excess backlog should have been served.
    reason : str
        Detail of the refusal, which is sent to the caller.
    """

    retry_after_s: float
    reason: str


def decide_admission(
    predicted_s: float, service_time_s: float, latency_objective_s: float, remaining_s: float
) -> Admitted | Declined:
    """Return whether a request is sent or refused.

    Parameters
    ----------
    predicted_s : float
        Predicted time until the chosen upstream answers.
    service_time_s : float
        Usual service time of one request.
    latency_objective_s : float
        Latency objective of the route.
    remaining_s : float
        Time until the caller's deadline or the timeout of the route.

    Examples
    --------
    >>> decide_admission(0.1, 0.1, 0.3, 2.0)
    Admitted()
    >>> decide_admission(0.5, 0.1, 0.3, 2.0).retry_after_s
    0.2
    """
    if remaining_s <= 0.0:
        return Declined(MIN_RETRY_AFTER_S, "the deadline has passed")
    allowed_s = max(latency_objective_s * MAX_OBJECTIVE_SHARE, service_time_s * MIN_ALLOWED_FACTOR)
    if predicted_s <= min(allowed_s, max(remaining_s, service_time_s * MIN_ALLOWED_FACTOR)):
        return Admitted()
    excess_s = predicted_s - min(allowed_s, remaining_s)
    retry_after_s = min(max(excess_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return Declined(retry_after_s, f"{predicted_s:.3f} s predicted, {allowed_s:.3f} s allowed")


def can_finish_before_stop(predicted_s: float, time_left_s: float) -> bool:
    """Return whether a request that is sent now will be answered before its instance stops.

    Parameters
    ----------
    predicted_s : float
        Predicted time until the chosen upstream answers.
    time_left_s : float
        Time until the instance answers no more.

    Examples
    --------
    >>> can_finish_before_stop(0.2, 3.2), can_finish_before_stop(0.2, 0.3)
    (True, False)
    """
    return predicted_s * STOP_MARGIN_FACTOR <= time_left_s
