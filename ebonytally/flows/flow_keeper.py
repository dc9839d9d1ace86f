"""What a keeper decides about a packet of one of its slots."""

import attrs
import xxhash

from ebonytally import actions
from ebonytally.flows import flow_exits
from ebonytally.flows import flow_handover
from ebonytally.flows import flow_held
from ebonytally.flows import flow_limits
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_promises
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally.flows import flow_site
from ebonytally import reasons
from ebonytally import view


@attrs.define
class Keeper:
    """Decides flow by flow, in the slots that this entry VM keeps."""

    site: flow_site.Site
    records: flow_records.Records
    promises: flow_promises.Promises
    handover: flow_handover.Handover
    limits: flow_limits.Limits
    exits: flow_exits.Exits

    def decide(self, held: flow_held.Held, now: float) -> list[actions.Action]:
        """Return what becomes of a packet that no keeper placed yet."""
        found = self._decide(held, now)
        refused = not any(
            isinstance(action, actions.Send | actions.Forward)
            for action in found
        )
        if refused and not held.starts:
            found += self.exits.object(held)
        return found

    def _decide(
        self, held: flow_held.Held, now: float
    ) -> list[actions.Action]:
        record = self._record(held)
        if record is None:
            return self._unrecorded(held, now)
        if record.state is flow_records.State.ENDED and held.starts:
            return self._unrecorded(held, now)
        target = held.route.targets.get(record.upstream)
        if target is None:
            return self._dead(held, record.upstream, now)
        return self._recorded(held, record, target, now)

    def placed(
        self,
        held: flow_held.Held,
        head: flow_messages.Hop,
        now: float,
    ) -> list[actions.Action]:
        """Take a packet whose upstream another entry VM has decided."""
        target = held.route.targets.get(head.upstream)
        if target is None:
            return self.exits.refuse(reasons.Refusal.FLOW_UPSTREAM_GONE)
        if head.flags & flow_messages.RECORD:
            begins = head.flags & flow_messages.BEGINS
            if begins and head.epoch != self.site.epoch:
                return self.exits.refuse(reasons.Refusal.FLOW_NOT_YET_PLACED)
            if held.starts and not self._has_room(held, target):
                return self.exits.refuse_caller(
                    held, reasons.Refusal.FLOW_LIMIT
                )
            self._note(held, target, now)
        return self.exits.out(held, target)

    def _record(self, held: flow_held.Held) -> flow_records.Record | None:
        flow = held.parsed.flow
        if not self.handover.trusts(held.group, flow):
            return None
        return self.records.get(held.route.service.name, held.slot, flow)

    def _recorded(
        self,
        held: flow_held.Held,
        record: flow_records.Record,
        target: flow_routes.Target,
        now: float,
    ) -> list[actions.Action]:
        found = []
        if not self._is_direct(held, target):
            found = self.exits.object(held)
        opening = record.state is flow_records.State.OPENING
        opens = opening and not held.starts
        if held.starts or held.ends or opens:
            return found + self._by_second(held, target, now)
        if self.records.due(record, now):
            return found + self._by_second(held, target, now)
        return found + self.exits.out(held, target)

    def _is_direct(
        self,
        held: flow_held.Held,
        target: flow_routes.Target,
    ) -> bool:
        direct = held.route.direct[held.slot]
        return direct is None or direct.id == target.id

    def _unrecorded(
        self, held: flow_held.Held, now: float
    ) -> list[actions.Action]:
        first = self.site.keepers.first[held.group]
        if first not in (self.site.me, held.origin) and self.site.heard(first):
            return self.exits.hand_on(held, first)
        if held.starts:
            return self._begin(held, now)
        if held.parsed.protocol == flow_packet.UDP and self._is_new(held, now):
            return self._begin(held, now)
        return self._unknown(held, now)

    def _is_new(self, held: flow_held.Held, now: float) -> bool:
        """Tell whether an unrecorded UDP packet begins a flow."""
        if not self.site.leased:
            return True
        if self._base(held) is None:
            return True
        name = held.route.service.name
        return self.handover.complete(name, held.group, now)

    def _base(self, held: flow_held.Held) -> flow_routes.Target | None:
        """Return where unrecorded flows go, None when it is dead."""
        route = held.route
        state = route.kept.get(held.slot)
        if state is None:
            return route.direct[held.slot]
        base = self.promises.base(route.service.name, state)
        return route.targets.get(state.base if base is None else base)

    def _base_id(self, held: flow_held.Held) -> int:
        route = held.route
        state = route.kept.get(held.slot)
        if state is None:
            return route.table.bases[held.slot]
        base = self.promises.base(route.service.name, state)
        return state.base if base is None else base

    def _unknown(
        self, held: flow_held.Held, now: float
    ) -> list[actions.Action]:
        """Decide about a packet in the middle of an unrecorded flow."""
        if not self.site.leased:
            return self.exits.refuse(reasons.Refusal.FLOW_KEEPER_UNREACHABLE)
        state = held.route.kept.get(held.slot)
        placing = state is not None and state.placing
        doubtful = placing or not self.site.whole()
        if doubtful and not self.handover.knows(held.group):
            return self._to_other(held)
        if self._may_be_foreign(held, now):
            return self.exits.refuse(reasons.Refusal.FLOW_UNKNOWN)
        target = self._base(held)
        if target is None:
            return self._dead(held, self._base_id(held), now)
        if self.site.keepers.first[held.group] != self.site.me:
            self._note(held, target, now)
            return self.exits.out(held, target)
        return self._by_second(held, target, now)

    def _may_be_foreign(self, held: flow_held.Held, now: float) -> bool:
        """Tell whether a flow may have begun beyond a partition."""
        if held.parsed.protocol != flow_packet.TCP or self.site.whole():
            return False
        name = held.route.service.name
        return self.handover.complete(name, held.group, now)

    def _dead(
        self,
        held: flow_held.Held,
        upstream: int,
        now: float,
    ) -> list[actions.Action]:
        """Decide about a flow whose upstream may get no packet."""
        flow = held.parsed.flow
        self.records.remove(held.route.service.name, held.slot, flow)
        if held.starts or held.parsed.protocol == flow_packet.UDP:
            return self._begin(held, now)
        if not upstream:
            return self.exits.refuse(reasons.Refusal.FLOW_NO_UPSTREAM)
        if self.site.is_out(upstream):
            reason = reasons.Refusal.FLOW_DATA_CENTRE_OUT
            return self.exits.refuse_caller(held, reason)
        if self.site.is_lost(upstream):
            return self.exits.refuse(reasons.Refusal.FLOW_UPSTREAM_UNREACHABLE)
        reason = reasons.Refusal.FLOW_UPSTREAM_GONE
        return self.exits.refuse_caller(held, reason)

    def _begin(self, held: flow_held.Held, now: float) -> list[actions.Action]:
        """Place a new flow."""
        if not self.site.leased:
            return self._begin_cut_off(held, now)
        second = self.site.keepers.second[held.group]
        if self.site.keepers.first[held.group] != self.site.me:
            second = ""
        state = held.route.kept.get(held.slot)
        if state is None or not state.placing:
            return self._begin_at_base(held, second, now)
        if second == "" and self.site.keepers.second[held.group]:
            return self.exits.refuse(reasons.Refusal.FLOW_KEEPER_UNREACHABLE)
        if not self.handover.agreed:
            return self.exits.refuse(reasons.Refusal.FLOW_NOT_YET_PLACED)
        target = held.route.targets.get(state.next)
        if target is None:
            reason = reasons.Refusal.FLOW_NO_UPSTREAM
            return self.exits.refuse_caller(held, reason)
        if not self._has_room(held, target):
            return self.exits.refuse_caller(held, reasons.Refusal.FLOW_LIMIT)
        if second and not self.site.heard(second):
            return self.exits.refuse(reasons.Refusal.FLOW_KEEPER_UNREACHABLE)
        return self._by_second(held, target, now, flow_messages.BEGINS)

    def _begin_at_base(
        self,
        held: flow_held.Held,
        second: str,
        now: float,
    ) -> list[actions.Action]:
        target = self._base(held)
        if target is None:
            if self._base_id(held):
                reason = reasons.Refusal.FLOW_NOT_YET_PLACED
                return self.exits.refuse(reason)
            reason = reasons.Refusal.FLOW_NO_UPSTREAM
            return self.exits.refuse_caller(held, reason)
        if not self._has_room(held, target):
            return self.exits.refuse_caller(held, reasons.Refusal.FLOW_LIMIT)
        if second:
            return self._by_second(held, target, now)
        self._note(held, target, now)
        return self.exits.out(held, target)

    def _begin_cut_off(
        self,
        held: flow_held.Held,
        now: float,
    ) -> list[actions.Action]:
        """Place a new flow in the own data centre."""
        mine = [
            target
            for target in held.route.targets.values()
            if target.data_centre == self.site.data_centre
            and target.state is view.UpstreamState.UP
        ]
        if not mine:
            reason = reasons.Refusal.FLOW_UPSTREAM_UNREACHABLE
            return self.exits.refuse(reason)
        base = self._base_id(held)
        target = max(
            mine,
            key=lambda one: (
                one.id == base,
                xxhash.xxh3_64_intdigest(held.slot.to_bytes(4, "big"), one.id),
            ),
        )
        if not self._has_room(held, target):
            return self.exits.refuse_caller(held, reasons.Refusal.FLOW_LIMIT)
        return self._by_second(held, target, now)

    def _by_second(
        self,
        held: flow_held.Held,
        target: flow_routes.Target,
        now: float,
        flags: int = 0,
    ) -> list[actions.Action]:
        """Record a flow and let the other keeper record it too."""
        self._note(held, target, now)
        other = self.site.keepers.other(held.group, self.site.me)
        if not other or other == self.site.me or not self.site.heard(other):
            return self.exits.out(held, target)
        if held.hops >= flow_exits.MAX_HOPS:
            return self.exits.refuse(reasons.Refusal.PACKET_LOOP)
        flags |= flow_messages.PLACED | flow_messages.RECORD
        return [self.exits.hop(held, other, flags, target.id)]

    def _note(
        self,
        held: flow_held.Held,
        target: flow_routes.Target,
        now: float,
    ) -> None:
        state = flow_records.State.OPEN
        if held.ends:
            state = flow_records.State.ENDED
        elif held.starts:
            state = flow_records.State.OPENING
        flow = held.parsed.flow
        name = held.route.service.name
        before = self.records.get(name, held.slot, flow)
        if before is not None and not held.starts:
            state = max(state, before.state)
        self.records.put(name, held.slot, flow, target.id, state, now)
        self.handover.note_fresh(held.group, flow)

    def _has_room(
        self, held: flow_held.Held, target: flow_routes.Target
    ) -> bool:
        name = held.route.service.name
        flow = held.parsed.flow
        before = self.records.get(name, held.slot, flow)
        if before is not None and before.state < flow_records.State.ENDED:
            return True
        return self.limits.has_room(held.route, held.group, target)

    def _to_other(self, held: flow_held.Held) -> list[actions.Action]:
        other = self.site.keepers.other(held.group, self.site.me)
        if not other or other == held.origin or not self.site.heard(other):
            return self.exits.refuse(reasons.Refusal.FLOW_KEEPER_UNREACHABLE)
        return self.exits.hand_on(held, other)
