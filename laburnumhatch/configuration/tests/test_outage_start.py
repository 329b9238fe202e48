"""Test of starting a real instance process while the platform is down."""

import json
import shutil
from datetime import timedelta
from pathlib import Path

import pytest_twisted

from ...standins.deployment import start_deployment
from ...standins.processes import wait_until

EXAMPLE = Path(__file__).parents[3] / "examples" / "duefjaer"
# Maximum time in which a published configuration must be in force at every instance.
WITHIN = timedelta(seconds=10)


@pytest_twisted.ensureDeferred
async def test_instance_that_starts_in_an_outage_takes_the_configuration_of_a_seed(
    processes, caller, tmp_path
):
    for part in ("flock-condition-register", "settings"):
        shutil.copytree(EXAMPLE / part, tmp_path / "example" / part)
    deployment = await start_deployment(processes, caller, tmp_path / "example", ["entry-1"])
    published = await deployment.publish()
    assert published.exit_code == 0, published.output
    await deployment.entries_ready()
    deployment.platform.kill()

    settings = json.loads(deployment.settings_path("entry-1").read_text())
    settings["name"] = "entry-2"
    settings["seeds"] = [
        {
            "name": "entry-1",
            "host": "127.0.0.1",
            "port": deployment.entries["entry-1"].ports["peers"],
            "data_centre": settings["data_centre"],
        }
    ]
    path = deployment.settings_path("entry-2")
    path.write_text(json.dumps(settings))
    late = processes.launch("entry-2", "entry", "--settings", str(path))
    deployment.entries["entry-2"] = late
    await processes.listening(late)

    url = f"{deployment.admin_url('entry-2')}/readyz"
    await wait_until(processes.clock, lambda: deployment.fetch(url), WITHIN, "entry-2 is ready")
    status = await deployment.fetch(f"{deployment.admin_url('entry-2')}/status")
    assert status["configuration"]["version"] == 1
    assert status["links"] == ["entry-1"]
