"""Running a command's coroutine on the reactor."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

__all__ = ["run_on_reactor"]

T = TypeVar("T")


def run_on_reactor(coroutine_function: Callable[[Any], Coroutine[Any, Any, T]]) -> T:
    """Run ``coroutine_function(reactor)`` on the reactor and return its result.

    It can be called once per process, because the reactor can't be restarted.

    Raises
    ------
    Exception
        Any exception that `coroutine_function` raises.
    """
    reactor: Any = _reactor
    results: list[Any] = []

    def finish(result: T | Failure) -> None:
        results.append(result)
        reactor.stop()

    def start() -> None:
        Deferred.fromCoroutine(coroutine_function(reactor)).addBoth(finish)

    reactor.callWhenRunning(start)
    reactor.run()
    if not results:
        raise KeyboardInterrupt
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]
