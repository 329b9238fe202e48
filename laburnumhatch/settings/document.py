"""JSON documents with comments, validated by a pydantic model."""

from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ConfigDict, ValidationError

__all__ = ["CheckedModel", "DocumentError", "parse_document", "read_document"]


class CheckedModel(BaseModel):
    """Base class of the models of external data; rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


M = TypeVar("M", bound=BaseModel)


class DocumentError(ValueError):
    """Raised when a document can't be read, parsed or validated.

    Parameters
    ----------
    source : str
        Name of the file.
    problems : list of str
        One line per problem, which names the line or the field.
    """

    def __init__(self, source: str, problems: list[str]) -> None:
        super().__init__("\n".join(f"{source}: {problem}" for problem in problems))
        self.source = source
        self.problems = problems


def parse_document(text: str, model: type[M], source: str) -> M:
    """Parse a JSON document with comments and return the validated model.

    Parameters
    ----------
    text : str
    model : type
        A pydantic model.
    source : str
        Name of the file for error messages.

    Returns
    -------
    model
        An instance of `model`.

    Raises
    ------
    DocumentError
        If the text isn't valid JSON with comments (the message names the line) or doesn't fit
        the model (the message names the field).

    Examples
    --------
    >>> class Size(CheckedModel):
    ...     slots: int
    >>> parse_document('{"slots": 4} // of each target', Size, "size.json").slots
    4
    """
    try:
        # JSON5 is a superset of JSON with comments. Repeated names in an object are an error.
        values = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as e:
        raise DocumentError(source, [_syntax_message(str(e))]) from e
    try:
        return model.model_validate(values)
    except ValidationError as e:
        raise DocumentError(source, [_field_message(dict(error)) for error in e.errors()]) from e


def read_document(path: Path, model: type[M]) -> M:
    """Read the document at `path` and return the validated model.

    Raises
    ------
    DocumentError
        If the file can't be read, and in the cases of `parse_document`.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as e:
        raise DocumentError(str(path), [f"can't be read: {e}"]) from e
    return parse_document(text, model, str(path))


def _syntax_message(message: str) -> str:
    line_number, _, rest = message.removeprefix("<string>:").partition(" ")
    if line_number.isdigit():
        return f"line {line_number}: {rest}"
    return message


def _field_message(error: dict[str, object]) -> str:
    location = error["loc"]
    assert isinstance(location, tuple)
    field = ".".join(str(part) for part in location) or "document"
    return f"field {field}: {error['msg']}"
