"""Settings files: parsing, validation and the settings of an instance."""

from .document import CheckedModel, DocumentError, parse_document, read_document
from .instance import InstanceSettings, ListenAddress, PlatformAddresses, SeedInstance

__all__ = [
    "CheckedModel",
    "DocumentError",
    "InstanceSettings",
    "ListenAddress",
    "PlatformAddresses",
    "SeedInstance",
    "parse_document",
    "read_document",
]
