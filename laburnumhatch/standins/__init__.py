"""Simulated platform services and upstream servers, and helpers that run them in tests."""

from .daemon import ServedApp, run_apps
from .keys import matched_key, second_segment
from .platform import PlatformStandin, build_platform_app
from .platform_faults import PlatformFaults
from .upstream import UpstreamStandin, leave_all
from .upstream_app import build_upstream_app
from .upstream_faults import UpstreamFaults
from .upstream_options import UpstreamOptions

__all__ = [
    "PlatformFaults",
    "PlatformStandin",
    "ServedApp",
    "UpstreamFaults",
    "UpstreamOptions",
    "UpstreamStandin",
    "build_platform_app",
    "build_upstream_app",
    "leave_all",
    "matched_key",
    "run_apps",
    "second_segment",
]
