"""Data model of a configuration, which operators replace as a whole."""

import zlib

import attrs

from ebonytally import wire


@attrs.frozen
class Target:
    """A service that a route distributes flows to.

    :param weight: share of new flows, relative to the other targets
    """

    service: str
    weight: int


@attrs.frozen
class Route:
    """An address and port to which callers connect.

    :param address: IPv4 address
    :param idempotent: its requests may be repeated safely
    :param timeout_s: seconds that callers wait for an answer
    :param target_latency_s: answers should arrive within this time
    :param priority: priority class, 0 is the highest
    """

    name: str
    address: str
    port: int
    targets: tuple[Target, ...]
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int


@attrs.frozen
class Service:
    """Properties shared by all upstreams of a service.

    :param max_flows: flows that one upstream can hold
    :param cold_s: seconds that a newly started upstream is cold
    :param cold_rate: requests per second that a cold upstream can handle
    """

    name: str
    max_flows: int
    cold_s: float
    cold_rate: float


@attrs.frozen
class Content:
    """Decoded content of a configuration.

    :param idle_timeout_s: seconds without packets after which the record
        of a flow may be dropped
    """

    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    idle_timeout_s: float


@attrs.frozen
class _ContentWithoutRoutes:
    """A `Content` whose routes, most of it, are left undecoded."""

    routes: tuple
    services: tuple[Service, ...]
    idle_timeout_s: float


@wire.message(600)
@attrs.frozen
class Configuration:
    """A validated configuration in the form that is replicated.

    :param document: document sent by the operator, zlib-compressed
    :param packed: serialised `Content`, zlib-compressed
    """

    version: int
    document: bytes
    packed: bytes

    def content(self) -> Content:
        """Return the decoded content."""
        return wire.unpack(zlib.decompress(self.packed), Content)

    def service_names(self) -> frozenset[str]:
        """Return the names of the services; much faster than `content`."""
        data = zlib.decompress(self.packed)
        services = wire.unpack(data, _ContentWithoutRoutes).services
        return frozenset(service.name for service in services)

    def original_document(self) -> bytes:
        """Return exactly the bytes that the operator sent."""
        return zlib.decompress(self.document)


def configuration(
    version: int,
    content: Content,
    document: bytes,
) -> Configuration:
    """Return a configuration in the form that is replicated."""
    packed = zlib.compress(wire.pack(content))
    return Configuration(version, zlib.compress(document), packed)
