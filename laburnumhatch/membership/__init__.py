"""Membership of the entry instances and health of the upstream targets."""

from .directory import InstanceDirectory
from .interfaces import Instance, InstanceView, TargetState, TargetView
from .messages import MEMBERSHIP_MESSAGES
from .peers import choose_peers
from .probe import TargetLoad, http_probe
from .rendezvous import choose_instances, probers_of
from .target_health import TargetHealth

__all__ = [
    "MEMBERSHIP_MESSAGES",
    "Instance",
    "InstanceDirectory",
    "InstanceView",
    "TargetHealth",
    "TargetLoad",
    "TargetState",
    "TargetView",
    "choose_instances",
    "choose_peers",
    "http_probe",
    "probers_of",
]
