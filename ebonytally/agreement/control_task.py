"""One greenlet that runs everything that may wait for the disk."""

from collections.abc import Callable

import gevent
from gevent import queue

from ebonytally import actions

MAX_QUEUED_CALLS = 4096
Call = Callable[[], list[actions.Action]]


class ControlTask:
    """Runs calls one after the other, off the packet path."""

    def __init__(
        self,
        execute: Callable[[Call], None],
    ) -> None:
        """Hand each call to `execute`, which must not fail."""
        self._execute = execute
        self._calls: queue.Queue = queue.Queue(MAX_QUEUED_CALLS)
        self.greenlet = gevent.spawn(self._run_calls)

    def run(
        self,
        call: Call,
    ) -> list[actions.Action]:
        """Queue a call.

        A call that finds the queue full is lost like a lost message.
        """
        try:
            self._calls.put_nowait(call)
        except queue.Full:
            return []
        return []

    def _run_calls(self) -> None:
        while True:
            self._execute(self._calls.get())
