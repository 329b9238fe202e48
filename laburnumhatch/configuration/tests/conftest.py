"""Fixtures of the configuration's tests."""

import json

import pytest

from ...routing import RoutingFile


def make_document(service, port=9001, path=None):
    """Return the plain routing file of a service with one target and one kind."""
    return {
        "service": service,
        "targets": {
            "slots": 2,
            "servers": [{"name": "t-1", "host": "127.0.0.1", "port": port, "data_centre": "lade"}],
        },
        "kinds": {"view": {"method": "GET", "path": path or f"/{service}", "deadline_ms": 500}},
    }


@pytest.fixture
def make_file():
    """A function that returns a routing file."""
    return lambda service, **changes: RoutingFile.model_validate(make_document(service, **changes))


@pytest.fixture
def write_file(tmp_path):
    """A function that writes a document beside a service's code."""

    def write(folder, document):
        directory = tmp_path / folder
        directory.mkdir(exist_ok=True)
        path = directory / f"{folder}.routing.json"
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return path

    return write
