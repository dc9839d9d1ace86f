"""Cookies: 32 bits in a flow's packets that identify its upstream."""

import xxhash

from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally.register import records
from ebonytally.register import register as registers

# Allowed cookies of removed upstreams, on top of twice the number known.
MAX_STALE_COOKIES = 1000


class Cookies:
    """Maps cookies to upstreams, equally at all entry VMs."""

    def __init__(
        self,
        register: registers.Register,
        recorder: recorders.Recorder,
    ) -> None:
        """Create an empty map."""
        self._register = register
        self._recorder = recorder
        self._applied_revision = 0
        self._ids: dict[int, str] = {}

    def update(self) -> None:
        """Assign cookies to upstreams that are new in the registry."""
        for entry in self._register.changed_since(self._applied_revision):
            self._assign_cookie(entry.record)
        self._applied_revision = self._register.revision

    def entry(self, cookie: int) -> registers.Entry | None:
        """Return the upstream of a cookie, None if it is unknown."""
        return self._register.get(self._ids.get(cookie, ""))

    def has_own_cookie(self, record: records.Record) -> bool:
        """Return whether an upstream's cookie is mapped to it."""
        return self._ids.get(cookie_of(record)) == record.id

    def sweep(self) -> None:
        """Remove the cookies of removed upstreams if there are many."""
        if len(self._ids) > 2 * len(self._register) + MAX_STALE_COOKIES:
            self._ids.clear()
            for entry in self._register.entries():
                self._assign_cookie(entry.record)

    def _assign_cookie(self, record: records.Record) -> None:
        """Map an upstream's cookie to it, unless a lower id has it."""
        cookie = cookie_of(record)
        other = self._ids.get(cookie, record.id)
        if other == record.id or self._register.get(other) is None:
            self._ids[cookie] = record.id
            return
        self._recorder.event(
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
