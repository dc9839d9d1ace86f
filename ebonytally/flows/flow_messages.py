"""Messages between entry VMs: forwarded packets and flow records."""

import struct

import attrs

from ebonytally import wire

# One flow record: hash of the flow; upstream id << 2 | state.
FLOW = struct.Struct("!QI")
FLOW_BYTES = FLOW.size

_HOP_HEAD = struct.Struct("!BBIQ")

# Bits of HopHead.flags.
PLACED = 1
RECORD = 2
BEGINS = 4


@wire.message(200)
@attrs.define
class PacketHop:
    """A caller's packet, forwarded from one entry VM to another.

    The head is packed by `pack_hop` and read by `unpack_hop`: a nested
    message would cost too much for each packet.

    :param packet: raw IPv4
    """

    head: bytes
    packet: bytes


@attrs.define
class HopHead:
    """The head of a PacketHop.

    :param hops: number of entry VMs that have forwarded it
    :param flags: PLACED when the upstream is chosen, RECORD when the
        receiver must record the flow, BEGINS when a flow placed away
        from its slot's base begins with it
    :param upstream: upstream id, 0 when none is chosen
    :param epoch: owner epoch of the sender's view
    """

    hops: int
    flags: int
    upstream: int
    epoch: int


def pack_hop(
    hops: int,
    flags: int,
    upstream: int,
    epoch: int,
    packet: bytes,
) -> PacketHop:
    """Return a forwarded packet; see HopHead for the arguments."""
    return PacketHop(_HOP_HEAD.pack(hops, flags, upstream, epoch), packet)


def unpack_hop(msg: PacketHop) -> HopHead | None:
    """Return the head of a forwarded packet, None if it is malformed."""
    if len(msg.head) != _HOP_HEAD.size:
        return None
    return HopHead(*_HOP_HEAD.unpack(msg.head))


@wire.message(201)
@attrs.frozen
class FlowRefused:
    """An owner's notice that a flow is unknown or not at its slot's base.

    The receiver must send the flow's packets by way of an owner.

    :param service: as `flow_packet.Parsed.service`
    :param flow: as `flow_packet.Parsed.flow`
    """

    service: int
    flow: int


@wire.message(202)
@attrs.frozen
class KeeperAsk:
    """Request for flow records; a reply confirms the owner epoch.

    :param groups: bitmap of the slot groups whose records are wanted
    """

    epoch: int
    groups: bytes


@attrs.frozen
class ServiceRecords:
    """Flow records of one service in one slot group.

    :param complete: every live flow is among them
    :param records: packed FLOW structures
    """

    service: str
    complete: bool
    records: bytes


@attrs.frozen
class BaseAgreement:
    """An agreement of both owners on the upstream of unrecorded flows.

    :param since: `view.SlotState.base_revision` for which it is valid
    :param base: upstream id
    """

    service: str
    slot: int
    since: int
    base: int


@attrs.frozen
class GroupRecords:
    """The records and agreements of one slot group at one VM.

    :param last_owned: last owner epoch in which the VM had all records
        of the group as one of its owners, -1 for never
    """

    group: int
    last_owned: int
    services: tuple[ServiceRecords, ...] = ()
    agreements: tuple[BaseAgreement, ...] = ()


@wire.message(203)
@attrs.frozen
class KeeperReport:
    """Reply to a KeeperAsk, from a peer that is in the same epoch.

    :param covered: bitmap of the slot groups that this reply answers
        for; the others must be requested again
    """

    epoch: int
    covered: bytes
    groups: tuple[GroupRecords, ...]


@wire.message(204)
@attrs.frozen
class PinAsk:
    """Request to the other owner to agree on the base of tracked slots.

    :param slots: pairs of slot and `view.SlotState.base_revision`, flattened
    :param base: upstream that has all flows of these slots
    """

    epoch: int
    service: str
    slots: tuple[int, ...]
    base: int


@wire.message(205)
@attrs.frozen
class PinAgreed:
    """The slots of a PinAsk that the other owner agrees on.

    :param slots: as in PinAsk
    """

    epoch: int
    service: str
    slots: tuple[int, ...]
    base: int
