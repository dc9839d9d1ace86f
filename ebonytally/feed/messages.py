"""Messages between entry VMs and the control VMs that they follow."""

import attrs

from ebonytally.registry import records
from ebonytally import wire


@wire.message(640)
@attrs.frozen
class Poll:
    """Ask a control VM for changes.

    :param poll_number: number of the poll, repeated in the answer
    :param start: last known start number of the control VM, 0 if unknown
    :param revision: revision of its registry up to which all is known
    :param version: version of the configuration in force at the entry VM
    :param out_revision: known revision of the data centres taken out
    :param primary: the entry VM mainly follows this control VM
    :param digest: digest of the entry VM's registry; one that is equal
        needs no records
    :param follows: control VM that the entry VM mainly follows and that
        tells it of upstreams that are ready, "" if this one must
    :param stops_revision: revision of the polled control VM's registry up
        to which all is known except for upstreams that are ready
    """

    poll_number: int
    start: int
    revision: int
    version: int
    out_revision: int
    primary: bool
    digest: int = 0
    follows: str = ""
    stops_revision: int = 0


@wire.message(641)
@attrs.frozen
class Update:
    """Answer a poll with changed records.

    :param poll_number: number of the poll that is answered
    :param start: start number of the control VM
    :param since: revision since which the records have changed
    :param revision: revision of the registry up to which all is sent
    :param more: further records have changed that didn't fit in
    :param version: newest configuration version of the control VM
    :param out: data centres taken out, None if known to the poller
    :param control_vms: names of all known control VMs, itself included
    :param in_touch: it follows a leader, or is one
    :param entry_vms: approximate number of entry VMs
    :param partial: upstreams that are ready were left out
    """

    poll_number: int
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
    partial: bool = False


@wire.message(642)
@attrs.frozen
class PartWanted:
    """Request a part of the change from one configuration to a newer.

    :param base: version that the entry VM has, 0 for none
    :param version: version that the change leads to
    :param part: index of the part, from 0
    """

    base: int
    version: int
    part: int


@wire.message(643)
@attrs.frozen
class Part:
    """Send a part of a packed `changes.Change`.

    :param base: version that the change starts from, 0 for none
    :param part: index of the part, from 0
    :param parts: number of parts
    """

    base: int
    version: int
    part: int
    parts: int
    data: bytes


@wire.message(644)
@attrs.frozen
class Started:
    """Notify an entry VM that a control VM has started and answers polls.

    :param start: start number of the control VM
    """

    start: int


@wire.message(645)
@attrs.frozen
class RecordsWanted:
    """Ask a control VM what it knows of some upstreams."""

    ids: tuple[str, ...]


@wire.message(646)
@attrs.frozen
class Records:
    """Answer `RecordsWanted` with the records that are known."""

    records: tuple[records.Record, ...]
