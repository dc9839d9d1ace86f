"""Records of upstreams, their order by age, and gossip messages."""

import enum

import attrs

from ebonytally import wire


class State(enum.IntEnum):
    """State of an upstream; the higher, the less it may be used."""

    READY = 0
    SILENT = 1
    DRAINING = 2
    GONE = 3


@attrs.frozen
class Announcement:
    """An upstream's description of itself, sent periodically.

    :param id: identifier chosen by the upstream
    :param born_ms: its start, milliseconds since 1970; 0 if not given
    :param sequence: increases with each announcement since the start
    :param slots: requests that it can run concurrently
    :param cold_for_s: seconds until it can handle its full load
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
    """An upstream as VMs describe it to each other.

    :param source: control VM that receives its announcements
    :param cold_for_s: seconds until it is warm, counted from sending
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
        """Return a key that orders records of one id by age.

        The newer record has the greater key. An upstream that has left
        returns only with a new start, however late announcements arrive.
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
    """Send records to another control VM."""

    records: tuple[Record, ...]


@wire.message(621)
@attrs.frozen
class Digest:
    """Send a digest of the registry, so that differences are detected.

    :param records: digest of all records
    :param followers: number of entry VMs that follow this control VM
    :param leader: leader that it follows, "" for none
    """

    records: int
    followers: int
    leader: str


@wire.message(622)
@attrs.frozen
class BucketDigests:
    """Ask another control VM for its records in the buckets that differ.

    :param buckets: digest of each bucket of the sender's registry
    """

    buckets: tuple[int, ...]
