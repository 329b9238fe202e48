"""The table row that says which snapshot is in force."""

from dataclasses import dataclass

from pydantic import Field, ValidationError

from ..settings import CheckedModel
from ..storage import Row

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
    """An earlier publication.

    Attributes
    ----------
    version : int
        One more than the version it replaced.
    digest : str
        Digest of its snapshot.
    writer : str
        Unique identifier of the write that put it into force.
    """

    version: int = Field(ge=1)
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")
    writer: str = Field(max_length=200)


class Publication(PastPublication):
    """Value of the configuration row.

    Attributes
    ----------
    publisher : str
        Who published it, for the operators.
    history : tuple of PastPublication
        The publications before, the latest first.
    """

    publisher: str = Field(max_length=200)
    history: tuple[PastPublication, ...] = ()

    @property
    def known(self) -> tuple[PastPublication, ...]:
        """This publication and those before it, the latest first."""
        return (self, *self.history)

    def digest_of(self, version: int) -> str | None:
        """Return the digest published as `version`, or None where the row no longer has it."""
        return next((past.digest for past in self.known if past.version == version), None)

    def has_writer(self, writer: str) -> bool:
        """Return whether a write is one of those known."""
        return any(past.writer == writer for past in self.known)


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


def next_publication(
    current: Publication | None, digest: str, publisher: str, writer: str
) -> Publication:
    """Return the publication that follows `current`; its version is one more.

    Examples
    --------
    >>> first = next_publication(None, "0" * 64, "ana", "w1")
    >>> second = next_publication(first, "1" * 64, "bo", "w2")
    >>> second.version, second.digest_of(1) == first.digest, second.has_writer("w1")
    (2, True, True)
    """
    if current is None:
        return Publication(version=1, digest=digest, writer=writer, publisher=publisher)
    replaced = PastPublication(
        version=current.version, digest=current.digest, writer=current.writer
    )
    return Publication(
        version=current.version + 1,
        digest=digest,
        writer=writer,
        publisher=publisher,
        history=(replaced, *current.history)[:HISTORY_LENGTH],
    )
