"""The configuration row of the table, which names the snapshot in force."""

from dataclasses import dataclass

from pydantic import Field, ValidationError

from ..settings import CheckedModel
from ..storage import Row

__all__ = [
    "CONFIGURATION_ROW",
    "HISTORY_LENGTH",
    "Publication",
    "UnreadablePublication",
    "decode_publication",
    "encode_publication",
    "next_publication",
]

CONFIGURATION_ROW = "configuration/current"
# Number of past publications in the row, which are the versions a rollback can restore.
HISTORY_LENGTH = 32


class PastPublication(CheckedModel):
    """An earlier publication.

    Attributes
    ----------
    version : int
        Version of the publication before it plus one.
    digest : str
        Digest of the snapshot.
    writer : str
        Unique identifier of the write that put the snapshot into force.
    """

    version: int = Field(ge=1)
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")
    writer: str = Field(max_length=200)


class Publication(PastPublication):
    """Value of the configuration row.

    Attributes
    ----------
    publisher : str
        Name of the operator or pipeline, shown to other operators.
    history : tuple of PastPublication
        Earlier publications, latest first.
    """

    publisher: str = Field(max_length=200)
    history: tuple[PastPublication, ...] = ()

    @property
    def all_publications(self) -> tuple[PastPublication, ...]:
        """This publication and the earlier ones in the row, latest first."""
        return (self, *self.history)

    def digest_of(self, version: int) -> str | None:
        """Return the digest published as `version`, or None if the row doesn't hold it."""
        return next(
            (past.digest for past in self.all_publications if past.version == version), None
        )

    def has_writer(self, writer: str) -> bool:
        """Return whether a write with the identifier `writer` is recorded in the row."""
        return any(past.writer == writer for past in self.all_publications)


@dataclass(frozen=True, slots=True)
class UnreadablePublication:
    """Result of decoding a configuration row that doesn't fit the model of this release."""

    reason: str


def encode_publication(publication: Publication) -> bytes:
    """Return the value of the configuration row."""
    return publication.model_dump_json().encode()


def decode_publication(row: Row) -> Publication | UnreadablePublication:
    """Return the publication in a row, or the reason why it can't be read."""
    try:
        return Publication.model_validate_json(row.value)
    except ValidationError as e:
        return UnreadablePublication(str(e))


def next_publication(
    current: Publication | None, digest: str, publisher: str, writer: str
) -> Publication:
    """Return the publication that replaces `current`, with the next version.

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
