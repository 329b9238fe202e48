"""Settings documents and their checks."""

from .document import CheckedModel, DocumentError, parse_document, read_document
from .instance import InstanceSettings, ListenAddress, PlatformAddresses

__all__ = [
    "CheckedModel",
    "DocumentError",
    "InstanceSettings",
    "ListenAddress",
    "PlatformAddresses",
    "parse_document",
    "read_document",
]
