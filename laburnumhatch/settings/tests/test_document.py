"""Tests of parsing JSON documents with comments."""

import pytest

from ..document import CheckedModel, DocumentError, parse_document, read_document


class Size(CheckedModel):
    """A model with one field."""

    slots: int


def test_document_with_comments_is_parsed():
    assert parse_document('{ // a comment\n "slots": 2 /* two */ }', Size, "f").slots == 2


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ('{\n "slots": \n}', "line 3"),
        ('{"slots": "many"}', "field slots"),
        ('{"slots": 1, "slot": 2}', "field slot"),
        ("{}", "field slots"),
        ('{"slots": 1, "slots": 2}', "slots"),
        ("[]", "field document"),
    ],
)
def test_error_names_the_file_and_the_line_or_field(text, expected_text):
    with pytest.raises(DocumentError) as caught:
        parse_document(text, Size, "size.json")
    assert "size.json" in str(caught.value)
    assert expected_text in str(caught.value)


def test_error_names_an_unreadable_file(tmp_path):
    with pytest.raises(DocumentError, match="absent.json"):
        read_document(tmp_path / "absent.json", Size)
