"""Load balancing over the targets of services without exclusive owners."""

from .chooser import LatencyClassChooser
from .interfaces import OpenTargets, TargetChooser

__all__ = ["LatencyClassChooser", "OpenTargets", "TargetChooser"]
