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
        False if the same snapshot was already in force and nothing was written.
    """

    version: int
    digest: str
    changed: bool = True


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """A publication other than the expected one is in force; this one had no effect.

    Attributes
    ----------
    version : int
        Version in force; 0 if nothing is published.
    publisher : str
        Publisher of the version in force.
    digest : str
        Digest of the snapshot in force.
    own_digest : str
        Digest of the snapshot that was not put into force. The snapshot remains in the object
        store if it was uploaded before the conflict was detected.
    """

    version: int
    publisher: str
    digest: str
    own_digest: str


@dataclass(frozen=True, slots=True)
class PublishFailed:
    """Nothing was put into force; the call can be retried."""

    reason: str


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """The reply of the write was lost, and whether the write took effect couldn't be determined.

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
    """The version of a rollback isn't in the configuration row.

    Attributes
    ----------
    version : int
        Requested version.
    known : tuple of int
        Versions that the row holds, latest first.
    """

    version: int
    known: tuple[int, ...]


PublishOutcome = Published | PublishConflict | PublishFailed | PublishUnknown
