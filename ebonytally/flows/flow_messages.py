"""Messages between entry VMs about flows and packets in hand."""

import struct

import attrs

from ebonytally import wire

FLOW = struct.Struct("!QI")
FLOW_BYTES = FLOW.size

_HEAD = struct.Struct("!BBIQ")

# Bits of PacketHop flags.
PLACED = 1
RECORD = 2
BEGINS = 4


@wire.message(200)
@attrs.define
class PacketHop:
    """A caller's packet on its way between entry VMs.

    The head is packed, as there is one for each packet: see `hop` and
    `unpack`.

    :param packet: raw IPv4
    """

    head: bytes
    packet: bytes


@attrs.define
class Hop:
    """The head of a PacketHop.

    :param hops: how many entry VMs sent it on so far
    :param flags: PLACED when the upstream is decided, RECORD when the
        receiver records it, BEGINS when the flow begins with it
    :param upstream: upstream id, 0 when it is not decided
    :param epoch: keeper epoch of the sender's view
    """

    hops: int
    flags: int
    upstream: int
    epoch: int


def hop(
    hops: int,
    flags: int,
    upstream: int,
    epoch: int,
    packet: bytes,
) -> PacketHop:
    """Return a packet with its head; see Hop for the arguments."""
    return PacketHop(_HEAD.pack(hops, flags, upstream, epoch), packet)


def unpack(msg: PacketHop) -> Hop | None:
    """Return the head of a packet, None when it is damaged."""
    if len(msg.head) != _HEAD.size:
        return None
    return Hop(*_HEAD.unpack(msg.head))


@wire.message(201)
@attrs.frozen
class FlowRefused:
    """A keeper says that a flow isn't at the base, or isn't known.

    The entry VM goes on sending its packets by way of the keeper.

    :param service: as `flow_packet.Parsed.service`
    :param flow: as `flow_packet.Parsed.flow`
    """

    service: int
    flow: int


@wire.message(202)
@attrs.frozen
class KeeperAsk:
    """Ask whether a peer knows of an epoch, and for its records.

    :param groups: bitmap of the slot groups whose records are wanted
    """

    epoch: int
    groups: bytes


@attrs.frozen
class ServiceRecords:
    """Flows of one service in one slot group.

    :param complete: these are all its live flows
    :param records: FLOW of each: hash, then upstream id and state
    """

    service: str
    complete: bool
    records: bytes


@attrs.frozen
class Promise:
    """An agreement of both keepers on where unrecorded flows go.

    :param since: `view.SlotState.since` that it holds for
    """

    service: str
    slot: int
    since: int
    base: int


@attrs.frozen
class GroupRecords:
    """All that one VM knows of one slot group.

    :param held: last keeper epoch in which it was a keeper of the group
    """

    group: int
    held: int
    services: tuple[ServiceRecords, ...] = ()
    promises: tuple[Promise, ...] = ()


@wire.message(203)
@attrs.frozen
class KeeperReport:
    """Answer to a KeeperAsk, from a peer that is in the same epoch.

    :param covered: bitmap of the groups that this answers for; others
        are asked for again
    """

    epoch: int
    covered: bytes
    groups: tuple[GroupRecords, ...]


@wire.message(204)
@attrs.frozen
class PinAsk:
    """Ask the other keeper to agree that all flows are at one upstream.

    :param slots: pairs of slot and `view.SlotState.since`, flattened
    """

    epoch: int
    service: str
    slots: tuple[int, ...]
    base: int


@wire.message(205)
@attrs.frozen
class PinAgreed:
    """The other keeper agrees for these slots, shaped as in PinAsk."""

    epoch: int
    service: str
    slots: tuple[int, ...]
    base: int
