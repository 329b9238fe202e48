"""Settings file of the daemon, in JSON with comments."""

import os
import re
from pathlib import Path

import msgspec

from ..clocks.duration_text import parse_duration
from ..fleet import FeatureMode

__all__ = ["GatewaySettings", "SettingsError", "parse_address", "read_settings", "strip_comments"]


# Memory of the smallest machines of the users.
DEFAULT_MEMORY_MB = 300.0


class SettingsError(ValueError):
    """Raised if the settings are invalid; the message names the file and the field."""


class GatewaySettings(msgspec.Struct, forbid_unknown_fields=False):
    """Settings of one instance.

    Attributes
    ----------
    name, data_centre : str
    host : str
        IP address of the instance.
    callers, readiness : str
        ``HOST:PORT`` of the port for callers and of the readiness check for the load balancer.
    stream_port : int
        Port of the streams between the instances.
    relay_port : int
        Port on which the instance takes requests that others pass on.
    core_speed, core_share : float
        Speed of the machine's core, and the share of it that the instance may use.
    metrics_port : int
        Port of the metrics page.
    store : str
        ``HOST:PORT`` of the shared store.
    longest_hold, retry_window, stop_within : str
        Longest lease grant, which is used while the store is unavailable; sliding window of the
        retry budget; time for a graceful shutdown. Durations such as ``2.5s`` or ``900ms``.
    retry_ratio, retry_slack : float
        Retries allowed per request, and the further retries allowed to all instances together
        in one window.
    first_start : bool
        Whether all instances start for the first time. Otherwise the store holds the leader's row,
        or has lost it.
    memory_mb : float, optional
        Memory in MiB at which the platform ends the process.
    link_mbps : float, optional
        Bandwidth of the machine's link in Mbit/s; not limited without it.
    warmup_overage, warmup_slack : float, optional
        Factor on the requests per second that an upstream tolerates while it warms up, and further
        requests, that together may reach it within a second. Without either, nothing is bounded;
        if one is given, the other is 1 or 0.
    waiting_room : str, optional
        Whether requests wait here for room at an upstream instead of being refused: ``on``,
        ``off``, or ``auto``: while the configuration has a route with large request bodies.
    adaptive_concurrency : str, optional
        Whether the speed and the concurrency limit of each upstream are estimated and used:
        ``on``, ``off``, or ``auto`` for on while a route has large request bodies.
    """

    name: str
    data_centre: str
    host: str
    callers: str
    readiness: str
    stream_port: int
    relay_port: int
    core_speed: float
    core_share: float
    metrics_port: int
    store: str
    longest_hold: str
    retry_window: str
    retry_ratio: float
    retry_slack: float
    stop_within: str
    first_start: bool
    memory_mb: float = DEFAULT_MEMORY_MB
    link_mbps: float | None = None
    warmup_overage: float | None = None
    warmup_slack: float | None = None
    waiting_room: FeatureMode = "off"
    adaptive_concurrency: FeatureMode = "off"


_COMMENT = re.compile(r'("(?:[^"\\]|\\.)*")|//[^\n]*|/\*.*?\*/', re.DOTALL)


def read_settings(path: str | os.PathLike[str]) -> GatewaySettings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        If the file can't be read, or if a field is missing or invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        settings = msgspec.json.decode(strip_comments(text), type=GatewaySettings)
    except (OSError, UnicodeDecodeError, msgspec.MsgspecError) as e:
        raise SettingsError(f"{path}: {e}") from e
    for field in ("longest_hold", "retry_window", "stop_within"):
        try:
            parse_duration(getattr(settings, field))
        except ValueError as e:
            raise SettingsError(f"{path}: {field}: {e}") from e
    if not settings.memory_mb > 0:
        raise SettingsError(f"{path}: memory_mb is not positive")
    for field in ("warmup_overage", "warmup_slack"):
        value = getattr(settings, field)
        if value is not None and value < 0:
            raise SettingsError(f"{path}: {field} is negative")
    for field in ("callers", "readiness", "store"):
        host, _, port = getattr(settings, field).rpartition(":")
        if not host or not port.isdigit():
            raise SettingsError(f"{path}: {field} is not HOST:PORT")
    return settings


def strip_comments(text: str) -> str:
    """Return a JSON text without its comments.

    Examples
    --------
    >>> strip_comments('{"a": "//1"} // one')
    '{"a": "//1"} '
    """
    return _COMMENT.sub(lambda found: found[1] or "", text)


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of a ``HOST:PORT`` text."""
    host, _, port = text.rpartition(":")
    return host, int(port)
