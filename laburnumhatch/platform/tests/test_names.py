"""Check that the names of the platform are used only in its adapter package."""

import re
from pathlib import Path

import laburnumhatch

PACKAGE = Path(laburnumhatch.__file__).parent
NAMES = re.compile(
    r"X-(Attempt-Id|Deadline-Ms|Response-Seal|Expect-Instance|Not-Executed|Instance-Id|Shard-Key"
    r"|Handover)|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|traffic_split|route_type"
    r"|latency_goal|warmup_left|LABURNUMHATCH_CONFIG|hold_time",
)


def test_names_of_the_platform_stand_in_its_package_only():
    found = [
        f"{path.relative_to(PACKAGE)}:{number}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.relative_to(PACKAGE).parts[0] != "platform"
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if NAMES.search(line)
    ]
    assert found == []
