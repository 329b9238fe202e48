"""Tests of parsing JSON documents with comments."""

import pytest

from ..document import CheckedModel, DocumentError, parse_document, read_document


class Size(CheckedModel):
    """A model with one field."""

    slots: int


def test_comments_are_allowed():
    assert parse_document('{ // a comment\n "slots": 2 /* two */ }', Size, "f").slots == 2


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ('{\n "slots": \n}', "line 3"),
        ('{"slots": "many"}', "field slots"),
        ('{"slots": 1, "slot": 2}', "field slot"),
        ("{}", "field slots"),
        ('{"slots": 1, "slots": 2}', "slots"),
        ("[]", "field document"),
    ],
)
def test_error_names_file_and_place(text, named):
    with pytest.raises(DocumentError) as caught:
        parse_document(text, Size, "size.json")
    assert "size.json" in str(caught.value)
    assert named in str(caught.value)


def test_unreadable_file_is_named(tmp_path):
    with pytest.raises(DocumentError, match="absent.json"):
        read_document(tmp_path / "absent.json", Size)
