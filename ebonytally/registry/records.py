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


@wire.flat
@attrs.frozen
class Record:
    """An upstream as VMs describe it to each other.

    :param source: control VM that receives its announcements as far as
        the sender knows; of a silence, the control VM that found it
    :param cold_for_s: seconds until it is warm, counted from sending
    :param lost: of a silence, the control VM that received the
        announcements, if another one found the silence because that one
        is lost; else ""
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
    lost: str = ""

    @property
    def rank(self) -> tuple:
        """Return a key that orders records of one id by age.

        The newer record has the greater key. An upstream that has left
        returns only with a new start, however late announcements arrive.
        Who receives the announcements is no difference.
        """
        is_silent = self.state == State.SILENT
        return (
            self.born_ms,
            self.state == State.GONE,
            self.sequence,
            is_silent,
            is_silent and not self.lost,
            self.state,
            self.service,
            self.address,
            self.port,
        )


@wire.message(620)
@attrs.frozen
class RecordsChanged:
    """Send records to another control VM."""

    records: tuple[Record, ...]


@wire.message(623)
@attrs.frozen
class AnnouncementsMoved:
    """Tell which upstreams announce themselves to the sender from now on.

    :param moved: id, start and last sequence of each
    """

    moved: tuple[tuple[str, int, int], ...]


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
