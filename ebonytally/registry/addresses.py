"""Index of upstreams by their address and port."""

import collections

from ebonytally.registry import records


class AddressIndex:
    """Ids of the upstreams at each address.

    There may be several: an upstream that crashed stays in the registry
    while another one starts at its address.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._ids: collections.defaultdict[tuple[str, int], set[str]] = (
            collections.defaultdict(set)
        )

    def add(self, record: records.Record) -> None:
        """Add an upstream at its address."""
        self._ids[record.address, record.port].add(record.id)

    def remove(self, record: records.Record) -> None:
        """Remove an upstream from its address, if it is there."""
        address = (record.address, record.port)
        ids = self._ids.get(address)
        if ids is None:
            return
        ids.discard(record.id)
        if not ids:
            del self._ids[address]

    def others_at(self, record: records.Record) -> list[str]:
        """Return the ids of the other upstreams at a record's address."""
        ids = self._ids.get((record.address, record.port), set())
        return sorted(ids - {record.id})
