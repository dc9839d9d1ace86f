"""Messages by which entry VMs watch over each other."""

import enum

import attrs

from ebonytally import wire


class Health(enum.IntEnum):
    """What is thought of a VM; a higher value wins at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class Rumour:
    """An opinion about one VM, passed on a bounded number of times.

    :param incarnation: raised by the VM itself to refute a suspicion
    """

    name: str
    incarnation: int
    health: Health


@wire.message(1)
@attrs.frozen
class Ping:
    """Ask a VM for an acknowledgement.

    :param origin: VM on whose behalf it is asked, "" for the sender
    """

    seq: int
    origin: str = ""
    rumours: tuple[Rumour, ...] = ()


@wire.message(2)
@attrs.frozen
class Ack:
    """Answer to a ping; `about` names the VM that is alive."""

    seq: int
    about: str
    incarnation: int
    origin: str = ""
    rumours: tuple[Rumour, ...] = ()


@wire.message(3)
@attrs.frozen
class PingRequest:
    """Ask another VM to ping `target` on the sender's behalf."""

    seq: int
    target: str
    rumours: tuple[Rumour, ...] = ()
