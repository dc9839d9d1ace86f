"""Placing and recording of flows by an owner of their slots."""

import attrs
import xxhash

from ebonytally import actions
from ebonytally.flows import flow_agreements
from ebonytally.flows import flow_context
from ebonytally.flows import flow_environment
from ebonytally.flows import flow_handover
from ebonytally.flows import flow_limits
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_output
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally import reasons
from ebonytally import view


@attrs.define
class FlowOwner:
    """Decides flow by flow, in the slots that this entry VM owns."""

    env: flow_environment.Environment
    records: flow_records.Records
    agreements: flow_agreements.BaseAgreements
    handover: flow_handover.Handover
    limits: flow_limits.Limits
    output: flow_output.PacketOutput

    def decide(
        self, ctx: flow_context.PacketContext, now: float
    ) -> list[actions.Action]:
        """Return the actions for a packet whose upstream isn't chosen.

        When the packet is refused, the entry VM that received it must
        stop sending the flow to the base without its owner.
        """
        actions_ = self._decide_by_record(ctx, now)
        refused = not any(
            isinstance(action, actions.Send | actions.Forward)
            for action in actions_
        )
        if refused and not ctx.is_start:
            actions_ += self.output.revoke_direct(ctx)
        return actions_

    def _decide_by_record(
        self, ctx: flow_context.PacketContext, now: float
    ) -> list[actions.Action]:
        """Choose between the recorded upstream and a new placing."""
        record = self._current_record(ctx)
        if record is None:
            return self._decide_unrecorded(ctx, now)
        if record.state is flow_records.State.ENDED and ctx.is_start:
            return self._decide_unrecorded(ctx, now)
        target = ctx.route.targets.get(record.upstream)
        if target is None:
            return self._decide_unusable_upstream(ctx, record.upstream, now)
        return self._forward_recorded(ctx, record, target, now)

    def handle_placed(
        self,
        ctx: flow_context.PacketContext,
        head: flow_messages.HopHead,
        now: float,
    ) -> list[actions.Action]:
        """Record and send a packet whose upstream another VM has chosen."""
        target = ctx.route.targets.get(head.upstream)
        if target is None:
            return self.output.refuse(reasons.Refusal.FLOW_UPSTREAM_GONE)
        if head.flags & flow_messages.RECORD:
            begins = head.flags & flow_messages.BEGINS
            if begins and head.epoch != self.env.epoch:
                return self.output.refuse(reasons.Refusal.FLOW_NOT_YET_PLACED)
            if ctx.is_start and not self._has_room(ctx, target):
                return self.output.refuse_and_notify(
                    ctx, reasons.Refusal.FLOW_LIMIT
                )
            self._record_flow(ctx, target, now)
        return self.output.send_to_upstream(ctx, target)

    def _current_record(
        self, ctx: flow_context.PacketContext
    ) -> flow_records.Record | None:
        """Return a flow's record unless it may be out of date."""
        flow = ctx.parsed.flow
        if not self.handover.is_record_current(ctx.group, flow):
            return None
        return self.records.get(ctx.route.service.name, ctx.slot, flow)

    def _forward_recorded(
        self,
        ctx: flow_context.PacketContext,
        record: flow_records.Record,
        target: flow_routes.Target,
        now: float,
    ) -> list[actions.Action]:
        """Send a packet to its recorded upstream, refreshing the record."""
        actions_ = []
        if not self._is_at_direct_target(ctx, target):
            actions_ = self.output.revoke_direct(ctx)
        opening = record.state is flow_records.State.OPENING
        opens = opening and not ctx.is_start
        if ctx.is_start or ctx.is_end or opens:
            return actions_ + self._record_at_both_owners(ctx, target, now)
        if self.records.needs_refresh(record, now):
            return actions_ + self._record_at_both_owners(ctx, target, now)
        return actions_ + self.output.send_to_upstream(ctx, target)

    def _is_at_direct_target(
        self,
        ctx: flow_context.PacketContext,
        target: flow_routes.Target,
    ) -> bool:
        """Return whether `target` is the slot's direct base, if it has one."""
        direct = ctx.route.direct[ctx.slot]
        return direct is None or direct.id == target.id

    def _decide_unrecorded(
        self, ctx: flow_context.PacketContext, now: float
    ) -> list[actions.Action]:
        """Decide about a flow that has no current record here.

        The first owner decides if it can be reached.
        """
        first = self.env.owners.first[ctx.group]
        if first not in (
            self.env.local_vm,
            ctx.received_from,
        ) and self.env.is_reachable(first):
            return self.output.forward_to_vm(ctx, first)
        if ctx.is_start:
            return self._place(ctx, now)
        if ctx.parsed.protocol == flow_packet.UDP and self._is_new_udp_flow(
            ctx, now
        ):
            return self._place(ctx, now)
        return self._decide_unknown_flow(ctx, now)

    def _is_new_udp_flow(
        self, ctx: flow_context.PacketContext, now: float
    ) -> bool:
        """Return whether an unrecorded UDP packet begins a flow.

        Otherwise it may belong to a flow that went to the base unrecorded.
        """
        if not self.env.leased:
            return True
        if self._base_target(ctx) is None:
            return True
        name = ctx.route.service.name
        return self.handover.is_complete(name, ctx.group, now)

    def _base_target(
        self, ctx: flow_context.PacketContext
    ) -> flow_routes.Target | None:
        """Return the target of unrecorded flows, None if it is unusable."""
        route = ctx.route
        state = route.tracked.get(ctx.slot)
        if state is None:
            return route.direct[ctx.slot]
        base = self.agreements.agreed_base(route.service.name, state)
        return route.targets.get(state.base if base is None else base)

    def _base_id(self, ctx: flow_context.PacketContext) -> int:
        """Return the upstream id of unrecorded flows, 0 for none."""
        route = ctx.route
        state = route.tracked.get(ctx.slot)
        if state is None:
            return route.table.bases[ctx.slot]
        base = self.agreements.agreed_base(route.service.name, state)
        return state.base if base is None else base

    def _decide_unknown_flow(
        self, ctx: flow_context.PacketContext, now: float
    ) -> list[actions.Action]:
        """Decide about a packet in the middle of an unrecorded flow."""
        if not self.env.leased:
            return self.output.refuse(reasons.Refusal.FLOW_KEEPER_UNREACHABLE)
        state = ctx.route.tracked.get(ctx.slot)
        placing = state is not None and state.may_place
        uncertain = placing or not self.env.is_fully_connected()
        if uncertain and not self.handover.is_group_known(ctx.group):
            return self._forward_to_other_owner(ctx)
        if self._may_be_from_other_partition(ctx, now):
            return self.output.refuse(reasons.Refusal.FLOW_UNKNOWN)
        target = self._base_target(ctx)
        if target is None:
            return self._decide_unusable_upstream(ctx, self._base_id(ctx), now)
        if self.env.owners.first[ctx.group] != self.env.local_vm:
            self._record_flow(ctx, target, now)
            return self.output.send_to_upstream(ctx, target)
        return self._record_at_both_owners(ctx, target, now)

    def _may_be_from_other_partition(
        self, ctx: flow_context.PacketContext, now: float
    ) -> bool:
        """Return whether a flow may have begun beyond a partition.

        It may when this owner knows all live flows of the group, but not
        this one, and an entry VM is down or unreachable.
        """
        if (
            ctx.parsed.protocol != flow_packet.TCP
            or self.env.is_fully_connected()
        ):
            return False
        name = ctx.route.service.name
        return self.handover.is_complete(name, ctx.group, now)

    def _decide_unusable_upstream(
        self,
        ctx: flow_context.PacketContext,
        upstream: int,
        now: float,
    ) -> list[actions.Action]:
        """Replace or refuse a flow whose upstream may get no packets."""
        flow = ctx.parsed.flow
        self.records.remove(ctx.route.service.name, ctx.slot, flow)
        if ctx.is_start or ctx.parsed.protocol == flow_packet.UDP:
            return self._place(ctx, now)
        if not upstream:
            return self.output.refuse(reasons.Refusal.FLOW_NO_UPSTREAM)
        if self.env.is_taken_out(upstream):
            reason = reasons.Refusal.FLOW_DATA_CENTRE_OUT
            return self.output.refuse_and_notify(ctx, reason)
        if self.env.may_be_alive(upstream):
            return self.output.refuse(
                reasons.Refusal.FLOW_UPSTREAM_UNREACHABLE
            )
        reason = reasons.Refusal.FLOW_UPSTREAM_GONE
        return self.output.refuse_and_notify(ctx, reason)

    def _place(
        self, ctx: flow_context.PacketContext, now: float
    ) -> list[actions.Action]:
        """Place a new flow and record it.

        It is placed away from the base only if its owners can record it,
        as packets of an unrecorded flow go to the base.
        """
        if not self.env.leased:
            return self._place_without_lease(ctx, now)
        second = self.env.owners.second[ctx.group]
        if self.env.owners.first[ctx.group] != self.env.local_vm:
            second = ""
        state = ctx.route.tracked.get(ctx.slot)
        if state is None or not state.may_place:
            return self._place_at_base(ctx, second, now)
        if second == "" and self.env.owners.second[ctx.group]:
            return self.output.refuse(reasons.Refusal.FLOW_KEEPER_UNREACHABLE)
        if not self.handover.is_settled:
            return self.output.refuse(reasons.Refusal.FLOW_NOT_YET_PLACED)
        target = ctx.route.targets.get(state.target)
        if target is None:
            reason = reasons.Refusal.FLOW_NO_UPSTREAM
            return self.output.refuse_and_notify(ctx, reason)
        if not self._has_room(ctx, target):
            return self.output.refuse_and_notify(
                ctx, reasons.Refusal.FLOW_LIMIT
            )
        if second and not self.env.is_reachable(second):
            return self.output.refuse(reasons.Refusal.FLOW_KEEPER_UNREACHABLE)
        return self._record_at_both_owners(
            ctx, target, now, flow_messages.BEGINS
        )

    def _place_at_base(
        self,
        ctx: flow_context.PacketContext,
        second: str,
        now: float,
    ) -> list[actions.Action]:
        """Place a new flow at the upstream of its slot's unrecorded flows."""
        target = self._base_target(ctx)
        if target is None:
            if self._base_id(ctx):
                reason = reasons.Refusal.FLOW_NOT_YET_PLACED
                return self.output.refuse(reason)
            reason = reasons.Refusal.FLOW_NO_UPSTREAM
            return self.output.refuse_and_notify(ctx, reason)
        if not self._has_room(ctx, target):
            return self.output.refuse_and_notify(
                ctx, reasons.Refusal.FLOW_LIMIT
            )
        if second:
            return self._record_at_both_owners(ctx, target, now)
        self._record_flow(ctx, target, now)
        return self.output.send_to_upstream(ctx, target)

    def _place_without_lease(
        self,
        ctx: flow_context.PacketContext,
        now: float,
    ) -> list[actions.Action]:
        """Place a new flow while the configuration lease has expired.

        Only upstreams of this VM's data centre are used; the base comes
        first, then rendezvous hashing by slot.
        """
        local_targets = [
            target
            for target in ctx.route.targets.values()
            if target.data_centre == self.env.data_centre
            and target.state is view.UpstreamState.UP
        ]
        if not local_targets:
            reason = reasons.Refusal.FLOW_UPSTREAM_UNREACHABLE
            return self.output.refuse(reason)
        base = self._base_id(ctx)
        target = max(
            local_targets,
            key=lambda candidate: (
                candidate.id == base,
                xxhash.xxh3_64_intdigest(
                    ctx.slot.to_bytes(4, "big"), candidate.id
                ),
            ),
        )
        if not self._has_room(ctx, target):
            return self.output.refuse_and_notify(
                ctx, reasons.Refusal.FLOW_LIMIT
            )
        return self._record_at_both_owners(ctx, target, now)

    def _record_at_both_owners(
        self,
        ctx: flow_context.PacketContext,
        target: flow_routes.Target,
        now: float,
        flags: int = 0,
    ) -> list[actions.Action]:
        """Record a flow, and send its packet by way of the other owner.

        :param flags: further bits of `flow_messages.HopHead.flags`
        """
        self._record_flow(ctx, target, now)
        other = self.env.owners.other(ctx.group, self.env.local_vm)
        if (
            not other
            or other == self.env.local_vm
            or not self.env.is_reachable(other)
        ):
            return self.output.send_to_upstream(ctx, target)
        if ctx.hops >= flow_output.MAX_HOPS:
            return self.output.refuse(reasons.Refusal.PACKET_LOOP)
        flags |= flow_messages.PLACED | flow_messages.RECORD
        return [self.output.make_hop(ctx, other, flags, target.id)]

    def _record_flow(
        self,
        ctx: flow_context.PacketContext,
        target: flow_routes.Target,
        now: float,
    ) -> None:
        """Record a flow here, in the state that its packet shows."""
        state = flow_records.State.OPEN
        if ctx.is_end:
            state = flow_records.State.ENDED
        elif ctx.is_start:
            state = flow_records.State.OPENING
        flow = ctx.parsed.flow
        name = ctx.route.service.name
        previous = self.records.get(name, ctx.slot, flow)
        if previous is not None and not ctx.is_start:
            state = max(state, previous.state)
        self.records.put(name, ctx.slot, flow, target.id, state, now)
        self.handover.mark_current(ctx.group, flow)

    def _has_room(
        self, ctx: flow_context.PacketContext, target: flow_routes.Target
    ) -> bool:
        """Return whether a flow is open already, or its upstream has room."""
        name = ctx.route.service.name
        flow = ctx.parsed.flow
        previous = self.records.get(name, ctx.slot, flow)
        if previous is not None and previous.state < flow_records.State.ENDED:
            return True
        return self.limits.has_room(ctx.route, ctx.group, target)

    def _forward_to_other_owner(
        self, ctx: flow_context.PacketContext
    ) -> list[actions.Action]:
        """Forward to the other owner, unless the packet came from it."""
        other = self.env.owners.other(ctx.group, self.env.local_vm)
        if (
            not other
            or other == ctx.received_from
            or not self.env.is_reachable(other)
        ):
            return self.output.refuse(reasons.Refusal.FLOW_KEEPER_UNREACHABLE)
        return self.output.forward_to_vm(ctx, other)
