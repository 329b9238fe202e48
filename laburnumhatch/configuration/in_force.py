"""Waiting until all listed instances report a published version."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from pydantic import BaseModel, ValidationError
from twisted.internet.defer import Deferred, DeferredList

from ..clocks import Clock, milliseconds
from ..storage import HttpClient, InstanceList, ListedInstance, Unavailable
from ..storage.http import HttpAnswer
from .pause import pause

__all__ = ["InForce", "LaggingInstance", "NotInForce", "await_in_force", "http_reported_version"]

DEFAULT_TIMEOUT = timedelta(seconds=10)
POLL_INTERVAL = milliseconds(300)
OK = 200


@dataclass(frozen=True, slots=True)
class LaggingInstance:
    """An instance that doesn't report the awaited version.

    Attributes
    ----------
    instance : str
    reason : str
        Version that the instance reports instead, or why its answer is missing or invalid.
    """

    instance: str
    reason: str


@dataclass(frozen=True, slots=True)
class InForce:
    """All listed instances report the awaited version or a later one."""

    version: int
    instances: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NotInForce:
    """The wait ended before all listed instances reported the version.

    The version is published nevertheless.

    Attributes
    ----------
    version : int
    instances : tuple of str
        Instances that report the version or a later one.
    laggards : tuple of LaggingInstance
        Instances that don't; empty if the instance list can't be read.
    reason : str
    """

    version: int
    instances: tuple[str, ...]
    laggards: tuple[LaggingInstance, ...]
    reason: str


class _ReportedConfiguration(BaseModel):
    version: int


class _Status(BaseModel):
    configuration: _ReportedConfiguration


ReportedVersion = Callable[[ListedInstance], Awaitable[int | str]]


def http_reported_version(client: HttpClient) -> ReportedVersion:
    """Return a function that fetches the version in force from an instance's admin port.

    The function returns the version, or the reason why the instance reports none.
    """

    async def reported_version(instance: ListedInstance) -> int | str:
        url = f"http://{instance.host}:{instance.admin_port}/status"
        answer = await client.call("GET", url, {})
        if not isinstance(answer, HttpAnswer):
            return answer.reason
        if answer.status != OK:
            return f"status {answer.status}"
        try:
            return _Status.model_validate_json(answer.body).configuration.version
        except ValidationError as e:
            return f"no valid status: {e}"

    return reported_version


async def await_in_force(
    version: int,
    *,
    clock: Clock,
    instance_list: InstanceList,
    reported_version: ReportedVersion,
    timeout: timedelta = DEFAULT_TIMEOUT,
) -> InForce | NotInForce:
    """Wait until every listed instance reports `version` or a later one.

    Parameters
    ----------
    version : int
    clock : Clock
    instance_list : InstanceList
        Fetched again in each round because instances start and stop during the wait.
    reported_version : callable
        Returns the version that an instance reports, see `http_reported_version`.
    timeout : timedelta, optional
        Maximum wait.
    """
    deadline = clock.now() + timeout
    while True:
        outcome = await _query_all(version, instance_list, reported_version)
        if isinstance(outcome, InForce) or clock.now() + POLL_INTERVAL > deadline:
            return outcome
        await pause(clock, POLL_INTERVAL)


async def _query_all(
    version: int, instance_list: InstanceList, reported_version: ReportedVersion
) -> InForce | NotInForce:
    listed = await instance_list.fetch()
    if isinstance(listed, Unavailable):
        return NotInForce(version, (), (), f"the instance list can't be read: {listed.reason}")
    calls = [Deferred.fromCoroutine(_query(reported_version, instance)) for instance in listed]
    answers = [answer for _, answer in await DeferredList(calls, consumeErrors=True)]
    reporting: list[str] = []
    laggards: list[LaggingInstance] = []
    for instance, answer in zip(listed, answers, strict=True):
        if isinstance(answer, int) and answer >= version:
            reporting.append(instance.name)
        elif isinstance(answer, int):
            laggards.append(LaggingInstance(instance.name, f"version {answer} is in force"))
        else:
            laggards.append(LaggingInstance(instance.name, str(answer)))
    if laggards:
        reason = f"{len(laggards)} of {len(listed)} listed instances don't report it"
        return NotInForce(version, tuple(reporting), tuple(laggards), reason)
    return InForce(version, tuple(reporting))


async def _query(reported_version: ReportedVersion, instance: ListedInstance) -> int | str:
    return await reported_version(instance)
