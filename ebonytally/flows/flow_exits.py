"""Ways in which a packet leaves an entry VM."""

import attrs

from ebonytally import actions
from ebonytally.flows import flow_held
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_recent
from ebonytally.flows import flow_routes
from ebonytally.flows import flow_site
from ebonytally import reasons
from ebonytally import recorder as recorders

MAX_HOPS = 5


@attrs.define
class Exits:
    """Sends packets to upstreams, to entry VMs, or refuses them."""

    site: flow_site.Site
    recent: flow_recent.Recent
    recorder: recorders.Recorder

    def out(
        self,
        held: flow_held.Held,
        target: flow_routes.Target,
    ) -> list[actions.Action]:
        """Send a packet to its upstream, or towards it."""
        here = target.data_centre == self.site.data_centre
        if self.site.leased or here:
            return [
                actions.Forward(
                    target.id,
                    target.address,
                    target.port,
                    held.data,
                )
            ]
        peer = self.site.peer_in(target.data_centre)
        if not peer:
            reason = reasons.Refusal.FLOW_UPSTREAM_UNREACHABLE
            return self.refuse(reason)
        if held.hops >= MAX_HOPS:
            return self.refuse(reasons.Refusal.PACKET_LOOP)
        return [self.hop(held, peer, flow_messages.PLACED, target.id)]

    def hand_on(self, held: flow_held.Held, peer: str) -> list[actions.Action]:
        """Hand an undecided packet to another entry VM."""
        if held.hops >= MAX_HOPS:
            return self.refuse(reasons.Refusal.PACKET_LOOP)
        return [self.hop(held, peer, 0, 0)]

    def hop(
        self,
        held: flow_held.Held,
        peer: str,
        flags: int,
        upstream: int,
    ) -> actions.Send:
        msg = flow_messages.hop(
            held.hops + 1,
            flags,
            upstream,
            self.site.epoch,
            held.data,
        )
        return actions.Send(peer, msg)

    def object(self, held: flow_held.Held) -> list[actions.Action]:
        """Tell the entry VM not to send this flow to the base."""
        if not held.origin:
            flow_held.forget(self.recent, held.route, held.parsed.flow)
            return []
        msg = flow_messages.FlowRefused(
            held.parsed.service,
            held.parsed.flow,
        )
        return [actions.Send(held.origin, msg)]

    def refuse(self, reason: reasons.Refusal) -> list[actions.Action]:
        """Drop a packet and count why."""
        self.recorder.refused(reason)
        return []

    def refuse_caller(
        self,
        held: flow_held.Held,
        reason: reasons.Refusal,
    ) -> list[actions.Action]:
        """Drop a packet, count why and tell the caller."""
        self.recorder.refused(reason)
        answer = flow_packet.refusal(held.data)
        return [] if answer is None else [actions.ToCaller(answer)]
