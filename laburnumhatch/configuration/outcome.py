"""Outcomes of publishing."""

from dataclasses import dataclass

__all__ = [
    "PublishConflict",
    "PublishFailed",
    "PublishOutcome",
    "PublishUnknown",
    "Published",
    "VersionUnknown",
]


@dataclass(frozen=True, slots=True)
class Published:
    """The snapshot is in force.

    Attributes
    ----------
    version : int
    digest : str
    changed : bool
        False where the same snapshot was in force already and nothing was written.
    """

    version: int
    digest: str
    changed: bool = True


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """Another publisher was first; nothing of this publication is in force.

    Attributes
    ----------
    version : int
        Version in force.
    publisher : str
        Who published it.
    digest : str
        Digest in force.
    own_digest : str
        Digest of the snapshot that lost; it stays in the object store.
    """

    version: int
    publisher: str
    digest: str
    own_digest: str


@dataclass(frozen=True, slots=True)
class PublishFailed:
    """Nothing was put into force; the call may be repeated."""

    reason: str


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """The write's reply was lost and the row couldn't be read since.

    Attributes
    ----------
    version : int
        Version that is in force if the write took effect.
    digest : str
    reason : str
    """

    version: int
    digest: str
    reason: str


@dataclass(frozen=True, slots=True)
class VersionUnknown:
    """A rollback to a version that the row doesn't know; `known` are the versions it does."""

    version: int
    known: tuple[int, ...]


PublishOutcome = Published | PublishConflict | PublishFailed | PublishUnknown
