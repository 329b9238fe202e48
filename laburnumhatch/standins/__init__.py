"""Simulated platform services and upstream servers, and helpers that run them in tests."""

from .daemon import ServedApp, run_apps
from .keys import key_from_second_segment, make_key_finder
from .platform import PlatformStandin, build_platform_app
from .platform_faults import PlatformFaults
from .upstream import UpstreamStandin, drain_all
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
    "drain_all",
    "key_from_second_segment",
    "make_key_finder",
    "run_apps",
]
