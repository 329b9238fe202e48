"""Snapshot bytes: the routing files of all services in one canonical document."""

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
    "decode_snapshot",
    "encode_snapshot",
    "files_of",
    "snapshot_digest",
    "snapshot_name",
]

SCHEMA = 1
MAX_SNAPSHOT_BYTES = 8 * 2**20


class SnapshotDocument(CheckedModel):
    """Content of a snapshot object.

    Attributes
    ----------
    schema_number : int
        Grows when an older release could misread the document.
    services : tuple of RoutingFile
        In order of service name.
    """

    schema_number: Literal[1]
    services: tuple[RoutingFile, ...] = Field(min_length=1)


@dataclass(frozen=True, slots=True)
class SnapshotRefused:
    """Snapshot bytes that can't be put into force; `reason` names the field."""

    reason: str


def encode_snapshot(files: Iterable[RoutingFile]) -> bytes:
    """Return the canonical bytes of a set of routing files.

    Parameters
    ----------
    files : iterable of RoutingFile
        In any order; names of services must differ.

    Returns
    -------
    bytes
        JSON in UTF-8: sorted names, no spaces, defaults written out, so that equal files give
        equal bytes and a later release's defaults don't change what was published.
    """
    ordered = sorted(files, key=lambda file: file.service)
    document = {
        "schema_number": SCHEMA,
        "services": [file.model_dump(mode="json", exclude_none=True) for file in ordered],
    }
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def decode_snapshot(content: bytes, version: int, digest: str) -> Snapshot | SnapshotRefused:
    """Return the snapshot that `content` holds, or why it is refused.

    Parameters
    ----------
    content : bytes
    version : int
        Version under which the snapshot was published.
    digest : str
        Digest that the publication names.

    Returns
    -------
    Snapshot or SnapshotRefused
        Refused where the content is too large, doesn't have the digest, or doesn't fit the
        model of this release.
    """
    if len(content) > MAX_SNAPSHOT_BYTES:
        return SnapshotRefused(f"{len(content)} bytes, more than {MAX_SNAPSHOT_BYTES}")
    found = snapshot_digest(content)
    if found != digest:
        return SnapshotRefused(f"digest {found}, expected {digest}")
    try:
        services = tuple(service_from_file(file) for file in files_of(content))
    except ValidationError as e:
        return SnapshotRefused(str(e))
    return Snapshot(version, digest, services)


def files_of(content: bytes) -> tuple[RoutingFile, ...]:
    """Return the routing files of a snapshot's bytes.

    Raises
    ------
    pydantic.ValidationError
        If the content doesn't fit the model; names the field.
    """
    return SnapshotDocument.model_validate_json(content).services


def snapshot_digest(content: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of snapshot bytes."""
    return hashlib.sha256(content).hexdigest()


def snapshot_name(digest: str) -> str:
    """Return the name of a snapshot in the object store.

    Examples
    --------
    >>> snapshot_name("ab12")
    'snapshots/ab12'
    """
    return f"snapshots/{digest}"
