"""Placement of requests: admission control, choice of the upstream, and retries."""

from .admission import Admitted, Declined, can_finish_before_stop, decide_admission
from .choice import Choice, Demand, choose_upstream, predict_answer_time
from .crash_record import CrashRecord, LostCopies
from .key_limiter import KeyLimiter
from .loads import LoadTracker, UpstreamLoad
from .longest_deadlines import LongestDeadlines
from .rank_limits import RankLimits
from .request_limits import RequestLimits
from .reservation import Reservation, plan_reservation, reserved_upstreams
from .retries import FailedRequest, RetryBudget, may_retry
from .service_links import LinkState, ServiceLinks
from .waiting_room import Prospect, WaitingRequest, WaitingRoom, queue_limit
from .work_times import WorkTimes

__all__ = [
    "Admitted",
    "Choice",
    "CrashRecord",
    "Declined",
    "Demand",
    "FailedRequest",
    "KeyLimiter",
    "LinkState",
    "LoadTracker",
    "LongestDeadlines",
    "LostCopies",
    "Prospect",
    "RankLimits",
    "RequestLimits",
    "Reservation",
    "RetryBudget",
    "ServiceLinks",
    "UpstreamLoad",
    "WaitingRequest",
    "WaitingRoom",
    "WorkTimes",
    "can_finish_before_stop",
    "choose_upstream",
    "decide_admission",
    "may_retry",
    "plan_reservation",
    "predict_answer_time",
    "queue_limit",
    "reserved_upstreams",
]
