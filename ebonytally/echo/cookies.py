"""Cookies: 32 bits in a flow's packets that identify its upstream."""

import xxhash

from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally.registry import registry as registries

# Allowed cookies of removed upstreams, on top of twice the number known.
MAX_STALE_COOKIES = 1000


class Cookies:
    """Maps cookies to upstreams, equally at all entry VMs."""

    def __init__(
        self,
        registry: registries.Registry,
        recorder: recorders.Recorder,
    ) -> None:
        """Create an empty map."""
        self._registry = registry
        self._recorder = recorder
        self._applied_revision = 0
        self._ids: dict[int, str] = {}

    def update(self) -> None:
        """Assign cookies to upstreams that are new in the registry."""
        for entry in self._registry.changed_since(self._applied_revision):
            self._assign_cookie(entry.record)
        self._applied_revision = self._registry.revision

    def entry(self, cookie: int) -> registries.Entry | None:
        """Return the upstream of a cookie, None if it is unknown."""
        return self._registry.get(self._ids.get(cookie, ""))

    def has_own_cookie(self, record: records.Record) -> bool:
        """Return whether an upstream's cookie is mapped to it."""
        return self._ids.get(cookie_of(record)) == record.id

    def sweep(self) -> None:
        """Remove the cookies of removed upstreams if there are many."""
        if len(self._ids) > 2 * len(self._registry) + MAX_STALE_COOKIES:
            self._ids.clear()
            for entry in self._registry.entries():
                self._assign_cookie(entry.record)

    def _assign_cookie(self, record: records.Record) -> None:
        """Map an upstream's cookie to it, unless a lower id has it."""
        cookie = cookie_of(record)
        other = self._ids.get(cookie, record.id)
        if other == record.id or self._registry.get(other) is None:
            self._ids[cookie] = record.id
            return
        self._recorder.log_event(
            events.Event.COOKIE_SHARED,
            upstream=record.id,
            other=other,
        )
        # The lower id wins, so that all entry VMs agree whatever the order.
        self._ids[cookie] = min(other, record.id)


def cookie_of(record: records.Record) -> int:
    """Return the cookie of an upstream, 1 to 2**32 - 1."""
    text = f"{record.id} {record.address}:{record.port}"
    return xxhash.xxh32_intdigest(text.encode()) or 1
