"""Differences between routing files and the configuration in force."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from ..clocks import Clock
from ..routing import RoutingFile
from ..storage import ObjectStore, Table
from .outcome import PublishFailed
from .put_into_force import read_publication
from .snapshot import decode_files, snapshot_digest, snapshot_object_name

__all__ = ["Change", "ChangeKind", "Comparison", "compare", "differences"]


class ChangeKind(StrEnum):
    """How a value differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Change:
    """One difference between two sets of routing files.

    Attributes
    ----------
    kind : ChangeKind
    place : str
        Dotted path of the value, for example ``lofts`` for a service, ``lofts.kinds.view`` for a
        kind of request, ``lofts.targets.loft-3`` for a target, and
        ``lofts.kinds.view.deadline_ms`` for a field.
    before, after : str
        Old and new value of a field; empty for a service, kind or target.
    """

    kind: ChangeKind
    place: str
    before: str = ""
    after: str = ""


@dataclass(frozen=True, slots=True)
class Comparison:
    """Differences from the version in force.

    Attributes
    ----------
    version : int
        Version in force; 0 if nothing is published.
    changes : tuple of Change
    """

    version: int
    changes: tuple[Change, ...]


async def compare(
    files: Iterable[RoutingFile], *, clock: Clock, table: Table, object_store: ObjectStore
) -> Comparison | PublishFailed:
    """Return what publishing `files` would change.

    Returns
    -------
    Comparison or PublishFailed
        `PublishFailed` if the version in force can't be read.
    """
    current = await read_publication(clock, table)
    if isinstance(current, PublishFailed):
        return current
    if current is None:
        return Comparison(0, differences((), files))
    publication = current[1]
    content = await object_store.get(snapshot_object_name(publication.digest))
    if not isinstance(content, bytes):
        return PublishFailed(f"version {publication.version} can't be fetched: {content}")
    if snapshot_digest(content) != publication.digest:
        return PublishFailed(f"the snapshot of version {publication.version} is corrupted")
    return Comparison(publication.version, differences(decode_files(content), files))


def differences(before: Iterable[RoutingFile], after: Iterable[RoutingFile]) -> tuple[Change, ...]:
    """Return the differences between two sets of routing files, sorted by place."""
    return tuple(_compare_mappings("", _values_by_service(before), _values_by_service(after)))


def _values_by_service(files: Iterable[RoutingFile]) -> dict[str, Any]:
    return {file.service: _file_values(file) for file in files}


def _file_values(file: RoutingFile) -> dict[str, Any]:
    """Return the values of a file, with the targets as a mapping from name to target."""
    values = file.model_dump(mode="json", exclude={"service"}, exclude_none=True)
    servers = values["targets"].pop("servers")
    values["targets"] |= {server.pop("name"): server for server in servers}
    return values


def _compare_mappings(
    prefix: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        place = f"{prefix}{name}"
        if name not in after:
            yield Change(ChangeKind.REMOVED, place, before=_format_value(before[name]))
        elif name not in before:
            yield Change(ChangeKind.ADDED, place, after=_format_value(after[name]))
        elif isinstance(before[name], dict) and isinstance(after[name], dict):
            yield from _compare_mappings(f"{place}.", before[name], after[name])
        elif before[name] != after[name]:
            yield Change(
                ChangeKind.CHANGED,
                place,
                before=_format_value(before[name]),
                after=_format_value(after[name]),
            )


def _format_value(value: Any) -> str:
    return "" if isinstance(value, dict) else str(value)
