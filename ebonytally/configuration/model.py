"""A configuration that operators replace as a whole."""

import zlib

import attrs

from ebonytally import wire


@attrs.frozen
class Target:
    """A service behind a route.

    :param weight: share of the route's new flows, relative to the others
    """

    service: str
    weight: int


@attrs.frozen
class Route:
    """An address and port that callers use.

    :param address: IPv4 address
    :param idempotent: callers may repeat its requests
    :param timeout_s: after this a caller waits no longer
    :param target_latency_s: answers are wanted within this
    :param priority: 0 is the most important
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
    """What the upstreams of a service have in common.

    :param max_flows: flows that one upstream holds
    :param cold_s: how long a fresh upstream is cold
    :param cold_rate: requests a second that a cold upstream bears
    """

    name: str
    max_flows: int
    cold_s: float
    cold_rate: float


@attrs.frozen
class Content:
    """What a configuration says.

    :param idle_timeout_s: silence after which a flow may be forgotten
    """

    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    idle_timeout_s: float


@wire.message(600)
@attrs.frozen
class Configuration:
    """A checked configuration as it is replicated.

    :param document: what the operator sent, compressed
    :param packed: the `Content`, compressed
    """

    version: int
    document: bytes
    packed: bytes

    def content(self) -> Content:
        """Return what it says."""
        return wire.unpack(zlib.decompress(self.packed), Content)

    def original(self) -> bytes:
        """Return what the operator sent, to the byte."""
        return zlib.decompress(self.document)


def configuration(
    version: int,
    content: Content,
    document: bytes,
) -> Configuration:
    """Return a configuration in its replicated form."""
    packed = zlib.compress(wire.pack(content))
    return Configuration(version, zlib.compress(document), packed)
