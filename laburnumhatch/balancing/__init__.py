"""Choice of targets for services without exclusive owners."""

from .chooser import LatencyClassChooser
from .interfaces import OpenTargets, TargetChooser

__all__ = ["LatencyClassChooser", "OpenTargets", "TargetChooser"]
