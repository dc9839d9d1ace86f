"""Pinning of tracked slots, once both owners agree on a new base.

After the agreement both owners send unrecorded flows of the slot to the
new base, even before the pinned slot is committed to the log.
"""

import collections
from collections.abc import Mapping

import attrs

from ebonytally import actions
from ebonytally import commands
from ebonytally.flows import flow_agreements
from ebonytally.flows import flow_environment
from ebonytally.flows import flow_handover
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally import view

CHECK_INTERVAL_S = 1.0
PROPOSAL_INTERVAL_S = 10.0


@attrs.define
class Pins:
    """Finds tracked slots with all flows at one upstream, to pin them."""

    env: flow_environment.Environment
    records: flow_records.Records
    agreements: flow_agreements.BaseAgreements
    handover: flow_handover.Handover
    _next_check_at: float = 0.0
    _next_proposal_at: float = 0.0
    _proposal_count: int = 0
    _agreed: dict[tuple[str, int], set[int]] = attrs.field(factory=dict)

    def tick(
        self,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Send requests to second owners, and proposals to the leader."""
        if now < self._next_check_at or not self.env.leased:
            return []
        self._next_check_at = now + CHECK_INTERVAL_S
        if not self.handover.is_settled:
            return []
        actions_ = []
        for route in routes.values():
            if route.tracked:
                actions_ += self._check_tracked_slots(route, now)
        return actions_ + self._proposals_due(routes, now)

    def _proposals_due(
        self,
        routes: Mapping[int, flow_routes.Route],
        now: float,
    ) -> list[actions.Action]:
        """Propose agreed slots in batches, as each proposal costs bytes."""
        if now < self._next_proposal_at:
            return []
        self._next_proposal_at = now + PROPOSAL_INTERVAL_S
        actions_ = []
        for route in routes.values():
            for base in sorted(route.targets):
                key = (route.service.name, base)
                slots = self._agreed.pop(key, set()) & route.tracked.keys()
                if slots:
                    actions_.append(
                        self._make_proposal(route, base, sorted(slots))
                    )
        self._agreed.clear()
        return actions_

    def _check_tracked_slots(
        self,
        route: flow_routes.Route,
        now: float,
    ) -> list[actions.Action]:
        """Mark slots that are agreed on, and ask about those that may be."""
        asks = collections.defaultdict(list)
        for slot, state in route.tracked.items():
            group = route.group(slot)
            if self.env.owners.first[group] != self.env.local_vm:
                continue
            base = self.agreements.agreed_base(route.service.name, state)
            if base in route.targets:
                self._mark_agreed(route, base, [slot])
                continue
            base = self._sole_upstream(route, state, now)
            if base is None:
                continue
            second = self.env.owners.second[group]
            if second:
                asks[second, base].append((slot, state.base_revision))
            else:
                self._add_agreement(route, state, base)
                self._mark_agreed(route, base, [slot])
        return [
            self._pin_ask(route, second, base, pairs)
            for (second, base), pairs in asks.items()
        ]

    def _mark_agreed(
        self,
        route: flow_routes.Route,
        base: int,
        slots: list[int],
    ) -> None:
        key = (route.service.name, base)
        self._agreed.setdefault(key, set()).update(slots)

    def _sole_upstream(
        self,
        route: flow_routes.Route,
        state: view.SlotState,
        now: float,
    ) -> int | None:
        """Return the upstream that has all flows of a slot, if known.

        Unrecorded flows may be at the base as long as it gets packets, so
        then this owner must know every live flow.
        """
        name = route.service.name
        if not state.may_place or state.target not in route.targets:
            return None
        group = route.group(state.slot)
        base = self.agreements.agreed_base(name, state) or state.base
        is_base_usable = base in route.targets
        if is_base_usable and not self.handover.is_complete(name, group, now):
            return None
        if self.records.upstreams(name, state.slot) - {state.target}:
            return None
        return state.target

    def _pin_ask(
        self,
        route: flow_routes.Route,
        second: str,
        base: int,
        pairs: list[tuple[int, int]],
    ) -> actions.Send:
        flat = tuple(number for pair in pairs for number in pair)
        msg = flow_messages.PinAsk(
            self.env.epoch,
            route.service.name,
            flat,
            base,
        )
        return actions.Send(second, msg)

    def handle_pin_ask(
        self,
        peer: str,
        msg: flow_messages.PinAsk,
        route: flow_routes.Route,
    ) -> list[actions.Action]:
        """Agree on slots with no flow recorded here at other upstreams."""
        agreed = []
        for slot, state in self._matching_slots(msg, route):
            group = route.group(slot)
            if not self.handover.is_group_known(group):
                continue
            if self.env.owners.second[group] != self.env.local_vm:
                continue
            recorded = self.records.upstreams(msg.service, slot)
            if recorded - {msg.base}:
                continue
            self._add_agreement(route, state, msg.base)
            agreed += [slot, state.base_revision]
        if not agreed:
            return []
        answer = flow_messages.PinAgreed(
            msg.epoch,
            msg.service,
            tuple(agreed),
            msg.base,
        )
        return [actions.Send(peer, answer)]

    def handle_pin_agreed(
        self,
        msg: flow_messages.PinAgreed,
        route: flow_routes.Route,
        now: float,
    ) -> list[actions.Action]:
        """Mark the slots that both owners agree on, to be proposed."""
        slots = []
        for slot, state in self._matching_slots(msg, route):
            if self.env.owners.first[route.group(slot)] != self.env.local_vm:
                continue
            if self._is_sole_upstream(route, slot, msg.base):
                self._add_agreement(route, state, msg.base)
                slots.append(slot)
        self._mark_agreed(route, msg.base, slots)
        return []

    def _is_sole_upstream(
        self,
        route: flow_routes.Route,
        slot: int,
        base: int,
    ) -> bool:
        return not self.records.upstreams(route.service.name, slot) - {base}

    def _matching_slots(
        self,
        msg: flow_messages.PinAsk | flow_messages.PinAgreed,
        route: flow_routes.Route,
    ) -> list[tuple[int, view.SlotState]]:
        """Return a message's slots whose base revision is the same here."""
        if msg.epoch != self.env.epoch:
            return []
        pairs = zip(msg.slots[::2], msg.slots[1::2], strict=False)
        return [
            (slot, route.tracked[slot])
            for slot, since in pairs
            if slot in route.tracked
            and route.tracked[slot].base_revision == since
        ]

    def _add_agreement(
        self,
        route: flow_routes.Route,
        state: view.SlotState,
        base: int,
    ) -> None:
        self.agreements.add(
            flow_messages.BaseAgreement(
                route.service.name,
                state.slot,
                state.base_revision,
                base,
            )
        )

    def _make_proposal(
        self,
        route: flow_routes.Route,
        base: int,
        slots: list[int],
    ) -> actions.Propose:
        self._proposal_count += 1
        cmd = commands.SlotsPinned(
            route.service.name,
            tuple(slots),
            base,
            self.env.state.revision,
        )
        token = f"pin-{self.env.local_vm}-{self._proposal_count}"
        return actions.Propose(token, cmd)
