"""Helpers that the HTTP services of the stand-ins share."""

import json
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from ..clocks import Clock, milliseconds

__all__ = ["InvalidBody", "abort_connection", "answer_json", "get_header", "read_model", "sleep"]

JSON_CONTENT_TYPE = "application/json"
MAX_BODY_BYTES = 64 * 2**20

M = TypeVar("M", bound=BaseModel)


class InvalidBody(ValueError):
    """Raised for a request body that fails validation; the message names the field."""


def answer_json(
    request: Request, status: int, document: Any, headers: dict[str, str] | None = None
) -> bytes:
    """Set the status and headers of a JSON response, and return its body."""
    request.setResponseCode(status)
    request.setHeader("content-type", JSON_CONTENT_TYPE)
    for name, value in (headers or {}).items():
        request.setHeader(name, value)
    return json.dumps(document).encode() + b"\n"


def read_model(request: Request, model: type[M]) -> M:
    """Return the JSON body of a request, validated as `model`.

    Raises
    ------
    InvalidBody
        If the body is not valid JSON or does not conform to the model.
    """
    assert request.content is not None
    body = request.content.read(MAX_BODY_BYTES)
    try:
        return model.model_validate_json(body)
    except ValidationError as e:
        first = e.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "body"
        raise InvalidBody(f"field {field}: {first['msg']}") from e


def get_header(request: Request, name: str) -> str:
    """Return the value of a header, or an empty string if it is absent."""
    return request.getHeader(name) or ""


def abort_connection(request: Request) -> None:
    """Abort the connection of a request without sending the rest of its response."""
    channel: Any = request.channel
    # Twisted's HTTP channel has no public method to abort the connection; its transport
    # does.
    channel.transport.abortConnection()


def sleep(clock: Clock, duration_ms: float) -> Deferred[None]:
    """Return a deferred that fires after `duration_ms`; cancelling it cancels the timer."""
    done: Deferred[None] = Deferred(lambda _: call.cancel())
    call = clock.call_later(milliseconds(duration_ms), done.callback, None)
    return done
