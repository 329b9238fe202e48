"""Messages between entry instances about the configuration."""

from dataclasses import dataclass

__all__ = [
    "CONFIGURATION_MESSAGES",
    "ConfigurationAnnouncement",
    "SnapshotPart",
    "SnapshotRequest",
]


@dataclass(frozen=True, slots=True)
class ConfigurationAnnouncement:
    """Version and digest of the snapshot in force at the sender."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Request for the bytes of a snapshot from `offset` on."""

    digest: str
    offset: int


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Bytes of a snapshot from `offset` on.

    Attributes
    ----------
    digest : str
    offset : int
    total_bytes : int
        Size of the whole snapshot in bytes; 0 if the sender doesn't have it.
    content : bytes
    """

    digest: str
    offset: int
    total_bytes: int
    content: bytes


CONFIGURATION_MESSAGES: tuple[type, ...] = (
    ConfigurationAnnouncement,
    SnapshotRequest,
    SnapshotPart,
)
