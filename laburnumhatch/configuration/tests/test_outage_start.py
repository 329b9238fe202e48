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
IN_FORCE_TIMEOUT = timedelta(seconds=10)


@pytest_twisted.ensureDeferred
async def test_instance_started_in_an_outage_fetches_the_configuration_from_a_seed(
    processes, caller, tmp_path
):
    for folder in ("flock-condition-register", "settings"):
        shutil.copytree(EXAMPLE / folder, tmp_path / "example" / folder)
    deployment = await start_deployment(processes, caller, tmp_path / "example", ["entry-1"])
    published = await deployment.publish()
    assert published.exit_code == 0, published.output
    await deployment.wait_until_entries_ready()
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
    late_instance = processes.launch("entry-2", "entry", "--settings", str(path))
    deployment.entries["entry-2"] = late_instance
    await processes.wait_until_listening(late_instance)

    url = f"{deployment.admin_url('entry-2')}/readyz"
    await wait_until(
        processes.clock, lambda: deployment.fetch_json(url), IN_FORCE_TIMEOUT, "entry-2 is ready"
    )
    status = await deployment.fetch_json(f"{deployment.admin_url('entry-2')}/status")
    assert status["configuration"]["version"] == 1
    assert status["links"] == ["entry-1"]
