"""Placement of requests: admission control, choice of the upstream, and retries."""

from .admission import Admitted, Declined, decide_admission
from .choice import Choice, choose_upstream, predict_answer_time
from .loads import LoadTracker, UpstreamLoad
from .retries import FailedRequest, RetryBudget, may_retry

__all__ = [
    "Admitted",
    "Choice",
    "Declined",
    "FailedRequest",
    "LoadTracker",
    "RetryBudget",
    "UpstreamLoad",
    "choose_upstream",
    "decide_admission",
    "may_retry",
    "predict_answer_time",
]
