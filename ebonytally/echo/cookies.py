"""Cookies: 32 bits in a flow's packets that name its upstream."""

import xxhash

from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally.register import records
from ebonytally.register import register as registers

# Cookies of forgotten upstreams that may be kept besides the known ones.
MAX_STALE = 1000


class Cookies:
    """Names upstreams by cookies, alike at all entry VMs."""

    def __init__(
        self,
        register: registers.Register,
        recorder: recorders.Recorder,
    ) -> None:
        """Start without any."""
        self._register = register
        self._recorder = recorder
        self._seen = 0
        self._ids: dict[int, str] = {}

    def learn(self) -> None:
        """Name the upstreams that the register has learned of."""
        for entry in self._register.changed_since(self._seen):
            self._name(entry.record)
        self._seen = self._register.revision

    def entry(self, cookie: int) -> registers.Entry | None:
        """Return the upstream that a cookie names, None if unknown."""
        return self._register.get(self._ids.get(cookie, ""))

    def is_owner(self, record: records.Record) -> bool:
        """Return whether an upstream's cookie names it and no other."""
        return self._ids.get(cookie_of(record)) == record.id

    def sweep(self) -> None:
        """Drop the cookies of forgotten upstreams if there are many."""
        if len(self._ids) > 2 * len(self._register) + MAX_STALE:
            self._ids.clear()
            for entry in self._register.entries():
                self._name(entry.record)

    def _name(self, record: records.Record) -> None:
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
        # The first by name has it, whichever was heard of first.
        self._ids[cookie] = min(other, record.id)


def cookie_of(record: records.Record) -> int:
    """Return the cookie of an upstream, 1 to 2**32 - 1."""
    text = f"{record.id} {record.address}:{record.port}"
    return xxhash.xxh32_intdigest(text.encode()) or 1
