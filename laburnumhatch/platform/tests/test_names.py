"""Check that the names of the platform are used only in its adapter package."""

import re
from pathlib import Path

import laburnumhatch

PACKAGE_DIRECTORY = Path(laburnumhatch.__file__).parent
PLATFORM_NAMES = re.compile(
    r"X-(Attempt-Id|Deadline-Ms|Response-Seal|Expect-Instance|Not-Executed|Instance-Id|Shard-Key"
    r"|Handover)|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|traffic_split|route_type"
    r"|latency_goal|warmup_left|LABURNUMHATCH_CONFIG|hold_time|Store-Era|Server-(Leaving|Limit|Load)|X-Warmup-Ms",
)


def test_platform_names_are_used_only_in_the_platform_package():
    found = [
        f"{path.relative_to(PACKAGE_DIRECTORY)}:{number}"
        for path in sorted(PACKAGE_DIRECTORY.rglob("*.py"))
        if path.relative_to(PACKAGE_DIRECTORY).parts[0] != "platform"
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert found == []
