"""Collection and cross-checks of the routing files in each service's source tree."""

import ipaddress
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import combinations
from pathlib import Path

from ..routing import RequestKind, RoutingFile, Service, overlapping_kinds, service_from_file
from ..settings import DocumentError, read_document
from .snapshot import MAX_SNAPSHOT_BYTES, encode_snapshot

__all__ = ["FILE_SUFFIX", "CollectedFile", "CollectionError", "collect", "cross_check"]

FILE_SUFFIX = ".routing.json"


class CollectionError(ValueError):
    """Raised when the routing files can't be published.

    Parameters
    ----------
    problems : list of str
        One line per problem, which names the file and the line or field.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class CollectedFile:
    """A routing file and the path it was read from."""

    source: str
    file: RoutingFile

    @property
    def service(self) -> Service:
        """The service that the file describes."""
        return service_from_file(self.file)


def collect(directories: Sequence[Path]) -> tuple[CollectedFile, ...]:
    """Return the valid routing files under `directories`, sorted by service.

    Parameters
    ----------
    directories : sequence of Path
        Directories that are searched recursively for names that end in ``.routing.json``. A path
        to a file is read whatever its name.

    Raises
    ------
    CollectionError
        If any file is unreadable or invalid, two files describe the same service, kinds of
        request overlap, or servers share an address. The error lists the problems of all files.
    """
    problems: list[str] = []
    collected: list[CollectedFile] = []
    for path in _find_files(directories, problems):
        try:
            collected.append(CollectedFile(str(path), read_document(path, RoutingFile)))
        except DocumentError as e:
            problems.extend(f"{e.source}: {problem}" for problem in e.problems)
    problems.extend(cross_check(collected))
    if problems:
        raise CollectionError(problems)
    return tuple(sorted(collected, key=lambda collected_file: collected_file.file.service))


def cross_check(collected: Sequence[CollectedFile]) -> list[str]:
    """Return the problems that the models of single files don't detect.

    These are repeated services, overlapping kinds of request, invalid or shared server addresses
    and a snapshot that exceeds the size limit.
    """
    problems: list[str] = []
    for collected_file in collected:
        problems.extend(_address_problems(collected_file))
        problems.extend(_kind_problems(collected_file, collected_file))
    for first, second in combinations(collected, 2):
        if first.file.service == second.file.service:
            problems.append(
                f"{second.source}: field service: "
                f"{first.source} also claims {second.file.service!r}"
            )
        else:
            problems.extend(_kind_problems(first, second))
    size = len(encode_snapshot(collected_file.file for collected_file in collected))
    if size > MAX_SNAPSHOT_BYTES:
        problems.append(
            f"all files: the snapshot has {size} bytes, more than the limit {MAX_SNAPSHOT_BYTES}"
        )
    return problems


def _find_files(directories: Sequence[Path], problems: list[str]) -> list[Path]:
    paths: dict[Path, Path] = {}
    for directory in directories:
        matches = _files_under(directory)
        if not matches:
            problems.append(f"{directory}: no file whose name ends in {FILE_SUFFIX}")
        for path in matches:
            paths.setdefault(path.resolve(), path)
    return list(paths.values())


def _files_under(directory: Path) -> list[Path]:
    if directory.is_file():
        return [directory]
    return sorted(path for path in directory.rglob(f"*{FILE_SUFFIX}") if path.is_file())


def _address_problems(collected_file: CollectedFile) -> Iterator[str]:
    addresses: dict[tuple[str, int], str] = {}
    for i, server in enumerate(collected_file.file.targets.servers):
        field = f"{collected_file.source}: field targets.servers.{i}"
        try:
            ipaddress.IPv4Address(server.host)
        except ValueError as e:
            yield f"{field}.host: {e}"
        other_server = addresses.setdefault((server.host, server.port), server.name)
        if other_server != server.name:
            yield f"{field}: same host and port as server {other_server!r}"


def _kind_problems(first: CollectedFile, second: CollectedFile) -> Iterator[str]:
    pairs: Iterable[tuple[RequestKind, RequestKind]]
    if first is second:
        pairs = combinations(first.service.kinds, 2)
    else:
        pairs = ((a, b) for a in first.service.kinds for b in second.service.kinds)
    for a, b in pairs:
        if overlapping_kinds(a, b):
            yield (
                f"{second.source}: field kinds.{b.name}.path: {b.method} {b.path} overlaps "
                f"kinds.{a.name} ({a.method} {a.path}) of {first.source}"
            )
