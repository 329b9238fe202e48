"""Build that ran in production before an upgrade, from the repository's history."""

import io
import subprocess
import tarfile
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

__all__ = ["ProductionBuild", "Replacement", "extract_build", "is_in_history"]

REPOSITORY = Path(__file__).resolve().parents[2]
PACKAGE = "laburnumhatch"


class Replacement(StrEnum):
    """Which build an instance runs, beside instances with the other one."""

    # All begin with the former build and are replaced one after the other.
    FORWARD = "forward"
    # All begin with the present build and go back to the former one.
    BACK = "back"
    # Every other instance runs the former build throughout.
    HALF = "half"


@dataclass(frozen=True, slots=True)
class ProductionBuild:
    """Former build and how the present one takes its place.

    Attributes
    ----------
    directory : Path
        Directory that holds the former package.
    replacement : Replacement
    """

    directory: Path
    replacement: Replacement

    @property
    def is_rolled(self) -> bool:
        """Whether each instance has to be restarted once."""
        return self.replacement is not Replacement.HALF

    def directory_for(self, instance_number: int, start_count: int) -> Path | None:
        """Return the directory of the build that an instance runs, None for the present one."""
        is_former = {
            Replacement.FORWARD: start_count == 0,
            Replacement.BACK: start_count > 0,
            Replacement.HALF: instance_number % 2 == 0,
        }[self.replacement]
        return self.directory if is_former else None


def is_in_history(commit: str, run: Callable[..., object] = subprocess.run) -> bool:
    """Return whether the repository holds a commit."""
    command = ["git", "-C", str(REPOSITORY), "cat-file", "-e", f"{commit}^{{commit}}"]
    try:
        run(command, check=True, capture_output=True)
    except (OSError, subprocess.CalledProcessError):
        return False
    return True


def extract_build(commit: str, directory: Path) -> Path:
    """Write the package of a commit below a directory, and return the directory.

    Raises
    ------
    subprocess.CalledProcessError
        If the repository doesn't hold the commit.
    """
    command = ["git", "-C", str(REPOSITORY), "archive", commit, PACKAGE]
    archive = subprocess.run(command, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as package:
        package.extractall(directory, filter="data")
    return directory
