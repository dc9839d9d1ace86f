"""An owner's records of flows: upstream, state and last activity.

A record is packed into one integer: upstream id, state and the time
bucket of the last activity. Flows with equal records share one integer
object, so that a flow costs only its key and a dict entry.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import enum
import math

import attrs

_BUCKET_BITS = 16
_BUCKET_MASK = (1 << _BUCKET_BITS) - 1
_STATE_MASK = 3
_UPSTREAM_SHIFT = _BUCKET_BITS + 2
_BUCKETS_PER_LINGER = 2
_BUCKETS_PER_IDLE = 12
REFRESHES_PER_IDLE = 3


class State(enum.IntEnum):
    """State of a flow.

    An OPENING flow is one of which only the first packet was seen.
    """

    OPENING = 0
    OPEN = 1
    ENDED = 2


@attrs.define
class Record:
    """An unpacked record.

    :param upstream: upstream id
    :param bucket: time bucket of the last activity
    """

    upstream: int
    state: State
    bucket: int


def _pack_value(upstream: int, state: int, bucket: int) -> int:
    """Return a record as one integer."""
    return upstream << _UPSTREAM_SHIFT | state << _BUCKET_BITS | bucket


class Records:
    """Flow records by service, slot and flow hash, with expiry."""

    def __init__(
        self,
        idle_s: float,
        linger_s: float,
        on_open_change: Callable[[str, int, int, int], None],
        is_usable: Callable[[str, int], bool],
    ) -> None:
        """Create an empty set of records.

        :param idle_s: seconds without packets after which a flow expires
        :param linger_s: seconds for which a record of an ended flow stays
        :param on_open_change: called with service, slot, upstream and +1
            or -1 when a flow opens or is no longer open
        :param is_usable: returns for service and upstream whether it may
            get packets; flows at others have ended
        """
        self._is_usable = is_usable
        self._bucket_s = min(
            linger_s / _BUCKETS_PER_LINGER,
            idle_s / _BUCKETS_PER_IDLE,
        )
        # A live flow's record may be two refresh intervals behind.
        expire_s = idle_s * (1 + 2 / REFRESHES_PER_IDLE)
        self._open_buckets = math.ceil(expire_s / self._bucket_s) + 1
        self._ended_buckets = math.ceil(linger_s / self._bucket_s) + 1
        refresh_s = idle_s / REFRESHES_PER_IDLE
        self._refresh_buckets = max(1, int(refresh_s / self._bucket_s) - 1)
        self._slots: dict[str, list[dict[int, int] | None]] = {}
        self._interned: dict[int, int] = {}
        self._on_open_change = on_open_change
        self._sweeper: Iterator[None] = iter(())
        self._swept_at = 0.0

    def add_service(self, name: str, slots: int) -> None:
        """Add a service, or empty it if its number of slots differs."""
        if len(self._slots.get(name, ())) != slots:
            self.drop_service(name)
            self._slots[name] = [None] * slots

    def drop_service(self, name: str) -> None:
        """Remove a service and all records of its flows."""
        for slot, flows in enumerate(self._slots.pop(name, ())):
            for value in (flows or {}).values():
                self._count(name, slot, value, -1)

    def get(self, service: str, slot: int, flow: int) -> Record | None:
        """Return the record of a flow, None if there is none."""
        flows = self._slots[service][slot]
        value = flows.get(flow) if flows else None
        if value is None:
            return None
        return Record(
            value >> _UPSTREAM_SHIFT,
            State(value >> _BUCKET_BITS & _STATE_MASK),
            value & _BUCKET_MASK,
        )

    def put(
        self,
        service: str,
        slot: int,
        flow: int,
        upstream: int,
        state: State,
        now: float,
    ) -> None:
        """Store a flow as active at `now`."""
        flows = self._slots[service][slot]
        if flows is None:
            flows = self._slots[service][slot] = {}
        value = _pack_value(upstream, state, self._bucket(now))
        previous = flows.get(flow)
        if previous == value:
            return
        if previous is not None:
            self._count(service, slot, previous, -1)
        flows[flow] = self._interned.setdefault(value, value)
        self._count(service, slot, value, 1)

    def remove(self, service: str, slot: int, flow: int) -> None:
        """Remove the record of a flow, if there is one."""
        flows = self._slots[service][slot]
        value = flows.pop(flow, None) if flows else None
        if value is not None:
            self._count(service, slot, value, -1)

    def needs_refresh(self, record: Record, now: float) -> bool:
        """Return whether the last activity must be stored again."""
        age = (self._bucket(now) - record.bucket) & _BUCKET_MASK
        return age >= self._refresh_buckets

    def upstreams(self, service: str, slot: int) -> frozenset[int]:
        """Return the upstreams of a slot's recorded flows, also ended ones."""
        flows = self._slots[service][slot] or {}
        return frozenset(
            value >> _UPSTREAM_SHIFT for value in set(flows.values())
        )

    def flows(
        self,
        service: str,
        slot: int,
    ) -> list[tuple[int, int, State]]:
        """Return flow hash, upstream and state of each flow of a slot."""
        flows = self._slots[service][slot] or {}
        return [
            (
                flow,
                value >> _UPSTREAM_SHIFT,
                State(value >> _BUCKET_BITS & _STATE_MASK),
            )
            for flow, value in flows.items()
        ]

    def size(self, service: str, slot: int) -> int:
        """Return the number of recorded flows of a slot."""
        return len(self._slots[service][slot] or ())

    def __len__(self) -> int:
        """Return the number of recorded flows."""
        return sum(
            len(flows)
            for slots in self._slots.values()
            for flows in slots
            if flows
        )

    def sweep(self, now: float) -> None:
        """Remove flows that have been idle or ended for long.

        Flows at upstreams that may get no packets are marked as ended.
        Each call does a share of the slots, by the time since the last
        call, so that all are done within one time bucket.
        """
        total = sum(len(slots) for slots in self._slots.values())
        share = (now - self._swept_at) / self._bucket_s
        steps = min(total, math.ceil(total * share))
        self._swept_at = now
        for _ in range(steps):
            if next(self._sweeper, self) is self:
                self._interned.clear()
                self._sweeper = self._sweep_steps()
                next(self._sweeper, None)

    def _sweep_steps(self) -> Iterator[None]:
        """Sweep all slots, one for each step of the iterator."""
        for service in list(self._slots):
            for slot in range(len(self._slots.get(service, ()))):
                slots = self._slots.get(service)
                if slots is None or slot >= len(slots):
                    break
                if slots[slot]:
                    self._sweep_slot(service, slot, slots[slot])
                    if not slots[slot]:
                        slots[slot] = None
                yield

    def _sweep_slot(
        self,
        service: str,
        slot: int,
        flows: dict[int, int],
    ) -> None:
        bucket = self._bucket(self._swept_at)
        expired = set()
        ended = {}
        for value in set(flows.values()):
            if self._is_expired(value, bucket):
                expired.add(value)
            elif self._is_upstream_unusable(service, value):
                upstream = value >> _UPSTREAM_SHIFT
                new_value = _pack_value(upstream, State.ENDED, bucket)
                ended[value] = self._interned.setdefault(new_value, new_value)
        if not expired and not ended:
            return
        for flow, value in list(flows.items()):
            if value in expired:
                del flows[flow]
            elif value in ended:
                flows[flow] = ended[value]
            else:
                continue
            self._count(service, slot, value, -1)

    def _is_upstream_unusable(self, service: str, value: int) -> bool:
        if value >> _BUCKET_BITS & _STATE_MASK == State.ENDED:
            return False
        return not self._is_usable(service, value >> _UPSTREAM_SHIFT)

    def _is_expired(self, value: int, bucket: int) -> bool:
        age = (bucket - value) & _BUCKET_MASK
        if value >> _BUCKET_BITS & _STATE_MASK == State.OPEN:
            return age > self._open_buckets
        return age > self._ended_buckets

    def _bucket(self, now: float) -> int:
        return int(now / self._bucket_s) & _BUCKET_MASK

    def _count(self, service: str, slot: int, value: int, delta: int) -> None:
        if value >> _BUCKET_BITS & _STATE_MASK != State.ENDED:
            self._on_open_change(
                service, slot, value >> _UPSTREAM_SHIFT, delta
            )


class Counts:
    """Number of open flows of upstreams, by slot group and owner role."""

    def __init__(self, groups: int) -> None:
        """Create zero counts for `groups` slot groups, without roles."""
        self._by_group = [collections.Counter() for _ in range(groups)]
        self._roles: list[tuple[frozenset[int], collections.Counter]] = []

    def set_roles(self, *roles: frozenset[int]) -> None:
        """Set the slot groups of each role and compute their totals."""
        self._roles = []
        for groups in roles:
            total = collections.Counter()
            for group in groups:
                total.update(self._by_group[group])
            self._roles.append((groups, total))

    def add(self, group: int, upstream: int, delta: int) -> None:
        """Add `delta` to the open flows of an upstream in a group."""
        self._by_group[group][upstream] += delta
        for groups, total in self._roles:
            if group in groups:
                total[upstream] += delta

    def open_at(self, role: int, upstream: int) -> int:
        """Return an upstream's open flows in the groups of a role."""
        return self._roles[role][1][upstream]

    def open_by_upstream(self, role: int) -> dict[int, int]:
        """Return the nonzero counts of open flows by upstream id."""
        return {
            id_: count for id_, count in self._roles[role][1].items() if count
        }
