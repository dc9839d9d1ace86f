"""Messages of the failure detector between entry VMs."""

import enum

import attrs

from ebonytally import wire


class Health(enum.IntEnum):
    """Health of a VM; a higher value wins at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class GossipUpdate:
    """Health of one VM, gossiped a bounded number of times.

    :param incarnation: raised by the VM itself to refute a suspicion
    """

    name: str
    incarnation: int
    health: Health


@wire.message(1)
@attrs.frozen
class Ping:
    """Ask a VM for an acknowledgement.

    :param origin: VM for which the sender probes, "" for itself
    :param updates: gossip carried along
    """

    seq: int
    origin: str = ""
    updates: tuple[GossipUpdate, ...] = ()


@wire.message(2)
@attrs.frozen
class Ack:
    """Acknowledge a `Ping`.

    :param about: the VM that was pinged and is alive
    :param incarnation: of that VM
    :param origin: VM to relay this to, "" for none
    """

    seq: int
    about: str
    incarnation: int
    origin: str = ""
    updates: tuple[GossipUpdate, ...] = ()


@wire.message(3)
@attrs.frozen
class PingRequest:
    """Ask another VM to ping `target` for the sender."""

    seq: int
    target: str
    updates: tuple[GossipUpdate, ...] = ()
