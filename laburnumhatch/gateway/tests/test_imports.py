"""The daemon loads no module that it doesn't need, since each instance pays for the memory."""

import json
import subprocess
import sys
from pathlib import Path

import laburnumhatch

ROOT = Path(laburnumhatch.__file__).parents[1]
UNWANTED = {
    "aioprometheus",
    "click",
    "klein",
    "matplotlib",
    "numpy",
    "opentelemetry",
    "pydantic",
    "treq",
    "twisted.web",
}


def test_the_daemon_brings_in_no_large_module():
    script = (
        "import json, sys, laburnumhatch.gateway.daemon, laburnumhatch.gateway.__main__;"
        "print(json.dumps(sorted(sys.modules)))"
    )
    found = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, check=True, text=True
    )
    assert UNWANTED.isdisjoint(json.loads(found.stdout))


def pinned(path):
    """Return the pinned packages of a file, in lower case."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.strip().lower() for line in lines if "==" in line}


def test_what_is_deployed_is_what_is_tested():
    deployed = pinned(ROOT / "deploy" / "requirements.txt")
    assert deployed and deployed <= pinned(ROOT / "constraints.txt")


def test_twisted_is_deployed_without_its_transport_encryption():
    # Twisted imports these packages wherever they are installed, which takes 20 MB of memory.
    names = {line.partition("==")[0] for line in pinned(ROOT / "deploy" / "requirements.txt")}
    assert names.isdisjoint({"pyopenssl", "cryptography", "service-identity"})


def test_a_hangup_during_the_start_ends_nothing():
    program = (
        "import signal, laburnumhatch.gateway.__main__;"
        "print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)"
    )
    found = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True)
    assert found.stdout == b"True\n"
