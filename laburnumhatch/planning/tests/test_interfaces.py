"""Tests that the packages around planning have no circular imports."""

import subprocess
import sys

import pytest


@pytest.mark.parametrize("package", ["planning", "ownership", "balancing"])
def test_package_can_be_imported_on_its_own(package):
    result = subprocess.run([sys.executable, "-c", f"import laburnumhatch.{package}"])
    assert result.returncode == 0
