"""Process of the entry daemon."""

import json
import signal
import sys
from typing import Any

from opentelemetry import trace
from opentelemetry.sdk.trace import TracerProvider

from ..clocks import Clock, ReactorClock, boot_seconds, use_boot_time
from ..settings import InstanceSettings
from ..telemetry import start_logging
from ..telemetry.traces import JsonLineExporter, build_tracer_provider
from .instance import EntryInstance
from .numeric_resolver import NumericResolver

__all__ = ["run"]


def run(settings: InstanceSettings) -> int:
    """Run an entry instance until it is stopped by a signal.

    Parameters
    ----------
    settings : InstanceSettings

    Returns
    -------
    int
        Exit code: 0 if no request was aborted, 1 otherwise.

    Notes
    -----
    Writes one line to standard output once the ports are open. SIGTERM and SIGINT start the
    graceful shutdown; further signals have no effect.
    """
    reactor = _installed_reactor()
    use_boot_time(reactor)
    reactor.installNameResolver(NumericResolver())
    start_logging(settings.name)
    clock = ReactorClock(reactor, boot_seconds)
    provider = _start_tracing(settings, clock)
    exit_codes: list[int] = []

    def exit_process(code: int) -> None:
        exit_codes.append(code)
        reactor.callLater(0, reactor.stop)

    instance = EntryInstance(reactor, clock, settings, exit_process)
    _install_signal_handlers(reactor, instance)
    reactor.callWhenRunning(_start, instance, settings.name)
    reactor.run(installSignalHandlers=False)
    provider.shutdown()
    return exit_codes[0] if exit_codes else 1


def _start(instance: EntryInstance, name: str) -> None:
    instance.start()
    print(json.dumps({"listening": {"name": name, **instance.ports}}), flush=True)


def _install_signal_handlers(reactor: Any, instance: EntryInstance) -> None:
    def stop(*_: Any) -> None:
        reactor.callFromThread(instance.stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)


def _start_tracing(settings: InstanceSettings, clock: Clock) -> TracerProvider:
    exporter = None
    if settings.trace_file is not None:
        stream = (
            sys.stdout
            if settings.trace_file == "-"
            else open(settings.trace_file, "a", encoding="utf-8")  # noqa: SIM115
        )
        exporter = JsonLineExporter(stream, clock)
    provider = build_tracer_provider(
        settings.name, settings.data_centre, settings.trace_share, exporter
    )
    trace.set_tracer_provider(provider)
    return provider


def _installed_reactor() -> Any:
    from twisted.internet import reactor

    return reactor
