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
from ..standins.processes import Child, ProcessGroup, wait_until
from .history import ServerRun
from .traffic import Balancer, CallPlan, Traffic

__all__ = ["ENTRIES", "OWNED_SERVICE", "World", "open_world"]

EXAMPLE = Path(__file__).parent / "example"
ENTRIES = ("entry-1", "entry-2", "entry-3", "entry-4")
OWNED_SERVICE = "lofts"
FREE_SERVICE = "bookings"
KEYS = tuple(f"rosa-{n}" for n in range(8))
BOOKINGS = ("ana", "bo")
WORK_MS = 5.0
# The balancer polls readiness every half second, so it detects the unready instance in time.
UNREADY_BEFORE_CLOSE = milliseconds(1500)
SETTLED_WITHIN = timedelta(seconds=15)
# Outcomes of requests without an effect.
REFUSED = "refused"
NOT_RUN = frozenset(("fenced", REFUSED))


@dataclass
class World:
    """Small deployment with simulated callers.

    Attributes
    ----------
    clock : Clock
    deployment : Deployment
    balancer : Balancer
    traffic : Traffic
    samples : dict of str to list of int
        Configuration versions that each instance reported, in the order of the reports.
    lost : dict of str to timedelta
        Time at which each server was killed.
    """

    clock: Clock
    deployment: Deployment
    balancer: Balancer
    traffic: Traffic
    samples: dict[str, list[int]] = field(default_factory=dict)
    lost: dict[str, timedelta] = field(default_factory=dict)

    async def pause(self, duration: timedelta) -> None:
        """Wait for a duration while the traffic runs."""
        due: Deferred[None] = Deferred()
        self.clock.call_later(duration, due.callback, None)
        await due

    async def explain(self, key: str, entry: str | None = None) -> dict[str, Any]:
        """Return the explanation of a key by an instance, by default the first running one."""
        name = entry or self.running_entries()[0]
        url = f"{self.deployment.admin_url(name)}/explain?service={OWNED_SERVICE}&key={key}"
        return await self.deployment.fetch(url) or {}

    async def status(self, entry: str) -> dict[str, Any]:
        """Return the status of an instance, or an empty dictionary if it does not respond.

        The configuration version in the status is recorded.
        """
        found = await self.deployment.fetch(f"{self.deployment.admin_url(entry)}/status") or {}
        if found:
            self.samples.setdefault(entry, []).append(found["configuration"]["version"])
        return found

    async def platform_faults(self, **faults: dict[str, Any]) -> None:
        """Replace the injected faults of the platform stand-in."""
        await self.deployment.replace(f"{self.deployment.platform_url}/faults", faults)

    async def platform_down(self, down: bool) -> None:
        """Make all services of the platform unavailable, or available again."""
        switch = {"down": down}
        await self.platform_faults(table=switch, objects=switch, instances=switch)

    async def server_faults(self, service: str, server: str, **faults: Any) -> None:
        """Replace the injected faults of a server."""
        await self.deployment.replace(
            f"{self.deployment.target_url(service, server)}/faults", faults
        )

    def server(self, service: str, name: str) -> Child:
        """Return the process of a server."""
        return self.deployment.targets[service, name]

    def kill_server(self, service: str, name: str) -> None:
        """Kill the process of a server, which acts like a crash."""
        self.server(service, name).kill()
        self.lost[name] = self.clock.now()

    def running_entries(self) -> list[str]:
        """Return the names of the entry instances with a running process."""
        entries = self.deployment.entries
        return [name for name, child in entries.items() if child.exit_code is None]

    async def coordinator(self) -> str:
        """Return the name of the instance that coordinates the owned service."""
        status = await self.status(self.running_entries()[0])
        name: str = status["ownership"][OWNED_SERVICE]["coordinator"]
        return name

    async def wait(self, condition: Any, what: str, within: timedelta = SETTLED_WITHIN) -> Any:
        """Poll a condition, which may be a coroutine function, and return its first true value."""
        return await wait_until(self.clock, condition, within, what)

    def server_runs(self) -> list[ServerRun]:
        """Return the runs at the servers, except those without an effect."""
        now = self.clock.now()
        latest = {(e["server"], e["path"], e["started_ms"]): e for e in self._journal()}
        kept = [entry for entry in latest.values() if entry["outcome"] not in NOT_RUN]
        return [_run(entry, self.lost.get(entry["server"], now)) for entry in kept]

    def refusal_instants(self, server: str) -> list[timedelta]:
        """Return the times at which a server refused requests on arrival."""
        return [
            milliseconds(entry["started_ms"])
            for entry in self._journal()
            if entry["server"] == server and entry["outcome"] == REFUSED
        ]

    async def publish_changed(self, weight: float, *options: str) -> Child:
        """Publish the routing files with a changed weight of one kind, and return the process."""
        directory = self.deployment.processes.directory / f"weight-{weight}"
        shutil.copytree(self.deployment.routing_directory, directory)
        path = directory / f"{FREE_SERVICE}.routing.json"
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
        await self.deployment.processes.listening(child)

    def _seed(self, name: str) -> dict[str, Any]:
        settings = json.loads(self.deployment.settings_path(name).read_text(encoding="utf-8"))
        port = self.deployment.entries[name].ports["peers"]
        address = {"host": settings["peers"]["host"], "port": port}
        return {"name": name, "data_centre": settings["data_centre"], **address}

    def _journal(self) -> list[dict[str, Any]]:
        text = self.deployment.journal_path.read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines()]


