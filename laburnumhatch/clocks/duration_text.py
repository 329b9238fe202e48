"""Durations as text, a number with a unit such as ``1500ms`` or ``2.5s``."""

import re
from datetime import timedelta

__all__ = ["format_duration", "parse_duration"]

_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


def parse_duration(text: object) -> timedelta:
    """Return the duration that a text represents.

    Raises
    ------
    ValueError
        If `text` is not a string, not a duration, or too long a one.

    Examples
    --------
    >>> parse_duration("1500ms"), parse_duration("2.5s")
    (datetime.timedelta(seconds=1, microseconds=500000), datetime.timedelta(seconds=2, microseconds=500000))
    """  # noqa: E501
    match = _PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"not a duration: {text!r}")
    amount = float(match[1])
    try:
        return timedelta(milliseconds=amount if match[2] == "ms" else amount * 1000)
    except OverflowError as e:
        raise ValueError(f"too long a duration: {match[0][:50]}") from e


def format_duration(duration: timedelta) -> str:
    """Return a duration as text, in whole milliseconds.

    Examples
    --------
    >>> format_duration(timedelta(seconds=4))
    '4000ms'
    """
    return f"{duration // timedelta(milliseconds=1)}ms"
