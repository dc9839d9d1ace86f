"""When a kept slot may be pinned: both keepers agree on its base.

From the agreement on, both send unrecorded flows of the slot to the new
base, whether or not the log has the pinned slot yet.
"""

import collections
from collections.abc import Mapping

import attrs

from ebonytally import actions
from ebonytally import commands
from ebonytally.flows import flow_handover
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_promises
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally.flows import flow_site
from ebonytally import view

INTERVAL_S = 1.0
PROPOSE_EVERY_S = 10.0


@attrs.define
class Pins:
    """Looks for kept slots with all flows at one upstream."""

    site: flow_site.Site
    records: flow_records.Records
    promises: flow_promises.Promises
    handover: flow_handover.Handover
    _next: float = 0.0
    _propose_at: float = 0.0
    _proposals: int = 0
    _agreed: dict[tuple[str, int], set[int]] = attrs.field(factory=dict)

    def tick(
        self,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Ask the second keepers, or propose what was agreed."""
        if now < self._next or not self.site.leased:
            return []
        self._next = now + INTERVAL_S
        if not self.handover.agreed:
            return []
        found = []
        for route in routes.values():
            if route.kept:
                found += self._look(route, now)
        return found + self._proposed(routes, now)

    def _proposed(
        self,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Propose what was agreed, together: each proposal costs bytes."""
        if now < self._propose_at:
            return []
        self._propose_at = now + PROPOSE_EVERY_S
        found = []
        for route in routes.values():
            for base in sorted(route.targets):
                key = (route.service.name, base)
                slots = self._agreed.pop(key, set()) & route.kept.keys()
                if slots:
                    found.append(self._propose(route, base, sorted(slots)))
        self._agreed.clear()
        return found

    def _look(
        self,
        route: flow_routes.Route,
        now: float,
    ) -> list[actions.Action]:
        asks = collections.defaultdict(list)
        for slot, state in route.kept.items():
            group = route.group(slot)
            if self.site.keepers.first[group] != self.site.me:
                continue
            base = self.promises.base(route.service.name, state)
            if base in route.targets:
                self._note(route, base, [slot])
                continue
            base = self._only(route, state, now)
            if base is None:
                continue
            second = self.site.keepers.second[group]
            if second:
                asks[second, base].append((slot, state.since))
            else:
                self._promise(route, state, base)
                self._note(route, base, [slot])
        return [
            self._ask(route, second, base, pairs)
            for (second, base), pairs in asks.items()
        ]

    def _note(
        self,
        route: flow_routes.Route,
        base: int,
        slots: list[int],
    ) -> None:
        key = (route.service.name, base)
        self._agreed.setdefault(key, set()).update(slots)

    def _only(
        self,
        route: flow_routes.Route,
        state: view.SlotState,
        now: float,
    ) -> int | None:
        """Return the upstream that all flows of a slot are at."""
        name = route.service.name
        if not state.placing or state.next not in route.targets:
            return None
        group = route.group(state.slot)
        base = self.promises.base(name, state) or state.base
        base_lives = base in route.targets
        if base_lives and not self.handover.complete(name, group, now):
            return None
        if self.records.upstreams(name, state.slot) - {state.next}:
            return None
        return state.next

    def _ask(
        self,
        route: flow_routes.Route,
        second: str,
        base: int,
        pairs: list[tuple[int, int]],
    ) -> actions.Send:
        flat = tuple(number for pair in pairs for number in pair)
        msg = flow_messages.PinAsk(
            self.site.epoch,
            route.service.name,
            flat,
            base,
        )
        return actions.Send(second, msg)

    def asked(
        self,
        peer: str,
        msg: flow_messages.PinAsk,
        route: flow_routes.Route,
    ) -> list[actions.Action]:
        """Agree where this keeper has no flow anywhere else."""
        agreed = []
        for slot, state in self._named(msg, route):
            group = route.group(slot)
            if not self.handover.knows(group):
                continue
            if self.site.keepers.second[group] != self.site.me:
                continue
            held = self.records.upstreams(msg.service, slot)
            if held - {msg.base}:
                continue
            self._promise(route, state, msg.base)
            agreed += [slot, state.since]
        if not agreed:
            return []
        answer = flow_messages.PinAgreed(
            msg.epoch,
            msg.service,
            tuple(agreed),
            msg.base,
        )
        return [actions.Send(peer, answer)]

    def agreed(
        self,
        msg: flow_messages.PinAgreed,
        route: flow_routes.Route,
        now: float,
    ) -> list[actions.Action]:
        """Propose the slots that both keepers agree on."""
        slots = []
        for slot, state in self._named(msg, route):
            if self.site.keepers.first[route.group(slot)] != self.site.me:
                continue
            if self._only_at(route, slot, msg.base):
                self._promise(route, state, msg.base)
                slots.append(slot)
        self._note(route, msg.base, slots)
        return []

    def _only_at(
        self,
        route: flow_routes.Route,
        slot: int,
        base: int,
    ) -> bool:
        return not self.records.upstreams(route.service.name, slot) - {base}

    def _named(
        self,
        msg: flow_messages.PinAsk | flow_messages.PinAgreed,
        route: flow_routes.Route,
    ) -> list[tuple[int, view.SlotState]]:
        """Return the kept slots of a message that are as the peer saw."""
        if msg.epoch != self.site.epoch:
            return []
        pairs = zip(msg.slots[::2], msg.slots[1::2], strict=False)
        return [
            (slot, route.kept[slot])
            for slot, since in pairs
            if slot in route.kept and route.kept[slot].since == since
        ]

    def _promise(
        self,
        route: flow_routes.Route,
        state: view.SlotState,
        base: int,
    ) -> None:
        self.promises.take(
            flow_messages.Promise(
                route.service.name,
                state.slot,
                state.since,
                base,
            )
        )

    def _propose(
        self,
        route: flow_routes.Route,
        base: int,
        slots: list[int],
    ) -> actions.Propose:
        self._proposals += 1
        cmd = commands.SlotsPinned(
            route.service.name,
            tuple(slots),
            base,
            self.site.state.revision,
        )
        token = f"pin-{self.site.me}-{self._proposals}"
        return actions.Propose(token, cmd)
