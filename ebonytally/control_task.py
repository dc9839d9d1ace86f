"""One greenlet that runs everything that may wait for the disk."""

from collections.abc import Callable
import time

import gevent
from gevent import queue

from ebonytally import actions

MAX_WAITING = 4096


class ControlTask:
    """Runs calls one after the other, off the packet path."""

    def __init__(
        self,
        finish: Callable[[list[actions.Action], float], None],
    ) -> None:
        """Hand the actions of each call to `finish`."""
        self._finish = finish
        self._calls: queue.Queue = queue.Queue(MAX_WAITING)
        self.greenlet = gevent.spawn(self._work)

    def run(
        self,
        call: Callable[[], list[actions.Action]],
    ) -> list[actions.Action]:
        """Queue a call; its actions go to `finish`.

        A call that finds the queue full is lost like a lost message.
        """
        try:
            self._calls.put_nowait(call)
        except queue.Full:
            return []
        return []

    def _work(self) -> None:
        while True:
            call = self._calls.get()
            self._finish(call(), time.monotonic())
