"""Configuration snapshots: collecting, publishing and following the routing files.

A publication stores all routing files as one immutable snapshot in the object store and puts it
into force by a conditional write of one table row. Every instance follows that row, directly or
through announcements of its peers.
"""

from .collect import CollectedFile, CollectionError, collect
from .compare import Change, ChangeKind, Comparison, compare, differences
from .follower import ConfigurationFollower
from .in_force import InForce, LaggingInstance, NotInForce, await_in_force, http_reported_version
from .messages import CONFIGURATION_MESSAGES
from .outcome import (
    PublishConflict,
    Published,
    PublishFailed,
    PublishUnknown,
    VersionUnknown,
)
from .publication import CONFIGURATION_ROW, Publication
from .publish import publish, rollback
from .snapshot import SnapshotRefused, decode_snapshot, encode_snapshot, snapshot_digest

__all__ = [
    "CONFIGURATION_MESSAGES",
    "CONFIGURATION_ROW",
    "Change",
    "ChangeKind",
    "CollectedFile",
    "CollectionError",
    "Comparison",
    "ConfigurationFollower",
    "InForce",
    "LaggingInstance",
    "NotInForce",
    "Publication",
    "PublishConflict",
    "PublishFailed",
    "PublishUnknown",
    "Published",
    "SnapshotRefused",
    "VersionUnknown",
    "await_in_force",
    "collect",
    "compare",
    "decode_snapshot",
    "differences",
    "encode_snapshot",
    "http_reported_version",
    "publish",
    "rollback",
    "snapshot_digest",
]
