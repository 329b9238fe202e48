"""Stand-ins of the platform's store and upstreams, with fault injection, for tests."""

from .configuration import StandinRoute, encode_configuration
from .registration import encode_registration
from .store import StandinStore, StoreCopy, StoreFaults
from .upstream import StandinUpstream, UpstreamFaults, UpstreamObserver

__all__ = [
    "StandinRoute",
    "StandinStore",
    "StandinUpstream",
    "StoreCopy",
    "StoreFaults",
    "UpstreamObserver",
    "UpstreamFaults",
    "encode_configuration",
    "encode_registration",
]
