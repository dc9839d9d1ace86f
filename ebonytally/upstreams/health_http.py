"""Adapter: asks upstreams of the own data centre how they are."""

from collections.abc import Callable

import gevent
from gevent import pool
from geventhttpclient import HTTPClient

from ebonytally import ports
from ebonytally.upstreams import upstreams
from ebonytally import view

EVERY_S = 1.0
TIMEOUT_S = 1.0
MAX_AT_ONCE = 16
MAX_PAGE_BYTES = 4096
PATH = "/health"


class HealthPoller:
    """Reads health pages and hands the verdicts to the slice.

    :param present: returns the view in force
    :param data_centre: only upstreams of this one are asked
    """

    def __init__(
        self,
        slice_: upstreams.Upstreams,
        present: Callable[[], view.View],
        data_centre: str,
        clock: ports.Clock,
    ) -> None:
        """Ask nobody yet; `start` begins."""
        self._slice = slice_
        self._present = present
        self._data_centre = data_centre
        self._clock = clock
        self._pool = pool.Pool(MAX_AT_ONCE)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to ask; returns at once."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End all questions."""
        if self._task is not None:
            self._task.kill()
        self._pool.kill()

    def _run(self) -> None:
        while True:
            self.ask_all()
            gevent.sleep(EVERY_S)

    def ask_all(self) -> None:
        """Ask each upstream once and wait for the answers."""
        for one in self._present().upstreams:
            if one.data_centre == self._data_centre and one.request_port:
                self._pool.spawn(self._ask, one)
        self._pool.join()

    def _ask(self, one: view.Upstream) -> None:
        ok = healthy(one.address, one.request_port)
        self._slice.page(one.id, ok, self._clock.now())


def healthy(address: str, port: int) -> bool:
    """Return whether the health page answers 200 in time."""
    client = HTTPClient(
        address,
        port,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )
    try:
        with gevent.Timeout(TIMEOUT_S):
            answer = client.get(PATH)
            answer.read(MAX_PAGE_BYTES)
            return answer.status_code == 200
    except (gevent.Timeout, OSError, ValueError):
        return False
    finally:
        client.close()
