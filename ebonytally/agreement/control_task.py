"""Greenlet that runs the calls that may wait for the disk."""

from collections.abc import Callable

import gevent
from gevent import queue

from ebonytally import actions

MAX_QUEUED_CALLS = 4096
Call = Callable[[], list[actions.Action]]


class ControlTask:
    """Runs calls one at a time, outside the packet path."""

    def __init__(
        self,
        execute: Callable[[Call], None],
    ) -> None:
        """Start the greenlet.

        :param execute: runs one call; must not raise
        """
        self._execute = execute
        self._calls: queue.Queue = queue.Queue(MAX_QUEUED_CALLS)
        self.greenlet = gevent.spawn(self._run_calls)

    def run(
        self,
        call: Call,
    ) -> list[actions.Action]:
        """Queue a call and return no actions.

        A call is dropped if the queue is full, like a lost message.
        """
        try:
            self._calls.put_nowait(call)
        except queue.Full:
            return []
        return []

    def _run_calls(self) -> None:
        while True:
            self._execute(self._calls.get())
