"""Messages between entry VMs and the control VMs that they follow."""

import attrs

from ebonytally.register import records
from ebonytally import wire


@wire.message(640)
@attrs.frozen
class Poll:
    """Ask a control VM for what changed.

    :param asked: number of the poll, returned with the answer
    :param start: of the control VM, as it said last; 0 for unknown
    :param revision: of its register, up to which all is known
    :param version: configuration in force at the entry VM
    :param out_revision: of the data centres taken out
    :param primary: this control VM is the one mainly followed
    """

    asked: int
    start: int
    revision: int
    version: int
    out_revision: int
    primary: bool


@wire.message(641)
@attrs.frozen
class Update:
    """Answer a poll with changed records.

    :param start: tells starts of the control VM apart
    :param since: revision after which the records changed
    :param revision: of the register, up to which all is told
    :param more: not everything fitted in
    :param version: newest configuration that the control VM holds
    :param out: data centres taken out, None if the poll knew
    :param control_vms: all that the control VM knows, with itself
    :param in_touch: it follows a leader, or is one
    :param entry_vms: how many entry VMs there are about
    """

    asked: int
    start: int
    since: int
    revision: int
    more: bool
    records: tuple[records.Record, ...]
    version: int
    out_revision: int
    out: tuple[str, ...] | None
    control_vms: tuple[str, ...]
    in_touch: bool
    entry_vms: int


@wire.message(642)
@attrs.frozen
class PartWanted:
    """Ask for a part of the change from one configuration to a newer.

    :param base: version that the entry VM has, 0 for none
    """

    base: int
    version: int
    part: int


@wire.message(643)
@attrs.frozen
class Part:
    """A part of a packed `changes.Change`.

    :param base: version that the change starts from, 0 for nothing
    """

    base: int
    version: int
    part: int
    parts: int
    data: bytes


@wire.message(644)
@attrs.frozen
class Started:
    """Tell an entry VM that a control VM has started and answers polls.

    :param start: of the control VM
    """

    start: int
