"""The log: one JSON line on standard output for each numbered event.

A separate thread writes the lines from a bounded queue, so that a slow
reader of standard output never blocks the daemon. When the queue is full,
lines are dropped and counted.
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

MAX_QUEUED_LINES = 10_000
MAX_FIELD_CHARS = 500
_FORMAT = "%(time)s %(number)s %(name)s %(vm)s"


class _DroppingHandler(handlers.QueueHandler):
    """Queues records for the writer thread; counts those dropped."""

    dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unformatted; the writer thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop it when the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _FieldsFormatter(json_log.JsonFormatter):
    """Formats the event's own fields only, in the order they were given."""

    def add_fields(
        self,
        log_data: dict,
        record: logging.LogRecord,
        message_dict: dict,
    ) -> None:
        """Add the event's fields to the line, without logging's own."""
        log_data.update(record.fields)


class Log:
    """Writes the events of one VM as JSON lines."""

    def __init__(
        self,
        vm: str,
        stack: contextlib.ExitStack,
        stream: TextIO | None = None,
    ) -> None:
        """Start the writer thread.

        :param vm: name of this VM, a field of each line
        :param stack: writes the queued lines and ends the thread
        :param stream: output, standard output if None
        """
        self._vm = vm
        lines: queue.Queue = queue.Queue(MAX_QUEUED_LINES)
        writer = logging.StreamHandler(stream or sys.stdout)
        writer.setFormatter(_FieldsFormatter(_FORMAT, json_default=str))
        self._handler = _DroppingHandler(lines)
        listener = handlers.QueueListener(lines, writer)
        listener.start()
        stack.callback(listener.stop)

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the start."""
        return self._handler.dropped

    def write(
        self,
        event: events.Event,
        fields: dict[str, object],
        wall: float,
    ) -> None:
        """Write an event.

        :param wall: current time, seconds since 1970
        """
        when = datetime.datetime.fromtimestamp(wall, datetime.UTC)
        line = {
            "time": when.isoformat(timespec="milliseconds"),
            "number": event.value,
            "name": event.name.lower(),
            "vm": self._vm,
        }
        for key, value in fields.items():
            line[key] = _json_value(value)
        record = logging.makeLogRecord({"fields": line})
        self._handler.handle(record)


def _json_value(value: object) -> object:
    """Return a JSON value; text is cut to `MAX_FIELD_CHARS`."""
    if value is None or isinstance(value, bool | int | float):
        return value
    return str(value)[:MAX_FIELD_CHARS]
