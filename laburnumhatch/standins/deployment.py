"""Local deployment of an example, on free ports of this machine."""

import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

import json5

from ..clocks import milliseconds
from ..routing import RoutingFile
from ..settings import read_document
from .caller import Answer, Caller
from .processes import ChildProcess, ProcessGroup, wait_until

__all__ = ["Deployment", "start_deployment"]

HOST = "127.0.0.1"
READY_TIMEOUT = timedelta(seconds=30)
# No load balancer polls the readiness of these instances, so a short delay is enough.
UNREADY_BEFORE_CLOSE = milliseconds(100)
OK = 200


@dataclass
class Deployment:
    """Running processes of a deployment: stand-ins and entry instances.

    Attributes
    ----------
    processes : ProcessGroup
    caller : Caller
    example : Path
        Directory with the routing files and settings of the example.
    platform : ChildProcess
    services : dict of str to RoutingFile
        Routing file of each service, with the ports on which its targets listen.
    targets : dict of (str, str) to ChildProcess
        Process of each target, by service and target name.
    entries : dict of str to ChildProcess
        Process of each entry instance, by name.
    unready_before_close : timedelta
        Time for which an entry instance is unready before it closes the callers' port.
    """

    processes: ProcessGroup
    caller: Caller
    example: Path
    platform: ChildProcess
    services: dict[str, RoutingFile] = field(default_factory=dict)
    targets: dict[tuple[str, str], ChildProcess] = field(default_factory=dict)
    entries: dict[str, ChildProcess] = field(default_factory=dict)
    unready_before_close: timedelta = UNREADY_BEFORE_CLOSE

    @property
    def routing_directory(self) -> Path:
        """Directory of the routing files with the actual ports."""
        return self.processes.directory / "routing"

    @property
    def journal_path(self) -> Path:
        """File to which all targets append their runs."""
        return self.processes.directory / "runs.jsonl"

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://{HOST}:{self.platform.ports['http']}"

    def entry_url(self, name: str) -> str:
        """Return the base URL of the callers' port of an entry instance."""
        return f"http://{HOST}:{self.entries[name].ports['callers']}"

    def admin_url(self, name: str) -> str:
        """Return the base URL of an entry instance's admin port."""
        return f"http://{HOST}:{self.entries[name].ports['admin']}"

    def target_url(self, service: str, target: str) -> str:
        """Return the base URL of a target."""
        return f"http://{HOST}:{self.targets[service, target].ports[target]}"

    def settings_path(self, name: str) -> Path:
        """Return the path of the settings file of an entry instance."""
        return self.processes.directory / f"{name}.settings.json"

    def trace_path(self, name: str) -> Path:
        """Return the path of the file to which an entry instance writes its spans."""
        return self.processes.directory / f"{name}.spans"

    async def fetch_json(self, url: str) -> Any:
        """Return the JSON document at a URL, or None without a response with status 200."""
        answer = await self.caller.send("GET", url)
        if not isinstance(answer, Answer) or answer.status != OK:
            return None
        return answer.document

    async def put_json(self, url: str, document: Any) -> None:
        """Replace the JSON document at a URL by ``PUT``.

        Raises
        ------
        RuntimeError
            If there is no response with status 200.
        """
        answer = await self.caller.send("PUT", url, {}, json.dumps(document).encode())
        if not isinstance(answer, Answer) or answer.status != OK:
            raise RuntimeError(f"PUT {url} failed: {answer}")

    async def publish(self) -> ChildProcess:
        """Publish the routing files with the command ``publish``, and return its process."""
        settings = str(self.settings_path(next(iter(self.entries))))
        directory = str(self.routing_directory)
        return await self.processes.run("publish", "publish", directory, "--settings", settings)

    async def start_entries(self, names: Sequence[str]) -> None:
        """Start entry instances with the settings of the example, and list them."""
        for name in names:
            self._write_settings(name)
            path = str(self.settings_path(name))
            self.entries[name] = self.processes.launch(name, "entry", "--settings", path)
        for name in names:
            await self.processes.wait_until_listening(self.entries[name])
        await self.list_entries()

    async def list_entries(self) -> None:
        """Replace the instance list of the platform by the running entry instances."""
        live = {n: child for n, child in self.entries.items() if child.exit_code is None}
        listed_instances = [self._listed_instance(name, child) for name, child in live.items()]
        await self.put_json(f"{self.platform_url}/instances", listed_instances)

    async def wait_until_entries_ready(self) -> None:
        """Wait until every running entry instance is ready."""
        for name, child in self.entries.items():
            if child.exit_code is None:
                await self.wait_until_entry_ready(name)

    async def wait_until_entry_ready(self, name: str) -> None:
        """Wait until an entry instance is ready."""
        url = f"{self.admin_url(name)}/readyz"
        clock = self.processes.clock
        await wait_until(clock, lambda: self.fetch_json(url), READY_TIMEOUT, f"{name} ready")

    def _write_settings(self, name: str) -> None:
        text = (self.example / "settings" / f"{name}.json").read_text(encoding="utf-8")
        settings = json5.loads(text)
        for listener in ("callers", "peers", "admin"):
            settings[listener] = {"host": HOST, "port": 0}
        settings["platform"] = {
            "table": f"{self.platform_url}/table",
            "object_store": f"{self.platform_url}/objects",
            "instance_list": f"{self.platform_url}/instances",
        }
        settings["seeds"] = []
        settings["trace_file"] = str(self.trace_path(name))
        settings["unready_before_close"] = self.unready_before_close.total_seconds()
        self.settings_path(name).write_text(json.dumps(settings), encoding="utf-8")

    def _listed_instance(self, name: str, child: ChildProcess) -> dict[str, Any]:
        settings = json.loads(self.settings_path(name).read_text(encoding="utf-8"))
        return {
            "name": name,
            "host": HOST,
            "peer_port": child.ports.get("peers", 0),
            "admin_port": child.ports["admin"],
            "data_centre": settings["data_centre"],
            "state": "live",
        }


