"""Which upstream a packet goes to, at any entry VM.

The face of the flows slice; docs/design/flows.md has the argument.
"""

import ipaddress

from ebonytally import actions
from ebonytally import commands
from ebonytally.flows import flow_exits
from ebonytally.flows import flow_handover
from ebonytally.flows import flow_held
from ebonytally.flows import flow_keeper
from ebonytally.flows import flow_keepers
from ebonytally.flows import flow_limits
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_pins
from ebonytally.flows import flow_promises
from ebonytally.flows import flow_recent
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally.flows import flow_site
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import view

STOP_TOKEN = "flows-stop"

_CONFIRM_TICKS = {
    flow_packet.TCP: flow_recent.TCP_CONFIRM_TICKS,
    flow_packet.UDP: flow_recent.UDP_CONFIRM_TICKS,
}


class Flows:
    """The flows slice of one daemon."""

    def __init__(
        self,
        cfg: settings.Settings,
        me: str,
        recorder: recorders.Recorder,
    ) -> None:
        """Start without a configuration; all packets are refused.

        :param me: name of this entry VM
        """
        idle_s = cfg.flows.idle_s
        refresh_s = idle_s / flow_records.REFRESHES_PER_IDLE
        self._lease_s = cfg.limits.lease_s
        self._recorder = recorder
        self._site = flow_site.Site(me, cfg.data_centre)
        self._routes: dict[int, flow_routes.Route] = {}
        self._by_name: dict[str, flow_routes.Route] = {}
        self._own: frozenset[bytes] = frozenset()
        self._recent = flow_recent.Recent(refresh_s)
        self._counts = flow_records.Counts(flow_keepers.GROUPS)
        self._records = flow_records.Records(
            idle_s,
            cfg.flows.linger_s,
            self._count,
            self._stands,
        )
        self._promises = flow_promises.Promises()
        self._handover = flow_handover.Handover(
            self._site,
            self._records,
            self._promises,
            idle_s + 2 * refresh_s,
        )
        self._limits = flow_limits.Limits(self._site, self._counts)
        self._limits.changed()
        self._exits = flow_exits.Exits(self._site, self._recent, recorder)
        self._keeper = flow_keeper.Keeper(
            self._site,
            self._records,
            self._promises,
            self._handover,
            self._limits,
            self._exits,
        )
        self._pins = flow_pins.Pins(
            self._site,
            self._records,
            self._promises,
            self._handover,
        )
        self._lapsed = False
        self._ticked_at: float | None = None

    def packet(self, data: bytes, now: float) -> list[actions.Action]:
        """Decide about a caller's packet from the fabric.

        :param data: raw IPv4
        """
        parsed = flow_packet.parse(data)
        if type(parsed) is not flow_packet.Parsed:
            return self._refuse(parsed)
        route = self._routes.get(parsed.service)
        if route is None:
            return self._foreign(data)
        if not parsed.marks and self._site.leased:
            target = route.direct[parsed.flow & route.mask]
            if target is not None and self._recent.confirmed(
                parsed.flow ^ target.mix,
                _CONFIRM_TICKS[parsed.protocol],
                now,
            ):
                return [
                    actions.Forward(
                        target.id,
                        target.address,
                        target.port,
                        data,
                    )
                ]
        if data[12:16] in self._own:
            return self._refuse(reasons.Refusal.PACKET_LOOP)
        return self._by_keeper(parsed, route, data, now)

    def _by_keeper(
        self,
        parsed: flow_packet.Parsed,
        route: flow_routes.Route,
        data: bytes,
        now: float,
    ) -> list[actions.Action]:
        site = self._site
        slot = parsed.flow & route.mask
        target = route.direct[slot]
        if target is not None and not parsed.marks and site.leased:
            self._recent.note(parsed.flow ^ target.mix, now)
        group = route.group(slot)
        first = site.keepers.first[group]
        if first in site.peers and site.keepers.second[group] != site.me:
            msg = flow_messages.hop(1, 0, 0, site.epoch, data)
            return [actions.Send(first, msg)]
        held = flow_held.lookup(parsed, route, data, 0, "")
        return self._towards_keeper(held, now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message from another entry VM."""
        match msg:
            case flow_messages.PacketHop():
                return self._hop(peer, msg, now)
            case flow_messages.FlowRefused():
                return self._objected(msg)
            case flow_messages.KeeperAsk():
                return self._handover.asked(peer, msg, self._routes, now)
            case flow_messages.KeeperReport():
                return self._handover.reported(peer, msg, self._routes, now)
            case flow_messages.PinAsk():
                route = self._by_name.get(msg.service)
                return self._pins.asked(peer, msg, route) if route else []
            case flow_messages.PinAgreed():
                route = self._by_name.get(msg.service)
                return self._pins.agreed(msg, route, now) if route else []
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Ask, propose and forget what is due; every 50 ms or so."""
        self._note_pause(now)
        self._records.sweep(now)
        found = self._handover.tick(self._routes, now)
        return found + self._pins.tick(self._routes, now)

    def changed(
        self,
        new: view.View,
        now: float,
    ) -> list[actions.Action]:
        """Take a newer configuration; an older one is ignored."""
        old = self._site.state
        if new.revision <= old.revision:
            return []
        self._note_pause(now)
        self._site.state = new
        self._site.remember()
        self._routes = flow_routes.routes(new, old, self._routes)
        self._drop_services(new)
        self._by_name = {
            route.service.name: route for route in self._routes.values()
        }
        self._own = _own_addresses(new)
        if new.keeper_epoch != old.keeper_epoch or not old.revision:
            before = self._site.keepers
            self._site.keepers = flow_keepers.choose(new.vms)
            self._handover.begin(before, not self._lapsed, now)
            self._limits.changed()
            self._lapsed = not self._site.leased
        self._take_services(old, now)
        self._promises.prune(self._routes.values())
        for route in self._routes.values():
            self._limits.prepare(route)
        return self._handover.tick(self._routes, now)

    def reach(
        self,
        peers: frozenset[str],
        leased: bool,
        now: float,
    ) -> list[actions.Action]:
        """Take who is heard from, and whether the lease holds."""
        if self._site.peers - peers:
            # What was sent to the lost peer may not have arrived.
            young = 2 * flow_recent.UDP_CONFIRM_TICKS
            self._recent.forget_young(young, now)
        self._site.peers = peers - {self._site.me}
        self._site.leased = leased
        if not leased:
            self._lapsed = True
        return []

    def open_flows(self) -> dict[int, int]:
        """Return the open flows at each upstream that it counts.

        Each flow is counted at one entry VM, its first keeper.
        """
        return self._counts.all_of(flow_limits.FIRST)

    def records_held(self) -> int:
        """Return the number of flows remembered here."""
        return len(self._records)

    def settled(self, epoch: int) -> bool:
        """Tell whether all flows of its groups in an epoch are known."""
        if self._site.epoch != epoch:
            return False
        return self._handover.agreed

    def stop(self, now: float) -> list[actions.Action]:
        """Begin a planned stop: other entry VMs become keepers."""
        for vm in self._site.state.vms:
            if vm.name != self._site.me:
                continue
            cmd = commands.VmMarked(
                vm.name,
                view.VmState.STOPPING,
                vm.incarnation,
            )
            return [actions.Propose(STOP_TOKEN, cmd)]
        return []

    def handed_over(self) -> bool:
        """Tell whether this VM may end: it keeps nothing alone."""
        for vm in self._site.state.vms:
            if vm.name == self._site.me and vm.state is view.VmState.UP:
                return False
        return self._handover.handed_over()

    def _refuse(self, reason: reasons.Refusal) -> list[actions.Action]:
        self._recorder.refused(reason)
        return []

    def _foreign(self, data: bytes) -> list[actions.Action]:
        if data[12:16] in self._own:
            return self._refuse(reasons.Refusal.PACKET_LOOP)
        return self._refuse(reasons.Refusal.PACKET_UNKNOWN_ADDRESS)

    def _hop(
        self,
        peer: str,
        msg: flow_messages.PacketHop,
        now: float,
    ) -> list[actions.Action]:
        head = flow_messages.unpack(msg)
        parsed = flow_packet.parse(msg.packet)
        if head is None:
            return self._refuse(reasons.Refusal.FRAME_MALFORMED)
        if type(parsed) is not flow_packet.Parsed:
            return self._refuse(parsed)
        if head.hops > flow_exits.MAX_HOPS:
            return self._refuse(reasons.Refusal.PACKET_LOOP)
        route = self._routes.get(parsed.service)
        if route is None:
            reason = reasons.Refusal.PACKET_UNKNOWN_ADDRESS
            return self._refuse(reason)
        held = flow_held.lookup(
            parsed,
            route,
            msg.packet,
            head.hops,
            peer,
        )
        if head.flags & flow_messages.PLACED:
            return self._keeper.placed(held, head, now)
        return self._towards_keeper(held, now)

    def _towards_keeper(
        self,
        held: flow_held.Held,
        now: float,
    ) -> list[actions.Action]:
        site = self._site
        first = site.keepers.first[held.group]
        second = site.keepers.second[held.group]
        if site.me in (first, second):
            return self._keeper.decide(held, now)
        for keeper in (first, second):
            if keeper and keeper != held.origin and site.heard(keeper):
                return self._exits.hand_on(held, keeper)
        return self._without_keeper(held)

    def _without_keeper(
        self,
        held: flow_held.Held,
    ) -> list[actions.Action]:
        """Decide when no keeper is heard: old flows of pinned slots."""
        target = held.route.direct[held.slot]
        tcp = held.parsed.protocol == flow_packet.TCP
        if not self._site.leased or target is None or not tcp:
            reason = reasons.Refusal.FLOW_KEEPER_UNREACHABLE
            return self._refuse(reason)
        if held.starts:
            reason = reasons.Refusal.FLOW_KEEPER_UNREACHABLE
            return self._refuse(reason)
        return [
            actions.Forward(
                target.id,
                target.address,
                target.port,
                held.data,
            )
        ]

    def _objected(
        self,
        msg: flow_messages.FlowRefused,
    ) -> list[actions.Action]:
        route = self._routes.get(msg.service)
        if route is not None:
            flow_held.forget(self._recent, route, msg.flow)
        return []

    def _note_pause(self, now: float) -> None:
        """Note that this process was away for longer than a lease."""
        before = self._ticked_at
        self._ticked_at = now
        if before is not None and now - before > self._lease_s:
            self._lapsed = True

    def _drop_services(self, new: view.View) -> None:
        present = {table.service for table in new.tables}
        for name in set(self._by_name) - present:
            self._records.drop_service(name)
            self._handover.drop_service(name)

    def _take_services(self, old: view.View, now: float) -> None:
        known = {table.service for table in old.tables}
        for name, route in self._by_name.items():
            if name in known:
                continue
            self._records.add_service(name, route.mask + 1)
            self._handover.add_service(name, bool(old.revision), now)

    def _stands(self, service: str, upstream: int) -> bool:
        route = self._by_name.get(service)
        return route is not None and upstream in route.targets

    def _count(
        self,
        service: str,
        slot: int,
        upstream: int,
        by: int,
    ) -> None:
        route = self._by_name.get(service)
        if route is not None:
            self._counts.add(route.group(slot), upstream, by)


def _own_addresses(state: view.View) -> frozenset[bytes]:
    """Return the addresses that no caller's packet comes from."""
    texts = [vm.address for vm in state.vms]
    texts += [service.address for service in state.services]
    return frozenset(ipaddress.IPv4Address(text).packed for text in texts)
