"""Pieces that the stand-ins' HTTP services share."""

import json
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from ..clocks import Clock, milliseconds

__all__ = ["BadBody", "answer_json", "cut_connection", "header", "read_model", "sleep"]

JSON_CONTENT_TYPE = "application/json"
MAX_BODY_BYTES = 64 * 2**20

M = TypeVar("M", bound=BaseModel)


class BadBody(ValueError):
    """A request body that can't be used; the message names the field."""


def answer_json(
    request: Request, status: int, document: Any, headers: dict[str, str] | None = None
) -> bytes:
    """Set a JSON answer's status and headers, and return its body."""
    request.setResponseCode(status)
    request.setHeader("content-type", JSON_CONTENT_TYPE)
    for name, value in (headers or {}).items():
        request.setHeader(name, value)
    return json.dumps(document).encode() + b"\n"


def read_model(request: Request, model: type[M]) -> M:
    """Return the checked model of a request's JSON body.

    Raises
    ------
    BadBody
        If the body isn't JSON or doesn't fit the model.
    """
    assert request.content is not None
    body = request.content.read(MAX_BODY_BYTES)
    try:
        return model.model_validate_json(body)
    except ValidationError as e:
        first = e.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "body"
        raise BadBody(f"field {field}: {first['msg']}") from e


def header(request: Request, name: str) -> str:
    """Return a header's value, or an empty string."""
    return request.getHeader(name) or ""


def cut_connection(request: Request) -> None:
    """Close the connection of a request without the rest of its answer."""
    channel: Any = request.channel
    # Twisted's HTTP channel has no public way to abort; its transport does.
    channel.transport.abortConnection()


def sleep(clock: Clock, duration_ms: float) -> Deferred[None]:
    """Return a deferred that fires after `duration_ms`; cancelling it stops the timer."""
    done: Deferred[None] = Deferred(lambda _: call.cancel())
    call = clock.call_later(milliseconds(duration_ms), done.callback, None)
    return done
