"""Snapshots of the routing files: publishing and putting into force."""

from .collect import CollectedFile, CollectionError, collect
from .follower import ConfigurationFollower
from .publication import CONFIGURATION_ROW, Publication
from .publish import (
    PublishConflict,
    Published,
    PublishFailed,
    PublishUnknown,
    VersionUnknown,
    publish,
    rollback,
)
from .snapshot import SnapshotRefused, decode_snapshot, encode_snapshot, snapshot_digest

__all__ = [
    "CONFIGURATION_ROW",
    "CollectedFile",
    "CollectionError",
    "ConfigurationFollower",
    "Publication",
    "PublishConflict",
    "PublishFailed",
    "PublishUnknown",
    "Published",
    "SnapshotRefused",
    "VersionUnknown",
    "collect",
    "decode_snapshot",
    "encode_snapshot",
    "publish",
    "rollback",
    "snapshot_digest",
]
