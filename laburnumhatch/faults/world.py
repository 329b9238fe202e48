"""Processes of a fault scenario, their traffic, and the record of the runs at the servers."""

import json
import shutil
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..standins.caller import Caller
from ..standins.deployment import Deployment, start_deployment
from ..standins.processes import ChildProcess, ProcessGroup, wait_until
from .history import ServerRun
from .traffic import CallPlan, LoadBalancer, Traffic

__all__ = ["ENTRIES", "OWNED_SERVICE", "World", "start_world"]

EXAMPLE = Path(__file__).parent / "example"
ENTRIES = ("entry-1", "entry-2", "entry-3", "entry-4")
OWNED_SERVICE = "lofts"
UNOWNED_SERVICE = "bookings"
OWNED_KEYS = tuple(f"rosa-{n}" for n in range(8))
UNOWNED_KEYS = ("ana", "bo")
REQUEST_DURATION_MS = 5.0
# The balancer polls readiness every half second, so it detects the unready instance in time.
UNREADY_BEFORE_CLOSE = milliseconds(1500)
DEFAULT_WAIT_TIMEOUT = timedelta(seconds=15)
# Outcomes of requests without an effect.
REFUSED_OUTCOME = "refused"
OUTCOMES_WITHOUT_EFFECT = frozenset(("fenced", REFUSED_OUTCOME))


@dataclass
class World:
    """Small deployment with simulated callers.

    Attributes
    ----------
    clock : Clock
    deployment : Deployment
    balancer : LoadBalancer
    traffic : Traffic
    reported_versions : dict of str to list of int
        Configuration versions that each instance reported, in the order of the reports.
    killed_at : dict of str to timedelta
        Time at which each server was killed.
    """

    clock: Clock
    deployment: Deployment
    balancer: LoadBalancer
    traffic: Traffic
    reported_versions: dict[str, list[int]] = field(default_factory=dict)
    killed_at: dict[str, timedelta] = field(default_factory=dict)

    async def pause(self, duration: timedelta) -> None:
        """Wait for a duration while the traffic runs."""
        due: Deferred[None] = Deferred()
        self.clock.call_later(duration, due.callback, None)
        await due

    async def explain(self, key: str, entry: str | None = None) -> dict[str, Any]:
        """Return the explanation of a key by an instance, by default the first running one."""
        name = entry or self.running_entries()[0]
        url = f"{self.deployment.admin_url(name)}/explain?service={OWNED_SERVICE}&key={key}"
        return await self.deployment.fetch_json(url) or {}

    async def status(self, entry: str) -> dict[str, Any]:
        """Return the status of an instance, or an empty dictionary if it does not respond.

        The configuration version in the status is recorded.
        """
        status_document = (
            await self.deployment.fetch_json(f"{self.deployment.admin_url(entry)}/status") or {}
        )
        if status_document:
            self.reported_versions.setdefault(entry, []).append(
                status_document["configuration"]["version"]
            )
        return status_document

    async def set_platform_faults(self, **faults: dict[str, Any]) -> None:
        """Replace the injected faults of the platform stand-in."""
        await self.deployment.put_json(f"{self.deployment.platform_url}/faults", faults)

    async def set_platform_down(self, down: bool) -> None:
        """Make all services of the platform unavailable, or available again."""
        switch = {"down": down}
        await self.set_platform_faults(table=switch, objects=switch, instances=switch)

    async def set_server_faults(self, service: str, server: str, **faults: Any) -> None:
        """Replace the injected faults of a server."""
        await self.deployment.put_json(
            f"{self.deployment.target_url(service, server)}/faults", faults
        )

    def server_process(self, service: str, name: str) -> ChildProcess:
        """Return the process of a server."""
        return self.deployment.targets[service, name]

    def kill_server(self, service: str, name: str) -> None:
        """Kill the process of a server, which acts like a crash."""
        self.server_process(service, name).kill()
        self.killed_at[name] = self.clock.now()

    def running_entries(self) -> list[str]:
        """Return the names of the entry instances with a running process."""
        entries = self.deployment.entries
        return [name for name, child in entries.items() if child.exit_code is None]

    async def coordinator(self) -> str:
        """Return the name of the instance that coordinates the owned service."""
        status = await self.status(self.running_entries()[0])
        name: str = status["ownership"][OWNED_SERVICE]["coordinator"]
        return name

    async def wait_for(
        self, condition: Any, description: str, timeout: timedelta = DEFAULT_WAIT_TIMEOUT
    ) -> Any:
        """Poll a condition, which may be a coroutine function, and return its first true value."""
        return await wait_until(self.clock, condition, timeout, description)

    def server_runs(self) -> list[ServerRun]:
        """Return the runs at the servers, except those without an effect."""
        now = self.clock.now()
        latest = {(e["server"], e["path"], e["started_ms"]): e for e in self._journal()}
        kept = [
            entry for entry in latest.values() if entry["outcome"] not in OUTCOMES_WITHOUT_EFFECT
        ]
        return [_to_server_run(entry, self.killed_at.get(entry["server"], now)) for entry in kept]

    def refusal_times(self, server: str) -> list[timedelta]:
        """Return the times at which a server refused requests on arrival."""
        return [
            milliseconds(entry["started_ms"])
            for entry in self._journal()
            if entry["server"] == server and entry["outcome"] == REFUSED_OUTCOME
        ]

    async def publish_changed(self, weight: float, *options: str) -> ChildProcess:
        """Publish the routing files with a changed weight of one kind, and return the process."""
        directory = self.deployment.processes.directory / f"weight-{weight}"
        shutil.copytree(self.deployment.routing_directory, directory)
        path = directory / f"{UNOWNED_SERVICE}.routing.json"
        document = json.loads(path.read_text(encoding="utf-8"))
        document["kinds"]["confirm"]["weight"] = weight
        path.write_text(json.dumps(document), encoding="utf-8")
        settings = str(self.deployment.settings_path(ENTRIES[0]))
        processes = self.deployment.processes
        command = ("publish", str(directory), "--settings", settings, *options)
        return await processes.run("publish", *command)

    async def restart_entry(self, name: str) -> None:
        """Restart an entry instance with seeds, without adding it to the instance list."""
        path = self.deployment.settings_path(name)
        settings = json.loads(path.read_text(encoding="utf-8"))
        settings["seeds"] = [self._seed(other) for other in self.running_entries()]
        path.write_text(json.dumps(settings), encoding="utf-8")
        child = self.deployment.processes.launch(name, "entry", "--settings", str(path))
        self.deployment.entries[name] = child
        await self.deployment.processes.wait_until_listening(child)

    def _seed(self, name: str) -> dict[str, Any]:
        settings = json.loads(self.deployment.settings_path(name).read_text(encoding="utf-8"))
        port = self.deployment.entries[name].ports["peers"]
        address = {"host": settings["peers"]["host"], "port": port}
        return {"name": name, "data_centre": settings["data_centre"], **address}

    def _journal(self) -> list[dict[str, Any]]:
        text = self.deployment.journal_path.read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines()]


