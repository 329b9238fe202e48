"""The table row that says which snapshot is in force."""

from dataclasses import dataclass

from pydantic import Field, ValidationError

from ..platform import Row
from ..settings import CheckedModel

__all__ = [
    "CONFIGURATION_ROW",
    "HISTORY_LENGTH",
    "Publication",
    "PublicationRefused",
    "decode_publication",
    "encode_publication",
    "next_publication",
]

CONFIGURATION_ROW = "configuration/current"
# Older publications that a rollback can name.
HISTORY_LENGTH = 32


class PastPublication(CheckedModel):
    """An earlier publication: its version and the digest of its snapshot."""

    version: int = Field(ge=1)
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")


class Publication(PastPublication):
    """Value of the configuration row.

    Attributes
    ----------
    version : int
        One more than the version it replaces.
    digest : str
        Digest of the snapshot in force.
    publisher : str
        Who published it, for the operators.
    history : tuple of PastPublication
        The publications before, the latest first.
    """

    publisher: str = Field(max_length=200)
    history: tuple[PastPublication, ...] = ()

    def digest_of(self, version: int) -> str | None:
        """Return the digest published as `version`, or None where the row no longer has it."""
        known: tuple[PastPublication, ...] = (self, *self.history)
        return next((past.digest for past in known if past.version == version), None)


@dataclass(frozen=True, slots=True)
class PublicationRefused:
    """A configuration row that this release can't read."""

    reason: str


def encode_publication(publication: Publication) -> bytes:
    """Return the row's value."""
    return publication.model_dump_json().encode()


def decode_publication(row: Row) -> Publication | PublicationRefused:
    """Return the publication in a row, or why it can't be read."""
    try:
        return Publication.model_validate_json(row.value)
    except ValidationError as e:
        return PublicationRefused(str(e))


def next_publication(current: Publication | None, digest: str, publisher: str) -> Publication:
    """Return the publication that follows `current`; its version is one more.

    Examples
    --------
    >>> first = next_publication(None, "0" * 64, "ana")
    >>> second = next_publication(first, "1" * 64, "bo")
    >>> second.version, second.digest_of(1) == first.digest
    (2, True)
    """
    if current is None:
        return Publication(version=1, digest=digest, publisher=publisher)
    replaced = PastPublication(version=current.version, digest=current.digest)
    return Publication(
        version=current.version + 1,
        digest=digest,
        publisher=publisher,
        history=(replaced, *current.history)[:HISTORY_LENGTH],
    )