async def open_world(
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
        separate=frozenset((OWNED_SERVICE, FREE_SERVICE)),
        work_ms=WORK_MS,
        unready_before_close=UNREADY_BEFORE_CLOSE,
    )
    published = await deployment.publish()
    if published.exit_code != 0:
        raise RuntimeError(published.output)
    await deployment.entries_ready()
    balancer = Balancer(clock, caller, lambda: _addresses(deployment))
    world = World(clock, deployment, balancer, Traffic(clock, caller, balancer))
    await world.wait(lambda: _all_owned(world), "an owner for every key")
    balancer.start()
    world.traffic.start(call_plans())
    await world.wait(lambda: _all_answered(world), "an answer for every key")
    return world


def call_plans() -> list[CallPlan]:
    """Return the call plans of a scenario, which cover every kind for several keys."""
    plans = []
    for key in KEYS:
        path = f"/lofts/{key}"
        plans.append(CallPlan(OWNED_SERVICE, "view", key, "GET", f"{path}/views", True))
        plans.append(_once(OWNED_SERVICE, "reserve", key, f"{path}/reservations"))
    for key in BOOKINGS:
        path = f"/bookings/{key}"
        plans.append(CallPlan(FREE_SERVICE, "look", key, "GET", f"{path}/looks", True))
        plans.append(_once(FREE_SERVICE, "confirm", key, f"{path}/confirmations"))
    path = f"/lofts/{KEYS[0]}/reservations"
    plans.append(_once(OWNED_SERVICE, "claimed-reserve", KEYS[0], path, claimed=True))
    path = f"/bookings/{BOOKINGS[0]}/confirmations"
    plans.append(_once(FREE_SERVICE, "claimed-confirm", BOOKINGS[0], path, claimed=True))
    return plans


def _once(service: str, kind: str, key: str, path: str, claimed: bool = False) -> CallPlan:
    return CallPlan(service, kind, key, "POST", path, False, claimed)


def _addresses(deployment: Deployment) -> dict[str, tuple[str, str]]:
    return {
        name: (deployment.entry_url(name), deployment.admin_url(name))
        for name, child in deployment.entries.items()
        if child.ports
    }


async def _all_owned(world: World) -> bool:
    found = [await world.explain(key, entry) for key in KEYS for entry in ENTRIES]
    return all(answer.get("owner") for answer in found)


async def _all_answered(world: World) -> bool:
    return {call.plan for call in world.traffic.calls if call.answered} == set(call_plans())


def _run(entry: dict[str, Any], latest_end: timedelta) -> ServerRun:
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