async def start_deployment(
    processes: ProcessGroup,
    caller: Caller,
    example: Path,
    entry_names: Sequence[str],
    *,
    checks_fencing: bool = False,
    services: frozenset[str] | None = None,
    separate_processes: frozenset[str] = frozenset(),
    work_ms: float = 1.0,
    unready_before_close: timedelta = UNREADY_BEFORE_CLOSE,
) -> Deployment:
    """Start the stand-ins and entry instances of an example, without publishing its routing.

    Parameters
    ----------
    processes : ProcessGroup
    caller : Caller
    example : Path
        Directory of the example.
    entry_names : sequence of str
        Names of the entry instances to start; the example has settings for each.
    checks_fencing : bool, optional
        Whether servers that own keys check fencing tokens.
    services : frozenset of str, optional
        Services to start; all by default.
    separate_processes : frozenset of str, optional
        Services with one process for each target; the targets of any other service share one.
    work_ms : float, optional
        Execution time of a request.
    unready_before_close : timedelta, optional
        Setting of the entry instances. If a load balancer polls their readiness, it must be longer
        than the balancer takes to detect that an instance is unready.
    """
    platform = processes.launch("platform", "standin", "platform")
    deployment = Deployment(
        processes, caller, example, platform, unready_before_close=unready_before_close
    )
    files = [
        f for f in _read_files(example, checks_fencing) if not services or f.service in services
    ]
    deployment.routing_directory.mkdir()
    for file in files:
        path = deployment.routing_directory / f"{file.service}.routing.json"
        path.write_text(file.model_dump_json(exclude_none=True), encoding="utf-8")
        _launch_targets(deployment, file, path, file.service in separate_processes, work_ms)
    await processes.wait_until_listening(platform)
    for file in files:
        await _write_actual_ports(deployment, file)
    await deployment.start_entries(entry_names)
    return deployment


def _read_files(example: Path, checks_fencing: bool) -> list[RoutingFile]:
    files = [read_document(path, RoutingFile) for path in sorted(example.rglob("*.routing.json"))]
    return [_with_fencing(file, checks_fencing) for file in files]


def _with_fencing(file: RoutingFile, checks_fencing: bool) -> RoutingFile:
    if file.ownership is None:
        return file
    ownership = file.ownership.model_copy(update={"checks_fencing": checks_fencing})
    return file.model_copy(update={"ownership": ownership})


def _launch_targets(
    deployment: Deployment, file: RoutingFile, path: Path, separate: bool, work_ms: float
) -> None:
    names = [server.name for server in file.targets.servers]
    arguments = ["standin", "service", str(path), "--any-port", "--work-ms", str(work_ms)]
    arguments += ["--journal", str(deployment.journal_path)]
    shared = None if separate else deployment.processes.launch(file.service, *arguments)
    for name in names:
        child = shared or deployment.processes.launch(name, *arguments, "--target", name)
        deployment.targets[file.service, name] = child


async def _write_actual_ports(deployment: Deployment, file: RoutingFile) -> None:
    """Rewrite a routing file with the ports on which its targets listen."""
    servers = []
    for server in file.targets.servers:
        child = deployment.targets[file.service, server.name]
        ports = await deployment.processes.wait_until_listening(child)
        servers.append(server.model_copy(update={"port": ports[server.name]}))
    targets = file.targets.model_copy(update={"servers": tuple(servers)})
    published = file.model_copy(update={"targets": targets})
    deployment.services[file.service] = published
    path = deployment.routing_directory / f"{file.service}.routing.json"
    path.write_text(published.model_dump_json(exclude_none=True), encoding="utf-8")
