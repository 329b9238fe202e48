"""Run the gateway daemon as ``python -m laburnumhatch.gateway SETTINGS``."""

import signal

# The platform sends SIGHUP when the settings change, possibly before the daemon has installed its
# handlers; the default action of the signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse  # noqa: E402
import sys  # noqa: E402

from .settings import SettingsError, read_settings  # noqa: E402

EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Run the daemon; return its exit code."""
    parser = argparse.ArgumentParser(prog="laburnumhatch.gateway", description=__doc__)
    parser.add_argument("settings", help="settings file, JSON with comments")
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    arguments = parser.parse_args()
    try:
        read_settings(arguments.settings)
    except SettingsError as e:
        print(e, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if arguments.check:
        return 0
    from .daemon import run

    return run(arguments.settings)


if __name__ == "__main__":
    sys.exit(main())
