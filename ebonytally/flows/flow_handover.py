"""Handover of flow records when the owners of slot groups change.

In a new owner epoch each owner requests records from every other entry
VM. A peer replies only in the same epoch, when it no longer decides as an
owner of an earlier one; its reply contains the flows that it knows.
"""

from collections.abc import Mapping
import math

import attrs

from ebonytally import actions
from ebonytally.flows import flow_agreements
from ebonytally.flows import flow_environment
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_owners
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally import view

ASK_INTERVAL_S = 0.25
RECORDS_PER_REPORT = 4000
NEVER_OWNED = -1
_GROUPS = range(flow_owners.GROUPS)
_STATE_BITS = 2


@attrs.define
class _Imported:
    """A record from a peer, see `flow_messages.GroupRecords`."""

    last_owned: int
    upstream: int
    state: flow_records.State


class Handover:
    """Tracks whose flow records are known here, and requests them."""

    def __init__(
        self,
        env: flow_environment.Environment,
        records: flow_records.Records,
        agreements: flow_agreements.BaseAgreements,
        complete_after_s: float,
    ) -> None:
        """Create the state of a VM that never owned a slot group.

        :param complete_after_s: seconds after which an owner has seen a
            packet of every live flow
        """
        self._env = env
        self._records = records
        self._agreements = agreements
        self._complete_after_s = complete_after_s
        self._known_groups = [False] * flow_owners.GROUPS
        self._last_owned = [NEVER_OWNED] * flow_owners.GROUPS
        self._complete_at: dict[str, list[float]] = {}
        self._awaited: dict[str, set[int]] = {}
        self._imports: dict[tuple[str, int, int], _Imported] = {}
        self._complete_in_epoch: dict[tuple[str, int], int] = {}
        self._latest_epoch: dict[int, int] = {}
        self._current_flows: set[int] = set()
        # Groups asked for that the latest report to a peer left out.
        self._left_out: dict[str, set[int]] = {}
        self._next_ask_at = 0.0
        self._started = False

    @property
    def is_settled(self) -> bool:
        """Return whether every live entry VM is in this owner epoch."""
        return self._started and not self._awaited

    def is_group_known(self, group: int) -> bool:
        """Return whether a group's flows away from their base are known."""
        return self._known_groups[group]

    def is_record_current(self, group: int, flow: int) -> bool:
        """Return whether a record is not from an earlier owner epoch."""
        return self._known_groups[group] or flow in self._current_flows

    def mark_current(self, group: int, flow: int) -> None:
        """Mark a flow's record as made in this owner epoch."""
        if not self._known_groups[group]:
            self._current_flows.add(flow)

    def is_complete(self, service: str, group: int, now: float) -> bool:
        """Return whether every live flow of a service's group is known."""
        return (
            self._known_groups[group]
            and now >= self._complete_at[service][group]
        )

    def add_service(self, service: str, is_new: bool, now: float) -> None:
        """Add a service.

        :param is_new: it had no flow before now
        """
        complete_at = now + self._complete_after_s
        self._complete_at[service] = [
            now if is_new else (complete_at if is_known else math.inf)
            for is_known in self._known_groups
        ]

    def drop_service(self, service: str) -> None:
        """Remove a service."""
        self._complete_at.pop(service, None)

    def on_epoch_change(
        self,
        old: flow_owners.Owners,
        keep_records: bool,
        now: float,
    ) -> None:
        """Begin an owner epoch: request the records of new groups.

        :param old: owners of the epoch before
        :param keep_records: records of groups owned before are still valid
        """
        local_vm = self._env.local_vm
        owners = self._env.owners
        self._imports = {}
        self._complete_in_epoch = {}
        self._latest_epoch = {}
        self._current_flows = set()
        wanted = set()
        for group in _GROUPS:
            is_valid = (
                keep_records
                and old.is_owner(group, local_vm)
                and self._known_groups[group]
            )
            is_owned = owners.is_owner(group, local_vm)
            self._known_groups[group] = is_valid and is_owned
            if self._known_groups[group]:
                self._last_owned[group] = self._env.epoch
                continue
            if is_owned:
                wanted.add(group)
            self._mark_incomplete(group, is_owned, now)
        self._awaited = {
            vm.name: set(wanted)
            for vm in self._env.state.vms
            if vm.state is not view.VmState.DOWN and vm.name != local_vm
        }
        self._left_out = {}
        self._next_ask_at = 0.0
        self._started = True

    def _mark_incomplete(self, group: int, is_owned: bool, now: float) -> None:
        """Mark a group's records incomplete until the import.

        Complete records of a group that is not owned stay complete, as the
        new owners request them; of an owned one, their epoch is stored.
        """
        for name, times in self._complete_at.items():
            if times[group] > now:
                times[group] = math.inf
            elif is_owned:
                self._complete_in_epoch[name, group] = self._last_owned[group]
                times[group] = math.inf

    def tick(
        self,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Repeat the requests to peers that haven't replied."""
        if not self._awaited:
            self._finish_import(routes, now)
            return []
        if now < self._next_ask_at:
            return []
        self._next_ask_at = now + ASK_INTERVAL_S
        return [self._keeper_ask(peer) for peer in sorted(self._awaited)]

    def handle_keeper_ask(
        self,
        peer: str,
        msg: flow_messages.KeeperAsk,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Reply to a peer in the same epoch with the records known here."""
        if msg.epoch != self._env.epoch or not self._started:
            return []
        wanted = flow_owners.from_bitmap(msg.groups)
        covered = []
        known = []
        remaining = RECORDS_PER_REPORT
        for group in sorted(wanted):
            if remaining <= 0:
                break
            covered.append(group)
            if self._last_owned[group] == NEVER_OWNED:
                continue
            group_records = self._group_records(group, routes, now)
            remaining -= sum(
                len(service.records) // flow_messages.FLOW_BYTES
                for service in group_records.services
            )
            known.append(group_records)
        self._left_out[peer] = wanted.difference(covered)
        report = flow_messages.KeeperReport(
            msg.epoch,
            flow_owners.to_bitmap(covered),
            tuple(known),
        )
        return [actions.Send(peer, report)]

    def handle_keeper_report(
        self,
        peer: str,
        msg: flow_messages.KeeperReport,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Import a reply, and request the groups that it left out."""
        awaited = self._awaited.get(peer)
        if awaited is None or msg.epoch != self._env.epoch:
            return []
        for group_records in msg.groups:
            if group_records.group in awaited:
                self._merge_group(group_records)
        awaited -= flow_owners.from_bitmap(msg.covered)
        if awaited:
            return [self._keeper_ask(peer)]
        del self._awaited[peer]
        if not self._awaited:
            self._finish_import(routes, now)
        return []

    def is_handed_over(self) -> bool:
        """Return whether all owners were sent all records they asked for."""
        owners = self._env.owners
        for group in _GROUPS:
            if self._last_owned[group] == NEVER_OWNED:
                continue
            for name in (owners.first[group], owners.second[group]):
                if name in ("", self._env.local_vm):
                    continue
                if name not in self._left_out or self._left_out[name]:
                    return False
        return True

    def _keeper_ask(self, peer: str) -> actions.Send:
        groups = flow_owners.to_bitmap(self._awaited[peer])
        msg = flow_messages.KeeperAsk(self._env.epoch, groups)
        return actions.Send(peer, msg)

    def _group_records(
        self,
        group: int,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> flow_messages.GroupRecords:
        """Return what is known here of a slot group, for a peer."""
        services = []
        agreements = []
        for route in routes.values():
            name = route.service.name
            packed = bytearray()
            for slot in route.slots(group):
                for flow, upstream, state in self._records.flows(name, slot):
                    packed += flow_messages.FLOW.pack(
                        flow,
                        upstream << _STATE_BITS | state,
                    )
                agreements += self._agreements.of_slot(name, slot)
            services.append(
                flow_messages.ServiceRecords(
                    name,
                    self._complete_at[name][group] <= now,
                    bytes(packed),
                )
            )
        return flow_messages.GroupRecords(
            group,
            self._last_owned[group],
            tuple(services),
            tuple(agreements),
        )

    def _merge_group(self, group_records: flow_messages.GroupRecords) -> None:
        """Merge a peer's records; the latest owner's replaces an earlier."""
        group = group_records.group
        latest = max(
            self._latest_epoch.get(group, NEVER_OWNED),
            group_records.last_owned,
        )
        self._latest_epoch[group] = latest
        for service in group_records.services:
            name = service.service
            if service.complete:
                epoch = self._complete_in_epoch.get((name, group), NEVER_OWNED)
                epoch = max(epoch, group_records.last_owned)
                self._complete_in_epoch[name, group] = epoch
            for flow, code in flow_messages.FLOW.iter_unpack(service.records):
                key = (name, group, flow)
                previous = self._imports.get(key)
                if (
                    previous is not None
                    and previous.last_owned >= group_records.last_owned
                ):
                    continue
                self._imports[key] = _Imported(
                    group_records.last_owned,
                    code >> _STATE_BITS,
                    flow_records.State(code & (1 << _STATE_BITS) - 1),
                )
        for agreement in group_records.agreements:
            self._agreements.add(agreement)

    def _finish_import(
        self,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> None:
        """Merge the imported records, once every peer has replied."""
        if not self._started:
            return
        local_vm = self._env.local_vm
        wanted = [
            group
            for group in _GROUPS
            if self._env.owners.is_owner(group, local_vm)
            and not self._known_groups[group]
        ]
        if not wanted:
            return
        for route in routes.values():
            for group in wanted:
                self._drop_superseded(route, group, now)
        for (name, _, flow), imported in self._imports.items():
            self._import_record(routes, name, flow, imported, now)
        for group in wanted:
            self._known_groups[group] = True
            self._last_owned[group] = self._env.epoch
        self._imports = {}
        self._current_flows = set()

    def _drop_superseded(
        self,
        route: flow_routes.Route,
        group: int,
        now: float,
    ) -> None:
        """Remove records of a group that a later owner has replaced.

        When the latest owner knew every live flow, any record that it
        lacks is of a flow that has ended.
        """
        name = route.service.name
        own_epoch = self._last_owned[group]
        latest = max(self._latest_epoch.get(group, NEVER_OWNED), own_epoch)
        is_complete = (
            self._complete_in_epoch.get((name, group), NEVER_OWNED) == latest
        )
        is_complete = is_complete and latest != NEVER_OWNED
        if self._complete_at[name][group] == math.inf:
            after = 0 if is_complete else self._complete_after_s
            self._complete_at[name][group] = now + after
        if not is_complete or own_epoch == latest:
            return
        for slot in route.slots(group):
            for flow, _, _ in self._records.flows(name, slot):
                if flow not in self._current_flows:
                    self._records.remove(name, slot, flow)
        for key, imported in list(self._imports.items()):
            if key[:2] == (name, group) and imported.last_owned < latest:
                del self._imports[key]

    def _import_record(
        self,
        routes: Mapping[int, flow_routes.Route],
        name: str,
        flow: int,
        imported: _Imported,
        now: float,
    ) -> None:
        """Store an imported record, unless a later one is known here."""
        for route in routes.values():
            if route.service.name != name or flow in self._current_flows:
                continue
            slot = flow & route.mask
            if self._last_owned[route.group(slot)] > imported.last_owned:
                continue
            self._records.put(
                name,
                slot,
                flow,
                imported.upstream,
                imported.state,
                now,
            )
