"""Live entry instances and the state of upstream targets."""

from .directory import InstanceDirectory
from .interfaces import Instance, InstanceView, TargetState, TargetView
from .target_health import TargetHealth

__all__ = [
    "Instance",
    "InstanceDirectory",
    "InstanceView",
    "TargetHealth",
    "TargetState",
    "TargetView",
]
