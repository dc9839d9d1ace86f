"""Records of upstreams, and which of two is the newer."""

import enum

import attrs

from ebonytally import wire


class State(enum.IntEnum):
    """What is known of an upstream, by how much it may be used."""

    READY = 0
    SILENT = 1
    DRAINING = 2
    GONE = 3


@attrs.frozen
class Announcement:
    """What an upstream says of itself.

    :param id: name that it chose
    :param born_ms: its start, milliseconds since 1970; 0 when not told
    :param sequence: grows with each announcement of one start
    :param slots: requests that it runs at the same time
    :param cold_for_s: how much longer it bears only a little
    """

    id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    cold_for_s: float


@attrs.frozen
class Record:
    """An upstream as VMs tell each other.

    :param source: control VM that hears its announcements
    :param cold_for_s: how much longer it is cold, when this was sent
    """

    id: str
    born_ms: int
    sequence: int
    state: State
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    source: str
    cold_for_s: float = 0.0

    @property
    def rank(self) -> tuple[int, bool, int, bool, str]:
        """Return what the newer of two records of one id has more of.

        What has left doesn't come back without a new start, however
        late its announcements arrive.
        """
        return (
            self.born_ms,
            self.state == State.GONE,
            self.sequence,
            self.state == State.SILENT,
            self.source,
        )


@wire.message(620)
@attrs.frozen
class RecordsChanged:
    """Tell another control VM of records."""

    records: tuple[Record, ...]


@wire.message(621)
@attrs.frozen
class Digest:
    """Say what this control VM holds, so that gaps are noticed.

    :param records: digest of all records
    :param followers: entry VMs that follow this control VM
    :param leader: leader that it follows, "" for none
    """

    records: int
    followers: int
    leader: str
