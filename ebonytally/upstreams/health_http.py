"""Polls the health pages of the upstreams in this data centre."""

from collections.abc import Callable

import gevent
from gevent import pool
from geventhttpclient import HTTPClient

from ebonytally import ports
from ebonytally.upstreams import upstreams
from ebonytally import view

POLL_INTERVAL_S = 1.0
TIMEOUT_S = 1.0
MAX_CONCURRENT_POLLS = 16
MAX_PAGE_BYTES = 4096
PATH = "/health"


class HealthPoller:
    """Requests health pages and reports the results to `Upstreams`.

    :param manager: is told whether each upstream is healthy
    :param get_view: returns the current view
    :param data_centre: only upstreams of this data centre are polled
    """

    def __init__(
        self,
        manager: upstreams.Upstreams,
        get_view: Callable[[], view.View],
        data_centre: str,
        clock: ports.Clock,
    ) -> None:
        """Set up the poller; `start` begins polling."""
        self._manager = manager
        self._get_view = get_view
        self._data_centre = data_centre
        self._clock = clock
        self._pool = pool.Pool(MAX_CONCURRENT_POLLS)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start polling in the background."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop polling and abort requests in progress."""
        if self._task is not None:
            self._task.kill()
        self._pool.kill()

    def _run(self) -> None:
        while True:
            self.poll_all()
            gevent.sleep(POLL_INTERVAL_S)

    def poll_all(self) -> None:
        """Poll each upstream once; return when all have been polled."""
        for upstream in self._get_view().upstreams:
            if (
                upstream.data_centre == self._data_centre
                and upstream.request_port
            ):
                self._pool.spawn(self._poll, upstream)
        self._pool.join()

    def _poll(self, upstream: view.Upstream) -> None:
        is_ok = is_healthy(upstream.address, upstream.request_port)
        self._manager.on_health_page(upstream.id, is_ok, self._clock.now())


def is_healthy(address: str, port: int) -> bool:
    """Return whether the health page answers 200 within `TIMEOUT_S`."""
    client = HTTPClient(
        address,
        port,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )
    try:
        with gevent.Timeout(TIMEOUT_S):
            response = client.get(PATH)
            response.read(MAX_PAGE_BYTES)
            return response.status_code == 200
    except (gevent.Timeout, OSError, ValueError):
        return False
    finally:
        client.close()