async def start_world(
    clock: Clock, caller: Caller, processes: ProcessGroup, *, checks_fencing: bool
) -> World:
    """Start a small deployment, publish its routing files and start the traffic.

    Parameters
    ----------
    clock : Clock
    caller : Caller
    processes : ProcessGroup
    checks_fencing : bool
        Whether the servers that own keys check fencing tokens.
    """
    deployment = await start_deployment(
        processes,
        caller,
        EXAMPLE,
        ENTRIES,
        checks_fencing=checks_fencing,
        separate_processes=frozenset((OWNED_SERVICE, UNOWNED_SERVICE)),
        work_ms=REQUEST_DURATION_MS,
        unready_before_close=UNREADY_BEFORE_CLOSE,
    )
    published = await deployment.publish()
    if published.exit_code != 0:
        raise RuntimeError(published.output)
    await deployment.wait_until_entries_ready()
    balancer = LoadBalancer(clock, caller, lambda: _addresses(deployment))
    world = World(clock, deployment, balancer, Traffic(clock, caller, balancer))
    await world.wait_for(lambda: _all_owned(world), "an owner for every key")
    balancer.start()
    world.traffic.start(call_plans())
    await world.wait_for(lambda: _all_answered(world), "an answer for every key")
    return world


def call_plans() -> list[CallPlan]:
    """Return the call plans of a scenario, which cover every kind for several keys."""
    plans = []
    for key in OWNED_KEYS:
        path = f"/lofts/{key}"
        plans.append(CallPlan(OWNED_SERVICE, "view", key, "GET", f"{path}/views", True))
        plans.append(_unrepeatable_plan(OWNED_SERVICE, "reserve", key, f"{path}/reservations"))
    for key in UNOWNED_KEYS:
        path = f"/bookings/{key}"
        plans.append(CallPlan(UNOWNED_SERVICE, "look", key, "GET", f"{path}/looks", True))
        plans.append(_unrepeatable_plan(UNOWNED_SERVICE, "confirm", key, f"{path}/confirmations"))
    path = f"/lofts/{OWNED_KEYS[0]}/reservations"
    plans.append(
        _unrepeatable_plan(
            OWNED_SERVICE, "claimed-reserve", OWNED_KEYS[0], path, has_idempotency_key=True
        )
    )
    path = f"/bookings/{UNOWNED_KEYS[0]}/confirmations"
    plans.append(
        _unrepeatable_plan(
            UNOWNED_SERVICE, "claimed-confirm", UNOWNED_KEYS[0], path, has_idempotency_key=True
        )
    )
    return plans


def _unrepeatable_plan(
    service: str, kind: str, key: str, path: str, has_idempotency_key: bool = False
) -> CallPlan:
    return CallPlan(service, kind, key, "POST", path, False, has_idempotency_key)


def _addresses(deployment: Deployment) -> dict[str, tuple[str, str]]:
    return {
        name: (deployment.entry_url(name), deployment.admin_url(name))
        for name, child in deployment.entries.items()
        if child.ports
    }


async def _all_owned(world: World) -> bool:
    found = [await world.explain(key, entry) for key in OWNED_KEYS for entry in ENTRIES]
    return all(answer.get("owner") for answer in found)


async def _all_answered(world: World) -> bool:
    return {call.plan for call in world.traffic.calls if call.is_answered} == set(call_plans())


def _to_server_run(entry: dict[str, Any], latest_end: timedelta) -> ServerRun:
    ended = entry["ended_ms"]
    return ServerRun(
        service=entry["path"].split("/")[1],
        key=entry["key"],
        server=entry["server"],
        request_id=entry["path"],
        epoch=entry["epoch"] or 0,
        start=milliseconds(entry["started_ms"]),
        end=latest_end if ended is None else milliseconds(ended),
    )
