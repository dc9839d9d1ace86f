"""Messages that disseminate revisions and leases to entry VMs."""

import attrs

from ebonytally import wire


@wire.message(10)
@attrs.frozen
class Lease:
    """Renew the configuration lease of a child in the tree.

    :param leader: leader of the log that grants the lease
    :param revision: newest revision that the sender has applied
    :param left_s: seconds left on the sender's own lease
    :param echo: stamp of the child's last report to the sender, on the
        child's clock, -1 for none; the child's lease ends at echo + left_s
    :param seq: number of the grant by its leader
    :param excluded: VMs that must not get a lease from any VM
    """

    term: int
    leader: str
    revision: int
    left_s: float
    echo: float
    seq: int
    excluded: tuple[str, ...] = ()


@wire.message(11)
@attrs.frozen
class Report:
    """Acknowledge a lease, or request one.

    :param stamp: the sender's clock when it sent this
    :param applied: newest revision that the sender has applied
    :param names: CRC-32 of the sorted VM names that the bitmaps index
    :param heard: bitmap of the sender and the VMs below it in the tree
    :param current: bitmap of the VMs that have applied `revision`
    :param revision: revision that `current` refers to
    """

    stamp: float
    applied: int
    names: int = 0
    heard: bytes = b""
    current: bytes = b""
    revision: int = 0


@wire.message(12)
@attrs.frozen
class Pull:
    """Request all commands after a revision."""

    after: int


@wire.message(13)
@attrs.frozen
class Entries:
    """Commands of consecutive revisions.

    :param first: revision that the first command leads to
    :param commands: packed commands, one per revision
    """

    first: int
    commands: tuple[bytes, ...]


@wire.message(14)
@attrs.frozen
class WholeView:
    """The whole view, zlib-compressed, for a VM that is far behind."""

    revision: int
    data: bytes


@wire.message(20)
@attrs.frozen
class Forwarded:
    """Forward a proposal to a control VM."""

    token: str
    command: bytes


@wire.message(21)
@attrs.frozen
class ForwardedEnd:
    """Return the outcome of a forwarded proposal.

    :param reason: a `reasons.Refusal` if not ok
    :param result: packed result of the state machine, b"" for none
    """

    token: str
    ok: bool
    reason: str = ""
    result: bytes = b""
