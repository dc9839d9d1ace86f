"""How keepers come to know the flows of their slot groups.

When keepers change, each keeper asks every other entry VM. A peer that
answers is in the same keeper epoch, so it no longer decides as a keeper
of an earlier one; its answer brings the flows that it knows of.
"""

from collections.abc import Mapping
import math

import attrs

from ebonytally import actions
from ebonytally.flows import flow_keepers
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_promises
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally.flows import flow_site
from ebonytally import view

ASK_INTERVAL_S = 0.25
RECORDS_PER_REPORT = 4000
NEVER = -1
_GROUPS = range(flow_keepers.GROUPS)
_STATE_BITS = 2


@attrs.define
class _Imported:
    held: int
    upstream: int
    state: flow_records.State


class Handover:
    """Which slot groups this entry VM may decide about, and asks."""

    def __init__(
        self,
        site: flow_site.Site,
        records: flow_records.Records,
        promises: flow_promises.Promises,
        complete_after_s: float,
    ) -> None:
        """Start as a VM that never kept a flow.

        :param complete_after_s: a keeper that listened for this long has
            heard of every live flow
        """
        self._site = site
        self._records = records
        self._promises = promises
        self._complete_after_s = complete_after_s
        self._knows = [False] * flow_keepers.GROUPS
        self._held = [NEVER] * flow_keepers.GROUPS
        self._complete_at: dict[str, list[float]] = {}
        self._missing: dict[str, set[int]] = {}
        self._imports: dict[tuple[str, int, int], _Imported] = {}
        self._complete_held: dict[tuple[str, int], int] = {}
        self._highest_held: dict[int, int] = {}
        self._fresh: set[int] = set()
        self._served: dict[str, set[int]] = {}
        self._next_ask = 0.0
        self._open = False

    @property
    def agreed(self) -> bool:
        """Tell whether every live entry VM is in this keeper epoch."""
        return self._open and not self._missing

    def knows(self, group: int) -> bool:
        """Tell whether every flow placed off its base is known here."""
        return self._knows[group]

    def trusts(self, group: int, flow: int) -> bool:
        """Tell whether a record of a flow is no old one."""
        return self._knows[group] or flow in self._fresh

    def note_fresh(self, group: int, flow: int) -> None:
        """Note that a record was made in this keeper epoch."""
        if not self._knows[group]:
            self._fresh.add(flow)

    def complete(self, service: str, group: int, now: float) -> bool:
        """Tell whether every live flow of a service's group is known."""
        return self._knows[group] and now >= self._complete_at[service][group]

    def add_service(self, service: str, born: bool, now: float) -> None:
        """Begin with a service.

        :param born: it had no flow before now
        """
        later = now + self._complete_after_s
        self._complete_at[service] = [
            now if born else (later if knows else math.inf)
            for knows in self._knows
        ]

    def drop_service(self, service: str) -> None:
        """Forget a service."""
        self._complete_at.pop(service, None)

    def begin(
        self,
        old: flow_keepers.Keepers,
        carry: bool,
        now: float,
    ) -> None:
        """Begin the site's keeper epoch.

        :param old: the keepers before it
        :param carry: what was known before still counts
        """
        me = self._site.me
        keepers = self._site.keepers
        self._imports = {}
        self._complete_held = {}
        self._highest_held = {}
        self._fresh = set()
        wanted = set()
        for group in _GROUPS:
            carried = carry and old.holds(group, me) and self._knows[group]
            kept = keepers.holds(group, me)
            self._knows[group] = carried and kept
            if self._knows[group]:
                self._held[group] = self._site.epoch
                continue
            if kept:
                wanted.add(group)
            self._leave(group, kept, now)
        self._missing = {
            vm.name: set(wanted)
            for vm in self._site.state.vms
            if vm.state is not view.VmState.DOWN and vm.name != me
        }
        self._served = {}
        self._next_ask = 0.0
        self._open = True

    def _leave(self, group: int, kept: bool, now: float) -> None:
        """Note what was complete when keeping a group was interrupted."""
        for name, at in self._complete_at.items():
            if at[group] > now:
                at[group] = math.inf
            elif kept:
                self._complete_held[name, group] = self._held[group]
                at[group] = math.inf

    def tick(
        self,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Ask peers that haven't answered."""
        if not self._missing:
            self._settle(routes, now)
            return []
        if now < self._next_ask:
            return []
        self._next_ask = now + ASK_INTERVAL_S
        return [self._ask(peer) for peer in sorted(self._missing)]

    def asked(
        self,
        peer: str,
        msg: flow_messages.KeeperAsk,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Answer a peer in the same epoch with what is known here."""
        if msg.epoch != self._site.epoch or not self._open:
            return []
        wanted = flow_keepers.from_bitmap(msg.groups)
        covered = []
        found = []
        room = RECORDS_PER_REPORT
        for group in sorted(wanted):
            if room <= 0:
                break
            covered.append(group)
            if self._held[group] == NEVER:
                continue
            part = self._group(group, routes, now)
            room -= sum(
                len(one.records) // flow_messages.FLOW_BYTES
                for one in part.services
            )
            found.append(part)
        self._served.setdefault(peer, set()).update(covered)
        report = flow_messages.KeeperReport(
            msg.epoch,
            flow_keepers.to_bitmap(covered),
            tuple(found),
        )
        return [actions.Send(peer, report)]

    def reported(
        self,
        peer: str,
        msg: flow_messages.KeeperReport,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Take an answer; ask on for what it left out."""
        missing = self._missing.get(peer)
        if missing is None or msg.epoch != self._site.epoch:
            return []
        for part in msg.groups:
            if part.group in missing:
                self._take(part)
        missing -= flow_keepers.from_bitmap(msg.covered)
        if missing:
            return [self._ask(peer)]
        del self._missing[peer]
        if not self._missing:
            self._settle(routes, now)
        return []

    def handed_over(self) -> bool:
        """Tell whether the keepers have all that this VM knew."""
        keepers = self._site.keepers
        for group in _GROUPS:
            if self._held[group] == NEVER:
                continue
            for name in (keepers.first[group], keepers.second[group]):
                if name in ("", self._site.me):
                    continue
                if name not in self._served:
                    return False
        return True

    def _ask(self, peer: str) -> actions.Send:
        groups = flow_keepers.to_bitmap(self._missing[peer])
        msg = flow_messages.KeeperAsk(self._site.epoch, groups)
        return actions.Send(peer, msg)

    def _group(
        self,
        group: int,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> flow_messages.GroupRecords:
        services = []
        promises = []
        for route in routes.values():
            name = route.service.name
            packed = bytearray()
            for slot in route.slots(group):
                for flow, upstream, state in self._records.flows(name, slot):
                    packed += flow_messages.FLOW.pack(
                        flow,
                        upstream << _STATE_BITS | state,
                    )
                promises += self._promises.of(name, slot)
            services.append(
                flow_messages.ServiceRecords(
                    name,
                    self._complete_at[name][group] <= now,
                    bytes(packed),
                )
            )
        return flow_messages.GroupRecords(
            group,
            self._held[group],
            tuple(services),
            tuple(promises),
        )

    def _take(self, part: flow_messages.GroupRecords) -> None:
        group = part.group
        highest = max(self._highest_held.get(group, NEVER), part.held)
        self._highest_held[group] = highest
        for service in part.services:
            name = service.service
            if service.complete:
                held = self._complete_held.get((name, group), NEVER)
                held = max(held, part.held)
                self._complete_held[name, group] = held
            for flow, code in flow_messages.FLOW.iter_unpack(service.records):
                key = (name, group, flow)
                before = self._imports.get(key)
                if before is not None and before.held >= part.held:
                    continue
                self._imports[key] = _Imported(
                    part.held,
                    code >> _STATE_BITS,
                    flow_records.State(code & (1 << _STATE_BITS) - 1),
                )
        for promise in part.promises:
            self._promises.take(promise)

    def _settle(
        self,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> None:
        """Know the groups of which every peer told what it knows."""
        if not self._open:
            return
        me = self._site.me
        wanted = [
            group
            for group in _GROUPS
            if self._site.keepers.holds(group, me) and not self._knows[group]
        ]
        if not wanted:
            return
        for route in routes.values():
            for group in wanted:
                self._settle_group(route, group, now)
        for (name, _, flow), one in self._imports.items():
            self._import(routes, name, flow, one, now)
        for group in wanted:
            self._knows[group] = True
            self._held[group] = self._site.epoch
        self._imports = {}
        self._fresh = set()

    def _settle_group(
        self,
        route: flow_routes.Route,
        group: int,
        now: float,
    ) -> None:
        """Drop what a later keeper of the group knows better."""
        name = route.service.name
        own = self._held[group]
        highest = max(self._highest_held.get(group, NEVER), own)
        complete = self._complete_held.get((name, group), NEVER) == highest
        complete = complete and highest != NEVER
        if self._complete_at[name][group] == math.inf:
            after = 0 if complete else self._complete_after_s
            self._complete_at[name][group] = now + after
        if not complete or own == highest:
            return
        for slot in route.slots(group):
            for flow, _, _ in self._records.flows(name, slot):
                if flow not in self._fresh:
                    self._records.remove(name, slot, flow)
        for key, one in list(self._imports.items()):
            if key[:2] == (name, group) and one.held < highest:
                del self._imports[key]

    def _import(
        self,
        routes: Mapping[int, flow_routes.Route],
        name: str,
        flow: int,
        one: _Imported,
        now: float,
    ) -> None:
        for route in routes.values():
            if route.service.name != name or flow in self._fresh:
                continue
            slot = flow & route.mask
            if self._held[route.group(slot)] > one.held:
                continue
            self._records.put(
                name,
                slot,
                flow,
                one.upstream,
                one.state,
                now,
            )
