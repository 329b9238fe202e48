"""Main loop of a process that serves stand-ins."""

import json
import signal
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from klein import Klein
from twisted.internet import reactor as _reactor
from twisted.web.server import Site

from .connections import ConnectionTally, LimitedFactory

__all__ = ["ServedApp", "run_apps"]

BACKLOG = 511


@dataclass(frozen=True, slots=True)
class ServedApp:
    """HTTP application and the address on which it listens.

    Attributes
    ----------
    name : str
    app : Klein
    host : str
        IP address.
    port : int
        0 selects any free port.
    connections : ConnectionTally or None
        Limit and counts of the connections, if given.
    """

    name: str
    app: Klein
    host: str
    port: int
    connections: ConnectionTally | None = None


def run_apps(
    served: Iterable[ServedApp],
    process_name: str,
    on_terminate: Callable[[Callable[[], None]], None],
) -> None:
    """Serve applications until the process receives SIGTERM or SIGINT.

    Parameters
    ----------
    served : iterable of ServedApp
    process_name : str
        Name of the process in the line that lists its ports.
    on_terminate : callable
        Called on SIGTERM or SIGINT with a function that stops the event loop.

    Notes
    -----
    Prints ``{"listening": {"name": PROCESS_NAME, NAME: PORT, ...}}`` once all ports are open.
    """
    reactor: Any = _reactor
    ports = {s.name: _listen(reactor, s) for s in served}

    def stop() -> None:
        if reactor.running:
            reactor.stop()

    def terminate(signal_number: int, frame: Any) -> None:
        reactor.callFromThread(on_terminate, stop)

    def announce_ports() -> None:
        signal.signal(signal.SIGTERM, terminate)
        signal.signal(signal.SIGINT, terminate)
        print(json.dumps({"listening": {"name": process_name, **ports}}), flush=True)

    reactor.callWhenRunning(announce_ports)
    reactor.run(installSignalHandlers=False)


def _listen(reactor: Any, served: ServedApp) -> int:
    factory: Any = Site(served.app.resource())
    if served.connections is not None:
        factory = LimitedFactory(factory, served.connections)
    listening = reactor.listenTCP(served.port, factory, backlog=BACKLOG, interface=served.host)
    port: int = listening.getHost().port
    return port
