"""The log: one JSON line on standard output for each numbered event.

Lines are written by a thread of their own, so that a reader that
doesn't keep up never holds up the daemon; then lines are dropped and
counted.
"""

import contextlib
import datetime
import logging
from logging import handlers
import queue
import sys
from typing import TextIO

from pythonjsonlogger import json as json_log

from ebonytally import events

MAX_WAITING_LINES = 10_000
MAX_FIELD_CHARS = 500
_FORMAT = "%(time)s %(number)s %(name)s %(vm)s"


class _Handler(handlers.QueueHandler):
    """Hands records on as they are and counts those dropped."""

    dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave the formatting to the writing thread."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Hand on a record, or drop it when too many wait."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _Formatter(json_log.JsonFormatter):
    """Writes the record's fields alone, in the order of the catalogue."""

    def add_fields(
        self,
        log_data: dict,
        record: logging.LogRecord,
        message_dict: dict,
    ) -> None:
        """Put the event's fields into the line."""
        log_data.update(record.fields)


class Log:
    """Writes events of one VM."""

    def __init__(
        self,
        vm: str,
        stack: contextlib.ExitStack,
        stream: TextIO | None = None,
    ) -> None:
        """Start the writing thread.

        :param vm: name of this VM, in each line
        :param stack: writes what waits and ends the thread
        :param stream: standard output if None
        """
        self._vm = vm
        waiting: queue.Queue = queue.Queue(MAX_WAITING_LINES)
        out = logging.StreamHandler(stream or sys.stdout)
        out.setFormatter(_Formatter(_FORMAT, json_default=str))
        self._handler = _Handler(waiting)
        listener = handlers.QueueListener(waiting, out)
        listener.start()
        stack.callback(listener.stop)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped."""
        return self._handler.dropped

    def write(
        self,
        event: events.Event,
        fields: dict[str, object],
        wall: float,
    ) -> None:
        """Write an event.

        :param wall: present time, seconds since 1970
        """
        when = datetime.datetime.fromtimestamp(wall, datetime.UTC)
        line = {
            "time": when.isoformat(timespec="milliseconds"),
            "number": event.value,
            "name": event.name.lower(),
            "vm": self._vm,
        }
        for key, value in fields.items():
            line[key] = _bounded(value)
        record = logging.makeLogRecord({"fields": line})
        self._handler.handle(record)


def _bounded(value: object) -> object:
    """Return a value that JSON has, at most so long."""
    if value is None or isinstance(value, bool | int | float):
        return value
    return str(value)[:MAX_FIELD_CHARS]
