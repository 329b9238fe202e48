"""Test of the publishing commands with a platform stand-in and an entry instance."""

import json
from pathlib import Path

import pytest_twisted
from twisted.internet.defer import Deferred, gatherResults

from ...standins.deployment import start_deployment
from ..exit_codes import ExitCode

EXAMPLE = Path(__file__).parents[3] / "examples" / "duefjaer"
SERVICE = "flock-condition-register"
UNREACHABLE_INSTANCE = {"name": "gone", "host": "127.0.0.1", "peer_port": 1, "admin_port": 1}


class _Commands:
    """Runs commands in a deployment."""

    def __init__(self, deployment):
        self._deployment = deployment

    async def run(self, *arguments):
        """Run a command and return its exit code and output."""
        settings = ("--settings", str(self._deployment.settings_path("entry-1")))
        child = await self._deployment.processes.run(arguments[0], *arguments, *settings)
        return child.exit_code, child.output

    async def run_together(self, *commands):
        """Run commands concurrently and return their exit codes and outputs."""
        return await gatherResults([Deferred.fromCoroutine(self.run(*c)) for c in commands])


@pytest_twisted.ensureDeferred
async def test_each_outcome_of_publishing_has_its_own_exit_code(processes, caller):
    deployment = await start_deployment(
        processes, caller, EXAMPLE, ["entry-1"], services=frozenset({SERVICE})
    )
    commands = _Commands(deployment)
    directory = str(deployment.routing_directory)
    faults = f"{deployment.platform_url}/faults"
    await deployment.put_json(faults, {"table": {"lost_replies": 1}})
    code, output = await commands.run("publish", directory)
    assert code == ExitCode.DONE and "reported by entry-1" in output, output

    path = deployment.routing_directory / f"{SERVICE}.routing.json"
    path.write_text(path.read_text().replace('"weight":2.0', '"weight":4.0'))
    (diff_code, diff_output), (unknown_code, _) = await commands.run_together(
        ("diff", directory), ("rollback", "99")
    )
    assert diff_code == ExitCode.DIFFERENT and "weight: 2.0 -> 4.0" in diff_output
    assert unknown_code == ExitCode.BAD_INPUT

    race = ("publish", directory, "--expected-version", "1", "--publisher")
    raced = await commands.run_together((*race, "ana"), (*race, "bo"))
    assert sorted(code for code, _ in raced) == [ExitCode.DONE, ExitCode.CONFLICT]
    code, output = await commands.run("rollback", "1", "--json")
    assert code == ExitCode.DONE, output
    assert json.loads(output.partition("\n")[2])["version"] == 3

    listed = await deployment.fetch_json(f"{deployment.platform_url}/instances")
    unreachable_instance = {**listed[0], **UNREACHABLE_INSTANCE}
    await deployment.put_json(
        f"{deployment.platform_url}/instances", [*listed, unreachable_instance]
    )
    code, output = await commands.run("publish", directory, "--wait-s", "0")
    assert code == ExitCode.NOT_EVERYWHERE and "gone:" in output
    await deployment.put_json(faults, {"table": {"down": True}})
    codes = [code for code, _ in await commands.run_together(("status",), ("diff", directory))]
    assert codes == [ExitCode.INSTANCE_UNREACHABLE, ExitCode.PLATFORM_UNAVAILABLE]
