"""Choice of the upstream of each packet at an entry VM.

The entry point of this package; docs/design/flows.md has the argument.
"""

import ipaddress

from ebonytally import actions
from ebonytally import commands
from ebonytally.flows import flow_agreements
from ebonytally.flows import flow_context
from ebonytally.flows import flow_environment
from ebonytally.flows import flow_handover
from ebonytally.flows import flow_limits
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_output
from ebonytally.flows import flow_owner
from ebonytally.flows import flow_owners
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_pins
from ebonytally.flows import flow_recent
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
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
    """Chooses upstreams for packets, and records the flows of owned slots."""

    def __init__(
        self,
        cfg: settings.Settings,
        local_vm: str,
        recorder: recorders.Recorder,
    ) -> None:
        """Create flows without a configuration: packets are refused.

        :param local_vm: name of this entry VM
        """
        idle_s = cfg.flows.idle_s
        refresh_s = idle_s / flow_records.REFRESHES_PER_IDLE
        self._lease_s = cfg.limits.lease_s
        self._recorder = recorder
        self._env = flow_environment.Environment(local_vm, cfg.data_centre)
        self._routes: dict[int, flow_routes.Route] = {}
        self._routes_by_service: dict[str, flow_routes.Route] = {}
        self._local_addresses: frozenset[bytes] = frozenset()
        self._recent = flow_recent.RecentFlows(refresh_s)
        self._counts = flow_records.Counts(flow_owners.GROUPS)
        self._records = flow_records.Records(
            idle_s,
            cfg.flows.linger_s,
            self._count,
            self._is_usable,
        )
        self._agreements = flow_agreements.BaseAgreements()
        self._handover = flow_handover.Handover(
            self._env,
            self._records,
            self._agreements,
            idle_s + 2 * refresh_s,
        )
        self._limits = flow_limits.Limits(self._env, self._counts)
        self._limits.on_owners_change()
        self._output = flow_output.PacketOutput(
            self._env, self._recent, recorder
        )
        self._owner = flow_owner.FlowOwner(
            self._env,
            self._records,
            self._agreements,
            self._handover,
            self._limits,
            self._output,
        )
        self._pins = flow_pins.Pins(
            self._env,
            self._records,
            self._agreements,
            self._handover,
        )
        self._lease_lapsed = False
        self._last_tick_at: float | None = None

    def handle_packet(self, data: bytes, now: float) -> list[actions.Action]:
        """Return the actions for a caller's packet from the fabric.

        In pinned slots a confirmed flow goes directly to the base.

        :param data: raw IPv4
        """
        parsed = flow_packet.parse(data)
        if type(parsed) is not flow_packet.Parsed:
            return self._refuse(parsed)
        route = self._routes.get(parsed.service)
        if route is None:
            return self._refuse_unknown_address(data)
        if not parsed.phase and self._env.leased:
            target = route.direct[parsed.flow & route.mask]
            if target is not None and self._recent.is_confirmed(
                parsed.flow ^ target.key_mix,
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
        if data[12:16] in self._local_addresses:
            return self._refuse(reasons.Refusal.PACKET_LOOP)
        return self._send_to_owner(parsed, route, data, now)

    def _send_to_owner(
        self,
        parsed: flow_packet.Parsed,
        route: flow_routes.Route,
        data: bytes,
        now: float,
    ) -> list[actions.Action]:
        """Send a caller's packet by way of an owner of its slot group."""
        env = self._env
        slot = parsed.flow & route.mask
        target = route.direct[slot]
        if target is not None and not parsed.phase and env.leased:
            self._recent.add(parsed.flow ^ target.key_mix, now)
        group = route.group(slot)
        first = env.owners.first[group]
        if first in env.peers and env.owners.second[group] != env.local_vm:
            msg = flow_messages.pack_hop(1, 0, 0, env.epoch, data)
            return [actions.Send(first, msg)]
        ctx = flow_context.create(parsed, route, data, 0, "")
        return self._decide_or_forward(ctx, now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message from another entry VM."""
        match msg:
            case flow_messages.PacketHop():
                return self._handle_packet_hop(peer, msg, now)
            case flow_messages.FlowRefused():
                return self._handle_flow_refused(msg)
            case flow_messages.KeeperAsk():
                return self._handover.handle_keeper_ask(
                    peer, msg, self._routes, now
                )
            case flow_messages.KeeperReport():
                return self._handover.handle_keeper_report(
                    peer, msg, self._routes, now
                )
            case flow_messages.PinAsk():
                route = self._routes_by_service.get(msg.service)
                return (
                    self._pins.handle_pin_ask(peer, msg, route)
                    if route
                    else []
                )
            case flow_messages.PinAgreed():
                route = self._routes_by_service.get(msg.service)
                return (
                    self._pins.handle_pin_agreed(msg, route, now)
                    if route
                    else []
                )
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Expire records and repeat requests; called about every 50 ms."""
        self._detect_pause(now)
        self._records.sweep(now)
        actions_ = self._handover.tick(self._routes, now)
        return actions_ + self._pins.tick(self._routes, now)

    def on_view_change(
        self,
        new: view.View,
        now: float,
    ) -> list[actions.Action]:
        """Apply a configuration, unless it is older than the present one."""
        old = self._env.state
        if new.revision <= old.revision:
            return []
        self._detect_pause(now)
        self._env.state = new
        self._env.record_data_centres()
        self._routes = flow_routes.routes(new, old, self._routes)
        self._drop_services(new)
        self._routes_by_service = {
            route.service.name: route for route in self._routes.values()
        }
        self._local_addresses = _vm_and_service_addresses(new)
        if new.owner_epoch != old.owner_epoch or not old.revision:
            old_owners = self._env.owners
            self._env.owners = flow_owners.choose_owners(new.vms)
            self._handover.on_epoch_change(
                old_owners, not self._lease_lapsed, now
            )
            self._limits.on_owners_change()
            self._lease_lapsed = not self._env.leased
        self._add_services(old, now)
        self._agreements.prune(self._routes.values())
        for route in self._routes.values():
            self._limits.slot_counts(route)
        return self._handover.tick(self._routes, now)

    def on_connectivity_change(
        self,
        peers: frozenset[str],
        leased: bool,
        now: float,
    ) -> list[actions.Action]:
        """Set the VMs that are heard from, and whether the lease is valid."""
        if self._env.peers - peers:
            # Packets sent to the lost peer may not have arrived there.
            ticks = 2 * flow_recent.UDP_CONFIRM_TICKS
            self._recent.forget_newer_than(ticks, now)
        self._env.peers = peers - {self._env.local_vm}
        self._env.leased = leased
        if not leased:
            self._lease_lapsed = True
        return []

    def open_flows(self) -> dict[int, int]:
        """Return the number of open flows by upstream id.

        Each flow is counted at one entry VM, its first owner.
        """
        return self._counts.open_by_upstream(flow_limits.FIRST)

    def record_count(self) -> int:
        """Return the number of flows recorded here."""
        return len(self._records)

    def has_all_records(self, epoch: int) -> bool:
        """Return whether all peers have sent their records in this epoch."""
        if self._env.epoch != epoch:
            return False
        return self._handover.is_settled

    def stop(self, now: float) -> list[actions.Action]:
        """Begin a planned stop, so that other entry VMs become owners."""
        for vm in self._env.state.vms:
            if vm.name != self._env.local_vm:
                continue
            cmd = commands.VmMarked(
                vm.name,
                view.VmState.STOPPING,
                vm.incarnation,
            )
            return [actions.Propose(STOP_TOKEN, cmd)]
        return []

    def is_handed_over(self) -> bool:
        """Return whether this VM may end: the owners have its records."""
        for vm in self._env.state.vms:
            if vm.name == self._env.local_vm and vm.state is view.VmState.UP:
                return False
        return self._handover.is_handed_over()

    def _refuse(self, reason: reasons.Refusal) -> list[actions.Action]:
        self._recorder.count_refusal(reason)
        return []

    def _refuse_unknown_address(self, data: bytes) -> list[actions.Action]:
        """Refuse a packet whose destination is no service."""
        if data[12:16] in self._local_addresses:
            return self._refuse(reasons.Refusal.PACKET_LOOP)
        return self._refuse(reasons.Refusal.PACKET_UNKNOWN_ADDRESS)

    def _handle_packet_hop(
        self,
        peer: str,
        msg: flow_messages.PacketHop,
        now: float,
    ) -> list[actions.Action]:
        head = flow_messages.unpack_hop(msg)
        parsed = flow_packet.parse(msg.packet)
        if head is None:
            return self._refuse(reasons.Refusal.FRAME_MALFORMED)
        if type(parsed) is not flow_packet.Parsed:
            return self._refuse(parsed)
        if head.hops > flow_output.MAX_HOPS:
            return self._refuse(reasons.Refusal.PACKET_LOOP)
        route = self._routes.get(parsed.service)
        if route is None:
            reason = reasons.Refusal.PACKET_UNKNOWN_ADDRESS
            return self._refuse(reason)
        ctx = flow_context.create(
            parsed,
            route,
            msg.packet,
            head.hops,
            peer,
        )
        if head.flags & flow_messages.PLACED:
            return self._owner.handle_placed(ctx, head, now)
        return self._decide_or_forward(ctx, now)

    def _decide_or_forward(
        self,
        ctx: flow_context.PacketContext,
        now: float,
    ) -> list[actions.Action]:
        """Decide as an owner, or forward the packet to one."""
        env = self._env
        first = env.owners.first[ctx.group]
        second = env.owners.second[ctx.group]
        if env.local_vm in (first, second):
            return self._owner.decide(ctx, now)
        for owner in (first, second):
            if (
                owner
                and owner != ctx.received_from
                and env.is_reachable(owner)
            ):
                return self._output.forward_to_vm(ctx, owner)
        return self._decide_without_owner(ctx)

    def _decide_without_owner(
        self,
        ctx: flow_context.PacketContext,
    ) -> list[actions.Action]:
        """Decide while no owner is reachable.

        Only existing TCP flows of pinned slots are served.
        """
        target = ctx.route.direct[ctx.slot]
        tcp = ctx.parsed.protocol == flow_packet.TCP
        if not self._env.leased or target is None or not tcp:
            reason = reasons.Refusal.FLOW_KEEPER_UNREACHABLE
            return self._refuse(reason)
        if ctx.is_start:
            reason = reasons.Refusal.FLOW_KEEPER_UNREACHABLE
            return self._refuse(reason)
        return [
            actions.Forward(
                target.id,
                target.address,
                target.port,
                ctx.data,
            )
        ]

    def _handle_flow_refused(
        self,
        msg: flow_messages.FlowRefused,
    ) -> list[actions.Action]:
        route = self._routes.get(msg.service)
        if route is not None:
            flow_context.forget_direct(self._recent, route, msg.flow)
        return []

    def _detect_pause(self, now: float) -> None:
        """Mark the lease as lapsed if this process paused for longer."""
        previous = self._last_tick_at
        self._last_tick_at = now
        if previous is not None and now - previous > self._lease_s:
            self._lease_lapsed = True

    def _drop_services(self, new: view.View) -> None:
        present = {table.service for table in new.tables}
        for name in set(self._routes_by_service) - present:
            self._records.drop_service(name)
            self._handover.drop_service(name)

    def _add_services(self, old: view.View, now: float) -> None:
        known = {table.service for table in old.tables}
        for name, route in self._routes_by_service.items():
            if name in known:
                continue
            self._records.add_service(name, route.mask + 1)
            self._handover.add_service(name, bool(old.revision), now)

    def _is_usable(self, service: str, upstream: int) -> bool:
        route = self._routes_by_service.get(service)
        return route is not None and upstream in route.targets

    def _count(
        self,
        service: str,
        slot: int,
        upstream: int,
        delta: int,
    ) -> None:
        route = self._routes_by_service.get(service)
        if route is not None:
            self._counts.add(route.group(slot), upstream, delta)


def _vm_and_service_addresses(state: view.View) -> frozenset[bytes]:
    """Return VM and service addresses; no caller sends from these."""
    texts = [vm.address for vm in state.vms]
    texts += [service.address for service in state.services]
    return frozenset(ipaddress.IPv4Address(text).packed for text in texts)
