"""The daemon loads no module that it doesn't need, since each instance pays for the memory."""

import json
import subprocess
import sys
from pathlib import Path

import laburnumhatch

ROOT = Path(laburnumhatch.__file__).parents[1]
LARGE_MODULES = {
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
# Modules that are small, but slow to import.
SLOW_MODULES = {"twisted.internet.endpoints"}


def test_daemon_imports_no_large_module():
    script = (
        "import json, sys, laburnumhatch.gateway.daemon, laburnumhatch.gateway.__main__;"
        "print(json.dumps(sorted(sys.modules)))"
    )
    found = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, check=True, text=True
    )
    assert (LARGE_MODULES | SLOW_MODULES).isdisjoint(json.loads(found.stdout))


def read_pins(path):
    """Return the read_pins packages of a file, in lower case."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.strip().lower() for line in lines if "==" in line}


def test_deployed_versions_equal_the_tested_versions():
    deployed = read_pins(ROOT / "deploy" / "requirements.txt")
    assert deployed and deployed <= read_pins(ROOT / "constraints.txt")


def test_twisted_is_deployed_without_tls_packages():
    # Twisted imports these packages wherever they are installed, which takes 20 MB of memory.
    names = {line.partition("==")[0] for line in read_pins(ROOT / "deploy" / "requirements.txt")}
    assert names.isdisjoint({"pyopenssl", "cryptography", "service-identity"})


def test_sighup_during_startup_is_ignored():
    program = (
        "import signal, laburnumhatch.gateway.__main__;"
        "print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)"
    )
    found = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True)
    assert found.stdout == b"True\n"
