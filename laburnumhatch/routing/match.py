"""Matching of requests to services, kinds of request and keys."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

from .service import KeyLocation, KeySource, RequestKind, Service, Snapshot

__all__ = ["Match", "build_matcher", "overlapping_kinds"]

Matcher = Callable[[str, str, Mapping[str, str]], "Match | None"]


@dataclass(frozen=True, slots=True)
class Match:
    """The service, kind and key of a request.

    Attributes
    ----------
    service : Service
    kind : RequestKind
    key : str or None
        None if the service's requests have no key, or if this request lacks it.
    """

    service: Service
    kind: RequestKind
    key: str | None


def build_matcher(snapshot: Snapshot) -> Matcher:
    """Return a function that matches requests against a snapshot.

    Parameters
    ----------
    snapshot : Snapshot

    Returns
    -------
    callable
        Takes the method, the request target (path and query) and the headers with names in
        lower case. Returns a `Match`, or None if no kind of request matches.

    Notes
    -----
    Kinds are indexed by method, number of path segments and first segment, where all parameters
    share one index entry. A match takes at most two look-ups and a scan of the few kinds that
    share all three.
    """
    index: dict[tuple[str, int, str], list[tuple[Service, RequestKind, list[str]]]] = {}
    for service in snapshot.services:
        for kind in service.kinds:
            segments = _segments(kind.path)
            candidates = index.setdefault(
                (kind.method, len(segments), _index_segment(segments)), []
            )
            candidates.append((service, kind, segments))

    def match(method: str, target: str, headers: Mapping[str, str]) -> Match | None:
        path, _, query = target.partition("?")
        segments = _segments(path)
        for index_segment in (segments[0], ""):
            for service, kind, template in index.get((method, len(segments), index_segment), ()):
                if _matches_template(template, segments):
                    key = _extract_key(service.key, template, segments, query, headers)
                    return Match(service, kind, key)
        return None

    return match


def overlapping_kinds(u: RequestKind, v: RequestKind) -> bool:
    """Return whether any request can match both kinds.

    Examples
    --------
    >>> from datetime import timedelta
    >>> def kind(path):
    ...     return RequestKind("k", "GET", path, True, timedelta(seconds=1), 1, 0, 0, 0)
    >>> overlapping_kinds(kind("/a/{x}"), kind("/a/b"))
    True
    >>> overlapping_kinds(kind("/a/{x}"), kind("/b/{x}"))
    False
    """
    if u.method != v.method:
        return False
    left = _segments(u.path)
    right = _segments(v.path)
    if len(left) != len(right):
        return False
    return all(
        a == b or _is_parameter(a) or _is_parameter(b) for a, b in zip(left, right, strict=True)
    )


def _segments(path: str) -> list[str]:
    return path[1:].split("/")


def _is_parameter(segment: str) -> bool:
    return segment.startswith("{") and segment.endswith("}")


def _index_segment(segments: list[str]) -> str:
    return "" if _is_parameter(segments[0]) else segments[0]


def _matches_template(template: list[str], segments: list[str]) -> bool:
    return all(
        template_segment == segment or (_is_parameter(template_segment) and segment != "")
        for template_segment, segment in zip(template, segments, strict=True)
    )


def _extract_key(
    source: KeySource | None,
    template: list[str],
    segments: list[str],
    query: str,
    headers: Mapping[str, str],
) -> str | None:
    if source is None:
        return None
    if source.location is KeyLocation.PATH:
        return unquote(segments[template.index("{" + source.name + "}")])
    if source.location is KeyLocation.HEADER:
        return headers.get(source.name.lower()) or None
    values = parse_qs(query).get(source.name)
    return values[0] if values else None
