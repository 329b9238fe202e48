"""Runs the daemon as ``python -m laburnumhatch.gateway SETTINGS``."""

import argparse
import sys

from .settings import SettingsInvalid, read_settings

BAD_SETTINGS = 2


def main() -> int:
    """Run the daemon; return its exit code."""
    parser = argparse.ArgumentParser(prog="laburnumhatch.gateway", description=__doc__)
    parser.add_argument("settings", help="settings file, JSON with comments")
    parser.add_argument("--check", action="store_true", help="only check the settings")
    arguments = parser.parse_args()
    try:
        read_settings(arguments.settings)
    except SettingsInvalid as e:
        print(e, file=sys.stderr)
        return BAD_SETTINGS
    if arguments.check:
        return 0
    from .daemon import run

    return run(arguments.settings)


if __name__ == "__main__":
    sys.exit(main())
