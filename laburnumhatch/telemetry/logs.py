"""Structured logs with one JSON object on each line."""

import json
import sys
from typing import Any, TextIO

import logbook
from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from zope.interface import implementer

__all__ = ["JsonLineHandler", "start_logging"]

_LOGBOOK_LEVELS = {
    LogLevel.debug: logbook.DEBUG,
    LogLevel.info: logbook.DEBUG,
    LogLevel.warn: logbook.WARNING,
    LogLevel.error: logbook.ERROR,
    LogLevel.critical: logbook.CRITICAL,
}


class JsonLineHandler(logbook.Handler):
    """Log handler that writes each record as one line of JSON.

    Parameters
    ----------
    stream : text file
    instance : str
        Name of the instance, which every line contains.
    level : int
        Lowest level of the records that are written.

    Notes
    -----
    The fields are ``time``, ``level``, ``logger``, ``instance`` and ``message``, then the record's
    extra fields, such as ``trace`` and ``code``.
    """

    def __init__(self, stream: TextIO, instance: str, level: int = logbook.INFO) -> None:
        super().__init__(level=level, bubble=False)
        self._stream = stream
        self._instance = instance

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        line: dict[str, Any] = {
            "time": str(record.time),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "instance": self._instance,
            "message": record.message,
        }
        line.update(record.extra)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        self._stream.write(json.dumps(line, default=str) + "\n")
        self._stream.flush()


@implementer(ILogObserver)
class _TwistedObserver:
    """Forwards the log events of Twisted to logbook."""

    def __init__(self) -> None:
        self._log = logbook.Logger("twisted")

    def __call__(self, event: LogEvent) -> None:
        level = _LOGBOOK_LEVELS.get(event.get("log_level", LogLevel.info), logbook.DEBUG)
        failure = event.get("log_failure")
        text = formatEvent(event)
        if failure is not None:
            text = f"{text}\n{failure.getTraceback()}"
        self._log.log(level, "{}", text)


def start_logging(instance: str, stream: TextIO = sys.stderr) -> JsonLineHandler:
    """Write the logs of this process and of Twisted to a stream.

    Parameters
    ----------
    instance : str
    stream : text file, optional

    Returns
    -------
    JsonLineHandler
        The handler, which is installed for the whole process.
    """
    logbook.set_datetime_format("utc")
    handler = JsonLineHandler(stream, instance)
    handler.push_application()
    observer: Any = _TwistedObserver()
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
    return handler
