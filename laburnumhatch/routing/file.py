"""Routing files: the validated model and its conversion to services."""

from datetime import timedelta
from typing import Annotated, Self

from pydantic import Field, field_validator, model_validator

from ..settings import CheckedModel
from .service import KeyLocation, KeySource, Objective, Ownership, RequestKind, Service, Target

__all__ = ["RoutingFile", "service_from_file"]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
MAX_SLOT_COUNT = 2**20
MAX_BODY_BYTES = 2**30
IPV4_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$"


class KeyEntry(CheckedModel):
    """Part of a request that holds the key; exactly one of the fields is set.

    Attributes
    ----------
    path : str or None
        Name of a path segment in braces, without the braces.
    header : str or None
        Name of a header.
    query : str or None
        Name of a query argument.
    """

    path: str | None = None
    header: str | None = None
    query: str | None = None

    @model_validator(mode="after")
    def _check_one_location(self) -> Self:
        if sum(value is not None for value in (self.path, self.header, self.query)) != 1:
            raise ValueError("expected exactly one of path, header and query")
        return self


class OwnershipEntry(CheckedModel):
    """Settings of the exclusive ownership of a service's keys, see `Ownership`."""

    slots: int = Field(default=1024, ge=1, le=MAX_SLOT_COUNT)
    groups: int = Field(default=1, ge=1)
    checks_fencing: bool = False
    objective: Objective = Objective.UNAVAILABLE_TIME

    @model_validator(mode="after")
    def _check_groups(self) -> Self:
        if self.slots & (self.slots - 1):
            raise ValueError("slots must be a power of two")
        if self.slots % self.groups:
            raise ValueError("groups must divide slots")
        return self


class TargetEntry(CheckedModel):
    """One upstream server."""

    name: Name
    host: str = Field(pattern=IPV4_PATTERN)
    port: int = Field(ge=1, le=65535)
    data_centre: str = Field(min_length=1)


class KindEntry(CheckedModel):
    """Settings of one kind of request, see `RequestKind`."""

    method: str = Field(pattern=r"^[A-Z]+$")
    path: str = Field(pattern=r"^/")
    repeatable: bool = False
    deadline_ms: int = Field(gt=0, le=3_600_000)
    weight: float = Field(default=1.0, gt=0.0, le=1000.0)
    retry_limit: int = Field(default=1, ge=0, le=5)
    queue_limit: int = Field(default=64, ge=0, le=10_000)
    body_limit_bytes: int = Field(default=65_536, ge=0, le=MAX_BODY_BYTES)


class TargetsEntry(CheckedModel):
    """The upstream servers of a service and the limits of each.

    Attributes
    ----------
    slots : int
        Maximum concurrent requests of one server.
    connections : int
        Maximum connections to one server, over all instances.
    servers : tuple of TargetEntry
    """

    slots: int = Field(ge=1, le=10_000)
    connections: int = Field(default=100, ge=1, le=100_000)
    servers: tuple[TargetEntry, ...] = Field(min_length=1)

    @field_validator("servers")
    @classmethod
    def _check_unique_names(cls, servers: tuple[TargetEntry, ...]) -> tuple[TargetEntry, ...]:
        names = [server.name for server in servers]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            raise ValueError(f"server names are not unique: {', '.join(repeated)}")
        return servers


class RoutingFile(CheckedModel):
    """A service's routing file.

    Attributes
    ----------
    service : str
    key : KeyEntry or None
    ownership : OwnershipEntry or None
        Set if each key has exactly one owning server. Requires `key`.
    targets : TargetsEntry
    kinds : dict of str to KindEntry
    """

    service: Name
    key: KeyEntry | None = None
    ownership: OwnershipEntry | None = None
    targets: TargetsEntry
    kinds: dict[Name, KindEntry] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_key(self) -> Self:
        if self.ownership is not None and self.key is None:
            raise ValueError("ownership requires key")
        if self.key is None or self.key.path is None:
            return self
        segment = "{" + self.key.path + "}"
        for name, kind in self.kinds.items():
            if segment not in kind.path.split("/"):
                raise ValueError(f"kinds.{name}.path has no segment {segment} for the key")
        return self


def service_from_file(file: RoutingFile) -> Service:
    """Return the service that a routing file describes."""
    return Service(
        name=file.service,
        kinds=tuple(_request_kind(name, kind) for name, kind in file.kinds.items()),
        targets=tuple(_target(server) for server in file.targets.servers),
        max_requests_per_target=file.targets.slots,
        max_connections_per_target=file.targets.connections,
        key=_key_source(file.key),
        ownership=_ownership(file.ownership),
    )


def _request_kind(name: str, entry: KindEntry) -> RequestKind:
    return RequestKind(
        name=name,
        method=entry.method,
        path=entry.path,
        is_repeatable=entry.repeatable,
        deadline=timedelta(milliseconds=entry.deadline_ms),
        weight=entry.weight,
        retry_limit=entry.retry_limit,
        queue_limit=entry.queue_limit,
        body_limit_bytes=entry.body_limit_bytes,
    )


def _target(entry: TargetEntry) -> Target:
    return Target(entry.name, entry.host, entry.port, entry.data_centre)


def _key_source(entry: KeyEntry | None) -> KeySource | None:
    if entry is None:
        return None
    if entry.path is not None:
        return KeySource(KeyLocation.PATH, entry.path)
    if entry.header is not None:
        return KeySource(KeyLocation.HEADER, entry.header)
    assert entry.query is not None
    return KeySource(KeyLocation.QUERY, entry.query)


def _ownership(entry: OwnershipEntry | None) -> Ownership | None:
    if entry is None:
        return None
    return Ownership(entry.slots, entry.groups, entry.checks_fencing, entry.objective)
