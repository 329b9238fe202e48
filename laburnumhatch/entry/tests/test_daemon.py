"""Tests of the process of the entry daemon."""

import json
from pathlib import Path

import pytest_twisted

ADDRESS = {"host": "127.0.0.1", "port": 0}
SETTINGS = {
    "name": "entry-1",
    "data_centre": "lade",
    "callers": ADDRESS,
    "peers": ADDRESS,
    "admin": ADDRESS,
    # No server listens on this port.
    "platform": dict.fromkeys(("table", "object_store", "instance_list"), "http://127.0.0.1:9"),
    "peer_key": "a-key-of-the-daemon-test",
}


@pytest_twisted.ensureDeferred
async def test_daemon_runs_on_one_thread(processes, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS), encoding="utf-8")
    child = processes.launch("entry", "entry", "--settings", str(path))
    await processes.wait_until_listening(child)
    threads = list(Path(f"/proc/{child.process.pid}/task").iterdir())
    assert len(threads) == 1
