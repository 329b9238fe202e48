"""A former build from the repository's history beside this one."""

import shutil
import subprocess
import warnings
from datetime import timedelta

import pytest
import pytest_twisted
from twisted.internet import reactor

from ...clocks import ReactorClock, boot_seconds
from ..production import (
    PACKAGE,
    REPOSITORY,
    ProductionBuild,
    Replacement,
    extract_build,
    is_in_history,
)
from ..run import run_soak

FORMER_BUILD = "b29d43a"
SEED = 31
DURATION = timedelta(seconds=6)


@pytest.mark.parametrize(
    ("replacement", "former"),
    [
        (Replacement.FORWARD, {(0, 0), (1, 0)}),
        (Replacement.BACK, {(0, 1), (1, 1)}),
        (Replacement.HALF, {(0, 0), (0, 1)}),
    ],
)
def test_replacement_tells_which_instance_runs_the_former_build(tmp_path, replacement, former):
    build = ProductionBuild(tmp_path, replacement)
    starts = [(number, start_count) for number in (0, 1) for start_count in (0, 1)]
    assert {start for start in starts if build.directory_for(*start) == tmp_path} == former
    assert build.is_rolled == (replacement is not Replacement.HALF)


def test_commit_that_is_unknown_or_no_git_is_not_in_the_history():
    def run_without_git(*args, **options):
        raise FileNotFoundError

    def run_without_commit(*args, **options):
        raise subprocess.CalledProcessError(128, "git")

    assert not is_in_history(FORMER_BUILD, run_without_git)
    assert not is_in_history(FORMER_BUILD, run_without_commit)


@pytest.fixture
def former_directory(tmp_path):
    """Return a directory with the former build, or with this one if the history lacks it."""
    directory = tmp_path / "former"
    directory.mkdir()
    if is_in_history(FORMER_BUILD):
        return extract_build(FORMER_BUILD, directory)
    warnings.warn(f"{FORMER_BUILD} isn't in the history: this build stands for it", stacklevel=1)
    shutil.copytree(REPOSITORY / PACKAGE, directory / PACKAGE)
    return directory


@pytest_twisted.ensureDeferred
async def test_upgrade_from_a_former_build_has_no_findings(former_directory, tmp_path):
    clock = ReactorClock(reactor, boot_seconds)
    production = ProductionBuild(former_directory, Replacement.FORWARD)
    # A number of addresses of its own.
    result = await run_soak(reactor, clock, SEED, DURATION, tmp_path, 1, production)
    assert result.findings == ()
    assert result.answered_count > 0
