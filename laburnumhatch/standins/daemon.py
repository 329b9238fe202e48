"""Running a stand-in as a daemon."""

import json
import signal
import sys
from collections.abc import Callable
from typing import Any

from klein import Klein
from twisted.internet import reactor as _reactor
from twisted.web.server import Site

__all__ = ["announce", "run_site"]

BACKLOG = 511


def announce(addresses: dict[str, Any]) -> None:
    """Print the one line that tells where a daemon listens."""
    sys.stdout.write(json.dumps({"listening": addresses}) + "\n")
    sys.stdout.flush()


def run_site(
    app: Klein, host: str, port: int, on_terminate: Callable[[Callable[[], None]], None]
) -> None:
    """Serve an app until the process is told to end.

    Parameters
    ----------
    app : Klein
    host : str
        IP number.
    port : int
        0 takes any free port.
    on_terminate : callable
        Called with a function that stops the loop when SIGTERM or SIGINT arrives.

    Notes
    -----
    Prints ``{"listening": {"http": {"host": ..., "port": ...}}}`` when connections are accepted.
    """
    reactor: Any = _reactor
    listening = reactor.listenTCP(port, Site(app.resource()), backlog=BACKLOG, interface=host)

    def stop() -> None:
        if reactor.running:
            reactor.stop()

    def terminate(signal_number: int, frame: Any) -> None:
        reactor.callFromThread(on_terminate, stop)

    def started() -> None:
        signal.signal(signal.SIGTERM, terminate)
        signal.signal(signal.SIGINT, terminate)
        address = listening.getHost()
        announce({"http": {"host": address.host, "port": address.port}})

    reactor.callWhenRunning(started)
    reactor.run(installSignalHandlers=False)
