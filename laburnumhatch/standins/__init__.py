"""Stand-ins for the platform and for upstream servers."""

from .daemon import announce, run_site
from .platform import PlatformStandin, build_platform_app
from .platform_faults import PlatformFaults
from .upstream import UpstreamOptions, UpstreamStandin
from .upstream_app import build_upstream_app
from .upstream_faults import UpstreamFaults

__all__ = [
    "PlatformFaults",
    "PlatformStandin",
    "UpstreamFaults",
    "UpstreamOptions",
    "UpstreamStandin",
    "announce",
    "build_platform_app",
    "build_upstream_app",
    "run_site",
]
