"""Which upstream each flow of a keeper's slots goes to.

A record is one integer, shared by all flows with the same one: upstream
id, state and the time bucket in which the flow was last heard of. A flow
then costs its key and a dict entry.
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
    """Where a flow is in its life.

    OPENING is a flow of which only the first packet was seen.
    """

    OPENING = 0
    OPEN = 1
    ENDED = 2


@attrs.define
class Record:
    """A record taken apart.

    :param bucket: when it was last heard of
    """

    upstream: int
    state: State
    bucket: int


def _joined(upstream: int, state: int, bucket: int) -> int:
    return upstream << _UPSTREAM_SHIFT | state << _BUCKET_BITS | bucket


class Records:
    """Flows by service, slot and hash, aged by time buckets."""

    def __init__(
        self,
        idle_s: float,
        linger_s: float,
        changed: Callable[[str, int, int, int], None],
        stands: Callable[[str, int], bool],
    ) -> None:
        """Start empty.

        :param changed: called with service, slot, upstream and +1 or -1
            when a flow opens or is no longer open
        :param stands: tells for service and upstream whether it may get
            packets; flows at others have ended
        """
        self._stands = stands
        self._bucket_s = min(
            linger_s / _BUCKETS_PER_LINGER,
            idle_s / _BUCKETS_PER_IDLE,
        )
        # A touch may be as old as two refreshes when silence begins.
        longest = idle_s * (1 + 2 / REFRESHES_PER_IDLE)
        self._open_for = math.ceil(longest / self._bucket_s) + 1
        self._ended_for = math.ceil(linger_s / self._bucket_s) + 1
        refresh_s = idle_s / REFRESHES_PER_IDLE
        self._refresh = max(1, int(refresh_s / self._bucket_s) - 1)
        self._slots: dict[str, list[dict[int, int] | None]] = {}
        self._shared: dict[int, int] = {}
        self._changed = changed
        self._sweeper: Iterator[None] = iter(())
        self._swept_at = 0.0

    def add_service(self, name: str, slots: int) -> None:
        """Prepare a service with this many slots."""
        if len(self._slots.get(name, ())) != slots:
            self.drop_service(name)
            self._slots[name] = [None] * slots

    def drop_service(self, name: str) -> None:
        """Forget all flows of a service."""
        for slot, flows in enumerate(self._slots.pop(name, ())):
            for value in (flows or {}).values():
                self._count(name, slot, value, -1)

    def get(self, service: str, slot: int, flow: int) -> Record | None:
        """Return the record of a flow."""
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
        """Note a flow as heard of now."""
        flows = self._slots[service][slot]
        if flows is None:
            flows = self._slots[service][slot] = {}
        value = _joined(upstream, state, self._bucket(now))
        before = flows.get(flow)
        if before == value:
            return
        if before is not None:
            self._count(service, slot, before, -1)
        flows[flow] = self._shared.setdefault(value, value)
        self._count(service, slot, value, 1)

    def remove(self, service: str, slot: int, flow: int) -> None:
        """Forget a flow."""
        flows = self._slots[service][slot]
        value = flows.pop(flow, None) if flows else None
        if value is not None:
            self._count(service, slot, value, -1)

    def due(self, record: Record, now: float) -> bool:
        """Tell whether a flow should be noted again."""
        age = (self._bucket(now) - record.bucket) & _BUCKET_MASK
        return age >= self._refresh

    def upstreams(self, service: str, slot: int) -> frozenset[int]:
        """Return the upstreams of all flows of a slot, ended ones too."""
        flows = self._slots[service][slot] or {}
        return frozenset(
            value >> _UPSTREAM_SHIFT for value in set(flows.values())
        )

    def flows(
        self,
        service: str,
        slot: int,
    ) -> list[tuple[int, int, State]]:
        """Return flow, upstream and state of each flow of a slot."""
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
        """Return the number of flows of a slot."""
        return len(self._slots[service][slot] or ())

    def __len__(self) -> int:
        """Return the number of flows."""
        return sum(
            len(flows)
            for slots in self._slots.values()
            for flows in slots
            if flows
        )

    def sweep(self, now: float) -> None:
        """Forget flows that are silent or ended for long.

        Flows at upstreams that may get no packet end. Does a part of the
        slots in each call, all of them within one time bucket.
        """
        total = sum(len(slots) for slots in self._slots.values())
        part = (now - self._swept_at) / self._bucket_s
        due = min(total, math.ceil(total * part))
        self._swept_at = now
        for _ in range(due):
            if next(self._sweeper, self) is self:
                self._shared.clear()
                self._sweeper = self._sweeps()
                next(self._sweeper, None)

    def _sweeps(self) -> Iterator[None]:
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
        old = set()
        ended = {}
        for value in set(flows.values()):
            if self._is_old(value, bucket):
                old.add(value)
            elif self._is_stranded(service, value):
                upstream = value >> _UPSTREAM_SHIFT
                code = _joined(upstream, State.ENDED, bucket)
                ended[value] = self._shared.setdefault(code, code)
        if not old and not ended:
            return
        for flow, value in list(flows.items()):
            if value in old:
                del flows[flow]
            elif value in ended:
                flows[flow] = ended[value]
            else:
                continue
            self._count(service, slot, value, -1)

    def _is_stranded(self, service: str, value: int) -> bool:
        if value >> _BUCKET_BITS & _STATE_MASK == State.ENDED:
            return False
        return not self._stands(service, value >> _UPSTREAM_SHIFT)

    def _is_old(self, value: int, bucket: int) -> bool:
        age = (bucket - value) & _BUCKET_MASK
        if value >> _BUCKET_BITS & _STATE_MASK == State.OPEN:
            return age > self._open_for
        return age > self._ended_for

    def _bucket(self, now: float) -> int:
        return int(now / self._bucket_s) & _BUCKET_MASK

    def _count(self, service: str, slot: int, value: int, by: int) -> None:
        if value >> _BUCKET_BITS & _STATE_MASK != State.ENDED:
            self._changed(service, slot, value >> _UPSTREAM_SHIFT, by)


class Counts:
    """Open flows for each upstream, by slot group and by keeper's role."""

    def __init__(self, groups: int) -> None:
        """Start with no flow and no role."""
        self._by_group = [collections.Counter() for _ in range(groups)]
        self._roles: list[tuple[frozenset[int], collections.Counter]] = []

    def roles(self, *roles: frozenset[int]) -> None:
        """Set the groups of each role and count anew."""
        self._roles = []
        for groups in roles:
            total = collections.Counter()
            for group in groups:
                total.update(self._by_group[group])
            self._roles.append((groups, total))

    def add(self, group: int, upstream: int, by: int) -> None:
        """Count a flow that opened or is no longer open."""
        self._by_group[group][upstream] += by
        for groups, total in self._roles:
            if group in groups:
                total[upstream] += by

    def of(self, role: int, upstream: int) -> int:
        """Return the open flows at an upstream in the groups of a role."""
        return self._roles[role][1][upstream]

    def all_of(self, role: int) -> dict[int, int]:
        """Return the open flows at each upstream that has some."""
        return {id_: n for id_, n in self._roles[role][1].items() if n}
