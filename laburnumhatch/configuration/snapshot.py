"""Encoding of snapshots: the routing files of all services as one canonical document."""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from pydantic import Field, ValidationError

from ..routing import RoutingFile, Snapshot, service_from_file
from ..settings import CheckedModel

__all__ = [
    "MAX_SNAPSHOT_BYTES",
    "SnapshotRefused",
    "decode_files",
    "decode_snapshot",
    "encode_snapshot",
    "snapshot_digest",
    "snapshot_object_name",
]

SCHEMA_NUMBER = 1
MAX_SNAPSHOT_BYTES = 8 * 2**20


class SnapshotDocument(CheckedModel):
    """Content of a snapshot in the object store.

    Attributes
    ----------
    schema_number : int
        Version of the format, increased whenever an older release could misread the document.
    services : tuple of RoutingFile
        Sorted by service name.
    """

    schema_number: Literal[1]
    services: tuple[RoutingFile, ...] = Field(min_length=1)


@dataclass(frozen=True, slots=True)
class SnapshotRefused:
    """Result of decoding snapshot bytes that can't be put into force.

    Attributes
    ----------
    reason : str
        What is wrong: the size, the digest, or the field that doesn't fit the model.
    """

    reason: str


def encode_snapshot(files: Iterable[RoutingFile]) -> bytes:
    """Return the canonical bytes of a set of routing files.

    Parameters
    ----------
    files : iterable of RoutingFile
        Files in any order; each service must occur once.

    Returns
    -------
    bytes
        JSON in UTF-8 with sorted names, without spaces and with defaults written out. Equal files
        thus give equal bytes, and the defaults of a later release don't change what was
        published.
    """
    ordered = sorted(files, key=lambda file: file.service)
    document = {
        "schema_number": SCHEMA_NUMBER,
        "services": [file.model_dump(mode="json", exclude_none=True) for file in ordered],
    }
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def decode_snapshot(content: bytes, version: int, digest: str) -> Snapshot | SnapshotRefused:
    """Return the snapshot that `content` encodes, or the reason why it is refused.

    Parameters
    ----------
    content : bytes
    version : int
        Version under which the snapshot was published.
    digest : str
        Expected digest, as given by the publication.

    Returns
    -------
    Snapshot or SnapshotRefused
        `SnapshotRefused` if the content is too large, has a different digest, or doesn't fit the
        model of this release.
    """
    if len(content) > MAX_SNAPSHOT_BYTES:
        return SnapshotRefused(f"{len(content)} bytes, more than {MAX_SNAPSHOT_BYTES}")
    actual_digest = snapshot_digest(content)
    if actual_digest != digest:
        return SnapshotRefused(f"digest {actual_digest}, expected {digest}")
    try:
        services = tuple(service_from_file(file) for file in decode_files(content))
    except ValidationError as e:
        return SnapshotRefused(str(e))
    return Snapshot(version, digest, services)


def decode_files(content: bytes) -> tuple[RoutingFile, ...]:
    """Return the routing files that snapshot bytes encode.

    Raises
    ------
    pydantic.ValidationError
        If the content doesn't fit the model. The message names the field.
    """
    return SnapshotDocument.model_validate_json(content).services


def snapshot_digest(content: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of snapshot bytes."""
    return hashlib.sha256(content).hexdigest()


def snapshot_object_name(digest: str) -> str:
    """Return the name of a snapshot in the object store.

    Examples
    --------
    >>> snapshot_object_name("ab12")
    'snapshots/ab12'
    """
    return f"snapshots/{digest}"
