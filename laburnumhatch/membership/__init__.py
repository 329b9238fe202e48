"""Live entry instances and the state of upstream targets."""

from .interfaces import Instance, InstanceView, TargetState, TargetView

__all__ = ["Instance", "InstanceView", "TargetState", "TargetView"]
