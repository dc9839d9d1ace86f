"""Grants of request slots, by the entry VM that is an upstream's grantor.

Holders are the entry VMs that use the slots. The attempts that all of them
may have in progress never exceed the upstream's limit. Holders that aren't
heard keep their slots until their lease and the longest attempt that they
may have started have ended.
"""

from ebonytally import settings
from ebonytally.upstreams import slot_grantor_state
from ebonytally.upstreams import slot_ledger
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import slot_transfers
from ebonytally.upstreams import upstream_choice
from ebonytally.upstreams import warmup
from ebonytally import view

RESEND_AFTER_S = 0.1
ANSWER_FRACTION = 0.2
RECALL_INTERVAL_S = 0.1
DEMAND_VALID_S = 1.5
EXCLUSION_S = 1.0
MAX_RETIRED_BOOTS = 8


class Grantor:
    """Grants slots of the upstreams whose grantor this entry VM is.

    :param boot: random number that identifies this process
    """

    def __init__(
        self, cfg: settings.Settings, local_vm: str, boot: int
    ) -> None:
        """Set up without upstreams and holders."""
        self._cfg = cfg
        self._local_vm = local_vm
        self._boot = boot
        self._serial = 0
        self._view = view.View()
        self._holders: dict[str, slot_grantor_state.HolderState] = {}
        self.endpoints: dict[int, slot_grantor_state.Endpoint] = {}
        self._leased = True
        self._must_grant = True

    def on_lease_change(self, leased: bool) -> None:
        """Record whether this VM holds the configuration lease."""
        self._must_grant |= self._leased != leased
        self._leased = leased

    def on_view_change(self, new: view.View, now: float) -> None:
        """Apply a newer view, which may change the upstreams to grant."""
        self._must_grant = True
        old = self._view
        self._view = new
        known_ids = {upstream.id for upstream in old.upstreams}
        same_epoch = old.revision > 0 and old.owner_epoch == new.owner_epoch
        granted = {
            upstream.id: upstream
            for upstream in new.upstreams
            if upstream_choice.grantor(new.vms, upstream) == self._local_vm
        }
        for upstream_id in set(self.endpoints) - set(granted):
            del self.endpoints[upstream_id]
        for upstream in granted.values():
            known = self.endpoints.get(upstream.id)
            if known is None:
                fresh = same_epoch and upstream.id not in known_ids
                self._add_endpoint(upstream, fresh, now)
            else:
                known.upstream = upstream
            if upstream.data_centre in new.out:
                self.endpoints[upstream.id].warm.reset_to_cold()
        self._forget_retired_vms(old, new)

    def _forget_retired_vms(self, old: view.View, new: view.View) -> None:
        """Drop the state of holders that the view no longer contains."""
        names = {vm.name for vm in new.vms}
        for name in {vm.name for vm in old.vms} - names:
            self._holders.pop(name, None)

    def _add_endpoint(
        self, upstream: view.Upstream, fresh: bool, now: float
    ) -> None:
        wait_s = self._cfg.limits.lease_s + self._cfg.upstreams.loan_s
        self.endpoints[upstream.id] = slot_grantor_state.Endpoint(
            upstream=upstream,
            warm=warmup.Warmup(
                self._cfg.upstreams, upstream.slots, upstream.share
            ),
            since=self._view.revision,
            settled=fresh,
            fresh=fresh,
            announced=fresh,
            leases_end=now if fresh else now + wait_s,
        )

    def _max_attempt_s(self) -> float:
        """Return the longest attempt that any holder may have, in seconds."""
        return max(
            self._cfg.requests.default_timeout_s,
            *(
                holder.wanted_max_attempt_s
                for holder in self._holders.values()
            ),
            0.0,
        )

    def retire(self, upstream: int) -> None:
        """Stop grants of an upstream that drains or has restarted."""
        if upstream in self.endpoints:
            self.endpoints[upstream].retired = True
            self._must_grant = True

    def on_announcement(self, upstream: int, at: float) -> None:
        """Record when the incarnation in the view last announced itself."""
        endpoint = self.endpoints.get(upstream)
        if endpoint is not None:
            self._must_grant |= not endpoint.announced
            endpoint.announced = True
            endpoint.warm.on_announcement(at)

    def handle_report(
        self, peer: str, msg: slot_messages.Report, now: float
    ) -> None:
        """Apply a holder's report, unless it is late or a duplicate."""
        self._must_grant = True
        state = self._holders.setdefault(
            peer, slot_grantor_state.HolderState()
        )
        if msg.boot in state.retired_boots:
            return
        if msg.boot != state.boot:
            self._on_holder_restart(peer, state, msg.boot)
        if msg.number <= state.number:
            return
        state.number = msg.number
        state.stamp_ms = msg.stamp_ms
        state.received_at = now
        state.lease_until = max(state.lease_until, now)
        if msg.revision <= self._view.revision:
            state.revision = max(state.revision, msg.revision)
        state.wanted_max_attempt_s = msg.max_attempt_s
        state.demands = {demand.service: demand for demand in msg.demands}
        uses = {use.upstream: use for use in msg.uses}
        same_process = msg.grantor_boot == self._boot
        for upstream, endpoint in self.endpoints.items():
            use = uses.get(upstream)
            self._update_settled(endpoint, now)
            if use is not None:
                self._apply_use(
                    endpoint, peer, use, use.serial * same_process, now
                )

    def _on_holder_restart(
        self, name: str, holder: slot_grantor_state.HolderState, boot: int
    ) -> None:
        """Drop the grants of the holder's former process.

        Its connections, and with them its attempts, ended with it.
        """
        if holder.boot:
            holder.retired_boots = [*holder.retired_boots, holder.boot][
                -MAX_RETIRED_BOOTS:
            ]
        holder.boot = boot
        holder.number = 0
        holder.lease_until = float("-inf")
        for endpoint in self.endpoints.values():
            endpoint.entries.pop(name, None)
            endpoint.reported.pop(name, None)

    def _apply_use(
        self,
        endpoint: slot_grantor_state.Endpoint,
        name: str,
        use: slot_messages.SlotUse,
        serial: int,
        now: float,
    ) -> None:
        entry = endpoint.entries.setdefault(name, slot_ledger.Entry())
        entry.on_report(use, serial)
        old = endpoint.reported.get(name)
        endpoint.reported[name] = use
        if use.avoid:
            endpoint.excluded_until[name] = now + EXCLUSION_S
        if old is not None:
            self._apply_outcomes(endpoint, name, old, use, now)
        elif endpoint.fresh:
            zero_use = slot_messages.SlotUse(use.upstream, 0, 0, 0)
            self._apply_outcomes(endpoint, name, zero_use, use, now)
        elif endpoint.warm.is_limited:
            endpoint.warm.on_answers(0, use.mean_answer_ms / 1000, now)

    def _apply_outcomes(
        self,
        endpoint: slot_grantor_state.Endpoint,
        name: str,
        old: slot_messages.SlotUse,
        use: slot_messages.SlotUse,
        now: float,
    ) -> None:
        took_s = use.mean_answer_ms / 1000
        if use.oks > old.oks:
            endpoint.warm.on_answers(use.oks - old.oks, took_s, now)
        if use.slows > old.slows:
            endpoint.warm.on_slow_answers(use.slows - old.slows, took_s, now)
        for _ in range(min(use.sheds - old.sheds, endpoint.upstream.slots)):
            endpoint.warm.on_shed(now)
        if use.fails > old.fails:
            endpoint.warm.on_connection_lost(now)
            endpoint.excluded_until[name] = now + EXCLUSION_S

    def _update_settled(
        self, endpoint: slot_grantor_state.Endpoint, now: float
    ) -> None:
        """Mark the endpoint settled once no former grantor matters.

        That is when every entry VM reports a view in which this VM is the
        grantor, or when all older leases and attempts must have ended.
        """
        if endpoint.settled:
            return
        heard = all(
            vm.name in self._holders
            and self._holders[vm.name].revision >= endpoint.since
            for vm in self._view.vms
        )
        max_attempt_s = min(
            endpoint.assumed_max_attempt_s, self._max_attempt_s()
        )
        endpoint.settled = heard or now >= endpoint.leases_end + max_attempt_s

    def tick(self, now: float) -> None:
        """Free slots of lost holders, update settled and warm state."""
        self._must_grant = True
        for name, holder in self._holders.items():
            if self._is_lost(holder, now) and name != self._local_vm:
                self._free_slots(name, holder, now)
        for endpoint in self.endpoints.values():
            self._update_settled(endpoint, now)
            if not endpoint.upstream.request_port:
                endpoint.warm.warm_by_time(now)

    def _is_lost(
        self, holder: slot_grantor_state.HolderState, now: float
    ) -> bool:
        """Return whether a holder is silent and can't start attempts."""
        silent = now - holder.received_at >= self._cfg.upstreams.loan_s
        return silent and now >= holder.lease_until

    def _free_slots(
        self, name: str, holder: slot_grantor_state.HolderState, now: float
    ) -> None:
        """Free the slots of a lost holder whose attempts must have ended."""
        for endpoint in self.endpoints.values():
            if name not in endpoint.entries:
                continue
            max_attempt_s = min(
                endpoint.assumed_max_attempt_s,
                holder.max_attempt_s or self._max_attempt_s(),
            )
            if now >= holder.lease_until + max_attempt_s:
                del endpoint.entries[name]

    def grant_slots(self, now: float) -> list[tuple[str, slot_messages.Loans]]:
        """Grant free slots to the holders with the highest load.

        :return: pairs of holder name and message to send
        """
        if not self._must_grant:
            return []
        self._must_grant = False
        loads = self._loads_by_service(now)
        for endpoint in sorted(
            self.endpoints.values(),
            key=lambda endpoint: endpoint.bound / endpoint.upstream.slots,
        ):
            self._grant_free_slots(endpoint, loads, now)
        return self._grant_messages(now)

    def _loads_by_service(
        self, now: float
    ) -> dict[str, slot_transfers.HolderLoads]:
        """Return the load of each holder heard recently, by service."""
        out: dict[str, slot_transfers.HolderLoads] = {}
        for name, holder in self._holders.items():
            if now - holder.received_at > DEMAND_VALID_S:
                continue
            for demand in holder.demands.values():
                load = slot_transfers.HolderLoad(
                    demand.waiting,
                    demand.busy,
                    demand.held,
                )
                out.setdefault(demand.service, {})[name] = load
        return out

    def limit(self, endpoint: slot_grantor_state.Endpoint, now: float) -> int:
        """Return how many attempts all holders together may have now."""
        upstream = endpoint.upstream
        if endpoint.retired or not endpoint.settled:
            return 0
        local = upstream.data_centre == self._cfg.data_centre
        if local and not endpoint.announced:
            return 0
        allowed = upstream_choice.grantable(
            upstream.slots, local, self._leased
        )
        if not upstream_choice.is_usable(
            self._view, upstream, self._cfg.data_centre, self._leased
        ):
            return 0
        return min(allowed, endpoint.warm.attempt_limit(now))

    def _grant_free_slots(
        self,
        endpoint: slot_grantor_state.Endpoint,
        loads_by_service: dict[str, slot_transfers.HolderLoads],
        now: float,
    ) -> None:
        limit = self.limit(endpoint, now)
        loads = loads_by_service.get(endpoint.upstream.service, {})
        bound = endpoint.bound
        if limit == 0 or bound > limit:
            self._recall_above(endpoint, limit)
            return
        while bound < limit:
            eligible = self._eligible(endpoint, loads, now)
            name = slot_transfers.most_loaded(
                eligible, endpoint.warm.is_limited
            )
            if not name:
                return
            self._grant_slot(endpoint, name)
            loads[name].on_slot_gained()
            bound = endpoint.bound
        if not endpoint.warm.is_limited:
            self._rebalance(endpoint, loads, now)

    def _eligible(
        self,
        endpoint: slot_grantor_state.Endpoint,
        loads: slot_transfers.HolderLoads,
        now: float,
    ) -> slot_transfers.HolderLoads:
        """Return the holders that a slot may be granted to."""
        return {
            name: load
            for name, load in loads.items()
            if self._may_grant_to(endpoint, name, now)
        }

    def _may_grant_to(
        self,
        endpoint: slot_grantor_state.Endpoint,
        name: str,
        now: float,
    ) -> bool:
        """Return whether a holder is heard, not excluded and up to date.

        Single starts of a cold upstream are granted one after the other:
        the next only after a report has confirmed the last.
        """
        holder = self._holders[name]
        if now - holder.received_at >= self._cfg.upstreams.loan_s / 2:
            return False
        if now < endpoint.excluded_until.get(name, now):
            return False
        entry = endpoint.entries.get(name)
        return not (endpoint.warm.is_limited and entry and entry.unconfirmed)

    def _grant_slot(
        self, endpoint: slot_grantor_state.Endpoint, name: str
    ) -> None:
        entry = endpoint.entries.setdefault(name, slot_ledger.Entry())
        starts = 1 if endpoint.warm.is_limited else slot_messages.UNLIMITED
        self._change_grant(entry, name, max(entry.count, 0) + 1, starts)

    def _change_grant(
        self,
        entry: slot_ledger.Entry,
        name: str,
        count: int,
        starts: int,
    ) -> None:
        self._serial += 1
        entry.grant(self._serial, count, starts)
        self._holders[name].must_send = True

    def _recall_above(
        self, endpoint: slot_grantor_state.Endpoint, limit: int
    ) -> None:
        """Reduce the largest grants until their sum is within the limit."""
        entries = endpoint.entries
        total = sum(entry.count for entry in entries.values())
        for name in sorted(entries, key=lambda holder: -entries[holder].count):
            entry = entries[name]
            if total <= limit or name not in self._holders:
                break
            less = min(entry.count, total - limit)
            if less:
                self._change_grant(entry, name, entry.count - less, 0)
                total -= less

    def _rebalance(
        self,
        endpoint: slot_grantor_state.Endpoint,
        loads: slot_transfers.HolderLoads,
        now: float,
    ) -> None:
        """Recall a slot from the least for the most loaded holder."""
        if now - endpoint.recalled_at < RECALL_INTERVAL_S:
            return
        if self._is_recalling(endpoint, now):
            return
        donors = frozenset(
            name
            for name, entry in endpoint.entries.items()
            if entry.count > 0 and not self._is_lost(self._holders[name], now)
        )
        eligible = self._eligible(endpoint, loads, now)
        transfer = slot_transfers.best_transfer(eligible, loads, donors)
        if transfer is None:
            return
        endpoint.recalled_at = now
        entry = endpoint.entries[transfer.donor]
        self._change_grant(
            entry, transfer.donor, entry.count - 1, entry.starts
        )
        if transfer.donor in loads:
            loads[transfer.donor].on_slot_lost()
        loads[transfer.recipient].on_slot_gained()

    def _is_recalling(
        self, endpoint: slot_grantor_state.Endpoint, now: float
    ) -> bool:
        """Return whether a holder that isn't lost must return a slot."""
        return any(
            entry.recalled_count
            and not self._is_lost(self._holders[name], now)
            for name, entry in endpoint.entries.items()
        )

    def _grant_messages(
        self, now: float
    ) -> list[tuple[str, slot_messages.Loans]]:
        out = []
        answer_s = ANSWER_FRACTION * self._cfg.upstreams.loan_s
        for name, holder in sorted(self._holders.items()):
            if now - holder.received_at >= self._cfg.upstreams.loan_s:
                continue
            grants = self._unconfirmed_grants(name)
            gap_s = RESEND_AFTER_S if grants else answer_s
            must_renew = (
                holder.received_at > holder.sent_at
                and now - holder.sent_at >= gap_s
            )
            must_resend = grants and now - holder.sent_at >= gap_s
            if not holder.must_send and not must_renew and not must_resend:
                continue
            out.append((name, self._grant_message(holder, grants, now)))
        return out

    def _unconfirmed_grants(
        self, name: str
    ) -> tuple[slot_messages.SlotGrant, ...]:
        return tuple(
            endpoint.entries[name].to_message(upstream)
            for upstream, endpoint in self.endpoints.items()
            if name in endpoint.entries and endpoint.entries[name].unconfirmed
        )

    def _grant_message(
        self,
        holder: slot_grantor_state.HolderState,
        grants: tuple[slot_messages.SlotGrant, ...],
        now: float,
    ) -> slot_messages.Loans:
        holder.must_send = False
        holder.sent_at = now
        until = holder.received_at + self._cfg.upstreams.loan_s
        holder.lease_until = max(holder.lease_until, until)
        default_s = self._cfg.requests.default_timeout_s
        holder.max_attempt_s = max(
            holder.max_attempt_s, default_s, holder.wanted_max_attempt_s
        )
        return slot_messages.Loans(
            boot=holder.boot,
            stamp_ms=holder.stamp_ms,
            grantor_boot=self._boot,
            max_attempt_s=int(holder.max_attempt_s),
            grants=grants,
        )
