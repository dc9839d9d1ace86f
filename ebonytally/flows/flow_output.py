"""The actions by which a packet leaves an entry VM or is dropped."""

import attrs

from ebonytally import actions
from ebonytally.flows import flow_context
from ebonytally.flows import flow_environment
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_recent
from ebonytally.flows import flow_routes
from ebonytally import reasons
from ebonytally import recorder as recorders

MAX_HOPS = 5


@attrs.define
class PacketOutput:
    """Builds the actions for a packet: send, forward or refuse."""

    env: flow_environment.Environment
    recent: flow_recent.RecentFlows
    recorder: recorders.Recorder

    def send_to_upstream(
        self,
        ctx: flow_context.PacketContext,
        target: flow_routes.Target,
    ) -> list[actions.Action]:
        """Send a packet to its upstream.

        Without a configuration lease, an upstream of another data centre
        is reached by way of an entry VM there.
        """
        here = target.data_centre == self.env.data_centre
        if self.env.leased or here:
            return [
                actions.Forward(
                    target.id,
                    target.address,
                    target.port,
                    ctx.data,
                )
            ]
        peer = self.env.peer_in(target.data_centre)
        if not peer:
            reason = reasons.Refusal.FLOW_UPSTREAM_UNREACHABLE
            return self.refuse(reason)
        if ctx.hops >= MAX_HOPS:
            return self.refuse(reasons.Refusal.PACKET_LOOP)
        return [self.make_hop(ctx, peer, flow_messages.PLACED, target.id)]

    def forward_to_vm(
        self, ctx: flow_context.PacketContext, peer: str
    ) -> list[actions.Action]:
        """Forward a packet without a chosen upstream to an entry VM."""
        if ctx.hops >= MAX_HOPS:
            return self.refuse(reasons.Refusal.PACKET_LOOP)
        return [self.make_hop(ctx, peer, 0, 0)]

    def make_hop(
        self,
        ctx: flow_context.PacketContext,
        peer: str,
        flags: int,
        upstream: int,
    ) -> actions.Send:
        """Return the action that forwards a packet to an entry VM.

        :param flags: bits of `flow_messages.HopHead.flags`
        :param upstream: upstream id, 0 when none is chosen
        """
        msg = flow_messages.pack_hop(
            ctx.hops + 1,
            flags,
            upstream,
            self.env.epoch,
            ctx.data,
        )
        return actions.Send(peer, msg)

    def revoke_direct(
        self, ctx: flow_context.PacketContext
    ) -> list[actions.Action]:
        """Make the VM that sent this packet send its flow to an owner."""
        if not ctx.received_from:
            flow_context.forget_direct(self.recent, ctx.route, ctx.parsed.flow)
            return []
        msg = flow_messages.FlowRefused(
            ctx.parsed.service,
            ctx.parsed.flow,
        )
        return [actions.Send(ctx.received_from, msg)]

    def refuse(self, reason: reasons.Refusal) -> list[actions.Action]:
        """Drop a packet and count the reason."""
        self.recorder.count_refusal(reason)
        return []

    def refuse_and_notify(
        self,
        ctx: flow_context.PacketContext,
        reason: reasons.Refusal,
    ) -> list[actions.Action]:
        """Drop a packet, count the reason and send the caller a refusal."""
        self.recorder.count_refusal(reason)
        reply = flow_packet.make_refusal(ctx.data)
        return [] if reply is None else [actions.SendToCaller(reply)]
