"""Messages that bring revisions and leases to every entry VM."""

import attrs

from ebonytally import wire


@wire.message(10)
@attrs.frozen
class Lease:
    """Renew the configuration lease of a child in the spread tree.

    :param leader: leader of the log that grants it
    :param revision: newest revision that the sender has applied
    :param left_s: time left on the sender's own lease
    :param echo: stamp of the child's last report that the sender got,
        on the child's clock; the child's lease ends at echo + left_s
    :param seq: number of the grant by its leader
    :param excluded: VMs that must get no lease from anyone
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
    """Answer to a lease, and the question for one.

    :param stamp: the sender's clock when it sent this
    :param applied: newest revision that the sender has applied
    :param names: checksum over the VM names that the bitmaps count
    :param heard: bitmap of the VMs below and at the sender
    :param current: bitmap of those that have applied `revision`
    :param revision: revision that `current` is about
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
    """Ask for everything after a revision."""

    after: int


@wire.message(13)
@attrs.frozen
class Entries:
    """Commands that follow each other.

    :param first: revision that the first command leads to
    :param commands: packed commands, one a revision
    """

    first: int
    commands: tuple[bytes, ...]


@wire.message(14)
@attrs.frozen
class WholeView:
    """A whole view, compressed, for a VM that is far behind."""

    revision: int
    data: bytes


@wire.message(20)
@attrs.frozen
class Forwarded:
    """A proposal on its way to a control VM."""

    token: str
    command: bytes


@wire.message(21)
@attrs.frozen
class ForwardedEnd:
    """How a forwarded proposal ended.

    :param result: packed answer of the state machine, b"" for none
    """

    token: str
    ok: bool
    reason: str = ""
    result: bytes = b""
