"""Services, routing files and request matching."""

from .file import RoutingFile, service_from_file
from .match import Match, build_matcher, overlapping_kinds
from .service import (
    KeyLocation,
    KeySource,
    Objective,
    Ownership,
    RequestKind,
    Service,
    Snapshot,
    Target,
)

__all__ = [
    "KeyLocation",
    "KeySource",
    "Match",
    "Objective",
    "Ownership",
    "RequestKind",
    "RoutingFile",
    "Service",
    "Snapshot",
    "Target",
    "build_matcher",
    "overlapping_kinds",
    "service_from_file",
]
