"""Suspicions of other entry VMs, by upstream.

Load condition: an upstream fails, but each entry VM sees only one of its
requests in a few seconds.
"""

from collections.abc import Mapping

from ebonytally.echo import cookies
from ebonytally.load import interfaces
from ebonytally.registry import registry as registries

# Cookies kept of upstreams that are gone, on top of twice the registered.
MAX_STALE = 1000


class SharedSuspicions:
    """Finds the upstreams that the cookies of suspicions name."""

    def __init__(
        self,
        registry: registries.Registry,
        shared: interfaces.SharedLoad | None,
    ) -> None:
        """Create a map without upstreams.

        :param shared: None without other entry VMs
        """
        self._registry = registry
        self._shared = shared
        self._revision = 0
        self._ids: dict[int, str] = {}

    def current(self, now: float) -> Mapping[str, interfaces.Suspicion]:
        """Return the suspicions by upstream id."""
        if self._shared is None:
            return {}
        suspicions = self._shared.suspicions(now)
        if not suspicions:
            return {}
        self._follow_registry()
        found = {}
        for cookie, suspicion in suspicions.items():
            id_ = self._ids.get(cookie)
            entry = None if id_ is None else self._registry.get(id_)
            # The upstream may be at another address now.
            if entry and cookies.cookie_of(entry.record) == cookie:
                found[entry.record.id] = suspicion
        return found

    def _follow_registry(self) -> None:
        if self._registry.revision == self._revision:
            return
        if len(self._ids) > 2 * len(self._registry) + MAX_STALE:
            self._ids.clear()
            self._revision = 0
        for entry in self._registry.changed_since(self._revision):
            self._ids[cookies.cookie_of(entry.record)] = entry.record.id
        self._revision = self._registry.revision
