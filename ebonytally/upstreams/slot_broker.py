"""The lender's side of slot lending, for the upstreams it lends.

The sum of what all holders may have under way never passes what the
upstream may get. Holders not heard keep their slots until their lease
and the longest attempt that they may have started have ended.
"""

from ebonytally import settings
from ebonytally.upstreams import slot_ledger
from ebonytally.upstreams import slot_lent
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import slot_moves
from ebonytally.upstreams import upstream_choice
from ebonytally.upstreams import warmup
from ebonytally import view

RESEND_S = 0.1
ANSWER_PART = 0.2
RECALL_GAP_S = 0.1
NEED_FRESH_S = 1.5
EXCLUDE_S = 1.0
RETIRED_BOOTS = 8


class Broker:
    """Lends the slots of the upstreams whose lender this entry VM is.

    :param boot: drawn at the start, tells restarts apart
    """

    def __init__(self, cfg: settings.Settings, me: str, boot: int) -> None:
        """Lend nothing."""
        self._cfg = cfg
        self._me = me
        self._boot = boot
        self._serial = 0
        self._view = view.View()
        self._peers: dict[str, slot_lent.Peer] = {}
        self.endpoints: dict[int, slot_lent.Endpoint] = {}
        self._leased = True
        self._due = True

    def reach(self, leased: bool) -> None:
        """Note whether the configuration lease holds."""
        self._due |= self._leased != leased
        self._leased = leased

    def changed(self, new: view.View, now: float) -> None:
        """Take a newer view and the upstreams to lend."""
        self._due = True
        old = self._view
        self._view = new
        before = {one.id for one in old.upstreams}
        steady = old.revision > 0 and old.keeper_epoch == new.keeper_epoch
        mine = {
            one.id: one
            for one in new.upstreams
            if upstream_choice.lender(new.vms, one) == self._me
        }
        for upstream in set(self.endpoints) - set(mine):
            del self.endpoints[upstream]
        for one in mine.values():
            known = self.endpoints.get(one.id)
            if known is None:
                fresh = steady and one.id not in before
                self._begin(one, fresh, now)
            else:
                known.upstream = one
            if one.data_centre in new.out:
                self.endpoints[one.id].warm.started_anew()
        self._rearranged(old, new)

    def _rearranged(self, old: view.View, new: view.View) -> None:
        """Forget holders that were retired for good."""
        names = {vm.name for vm in new.vms}
        for name in {vm.name for vm in old.vms} - names:
            self._peers.pop(name, None)

    def _begin(self, one: view.Upstream, fresh: bool, now: float) -> None:
        wait_s = self._cfg.limits.lease_s + self._cfg.upstreams.loan_s
        self.endpoints[one.id] = slot_lent.Endpoint(
            upstream=one,
            warm=warmup.Warmup(self._cfg.upstreams, one.slots, one.share),
            since=self._view.revision,
            settled=fresh,
            fresh=fresh,
            leases_end=now if fresh else now + wait_s,
        )

    def _hold_s(self) -> float:
        """Return the longest attempt that any holder may have started."""
        return max(
            self._cfg.requests.default_timeout_s,
            *(peer.wants_hold_s for peer in self._peers.values()),
            0.0,
        )

    def retire(self, upstream: int) -> None:
        """Lend nothing more of an upstream that drains or started anew."""
        if upstream in self.endpoints:
            self.endpoints[upstream].retired = True
            self._due = True

    def announced(self, upstream: int, at: float) -> None:
        """Note when the known incarnation of an upstream was heard."""
        endpoint = self.endpoints.get(upstream)
        if endpoint is not None:
            endpoint.warm.announced(at)

    def report(self, peer: str, msg: slot_messages.Report, now: float) -> None:
        """Take a holder's report."""
        self._due = True
        known = self._peers.setdefault(peer, slot_lent.Peer())
        if msg.boot in known.retired:
            return
        if msg.boot != known.boot:
            self._restarted(peer, known, msg.boot)
        if msg.number <= known.number:
            return
        known.number = msg.number
        known.stamp_ms = msg.stamp_ms
        known.received = now
        known.lease_until = max(known.lease_until, now)
        if msg.revision <= self._view.revision:
            known.revision = max(known.revision, msg.revision)
        known.wants_hold_s = msg.hold_s
        known.needs = {need.service: need for need in msg.needs}
        uses = {use.upstream: use for use in msg.uses}
        same = msg.lender == self._boot
        for upstream, endpoint in self.endpoints.items():
            use = uses.get(upstream)
            self._settle(endpoint, now)
            if use is not None:
                self._used(endpoint, peer, use, use.serial * same, now)

    def _restarted(self, name: str, peer: slot_lent.Peer, boot: int) -> None:
        """Forget what the holder's former process had.

        Its connections ended with it, and its attempts with them.
        """
        if peer.boot:
            peer.retired = [*peer.retired, peer.boot][-RETIRED_BOOTS:]
        peer.boot = boot
        peer.number = 0
        peer.lease_until = float("-inf")
        for endpoint in self.endpoints.values():
            endpoint.entries.pop(name, None)
            endpoint.told.pop(name, None)

    def _used(
        self,
        endpoint: slot_lent.Endpoint,
        peer: str,
        use: slot_messages.Use,
        serial: int,
        now: float,
    ) -> None:
        entry = endpoint.entries.setdefault(peer, slot_ledger.Entry())
        entry.reported(use, serial)
        old = endpoint.told.get(peer)
        endpoint.told[peer] = use
        if use.avoid:
            endpoint.excluded[peer] = now + EXCLUDE_S
        if old is not None:
            self._outcomes(endpoint, peer, old, use, now)
        elif endpoint.fresh:
            none = slot_messages.Use(use.upstream, 0, 0, 0)
            self._outcomes(endpoint, peer, none, use, now)
        elif endpoint.warm.limited:
            endpoint.warm.answered(0, use.took_ms / 1000, now)

    def _outcomes(
        self,
        endpoint: slot_lent.Endpoint,
        peer: str,
        old: slot_messages.Use,
        use: slot_messages.Use,
        now: float,
    ) -> None:
        took_s = use.took_ms / 1000
        if use.oks > old.oks:
            endpoint.warm.answered(use.oks - old.oks, took_s, now)
        if use.slows > old.slows:
            endpoint.warm.slow(use.slows - old.slows, took_s, now)
        for _ in range(min(use.sheds - old.sheds, endpoint.upstream.slots)):
            endpoint.warm.shed(now)
        if use.fails > old.fails:
            endpoint.warm.failed(now)
            endpoint.excluded[peer] = now + EXCLUDE_S

    def _settle(self, endpoint: slot_lent.Endpoint, now: float) -> None:
        """Note when every entry VM takes this one for the lender."""
        if endpoint.settled:
            return
        heard = all(
            vm.name in self._peers
            and self._peers[vm.name].revision >= endpoint.since
            for vm in self._view.vms
        )
        hold_s = min(endpoint.longest_s, self._hold_s())
        endpoint.settled = heard or now >= endpoint.leases_end + hold_s

    def tick(self, now: float) -> None:
        """Free the slots of holders that can't use them any more."""
        self._due = True
        for name, peer in self._peers.items():
            if self._lost(peer, now) and name != self._me:
                self._forget(name, peer, now)
        for endpoint in self.endpoints.values():
            self._settle(endpoint, now)
            if not endpoint.upstream.request_port:
                endpoint.warm.aged(now)

    def _lost(self, peer: slot_lent.Peer, now: float) -> bool:
        """Whether a holder isn't heard and can't start attempts."""
        silent = now - peer.received >= self._cfg.upstreams.loan_s
        return silent and now >= peer.lease_until

    def _forget(self, name: str, peer: slot_lent.Peer, now: float) -> None:
        """Free the slots whose attempts must have ended by now."""
        for endpoint in self.endpoints.values():
            if name not in endpoint.entries:
                continue
            hold_s = min(endpoint.longest_s, peer.hold_s or self._hold_s())
            if now >= peer.lease_until + hold_s:
                del endpoint.entries[name]

    def lend(self, now: float) -> list[tuple[str, slot_messages.Loans]]:
        """Lend what is free to those who need it most; return messages."""
        if not self._due:
            return []
        self._due = False
        demand = self._demand(now)
        for endpoint in sorted(
            self.endpoints.values(),
            key=lambda one: one.bound / one.upstream.slots,
        ):
            self._lend(endpoint, demand, now)
        return self._messages(now)

    def _demand(self, now: float) -> dict[str, slot_moves.Holders]:
        """Return how pressed the holders are, by service."""
        out: dict[str, slot_moves.Holders] = {}
        for name, peer in self._peers.items():
            if now - peer.received > NEED_FRESH_S:
                continue
            for need in peer.needs.values():
                pressed = slot_moves.Pressed(
                    need.waiting,
                    need.busy,
                    need.held,
                )
                out.setdefault(need.service, {})[name] = pressed
        return out

    def limit(self, endpoint: slot_lent.Endpoint, now: float) -> int:
        """Return how many attempts all holders together may have."""
        one = endpoint.upstream
        if endpoint.retired or not endpoint.settled:
            return 0
        home = one.data_centre == self._cfg.data_centre
        allowed = upstream_choice.lendable(one.slots, home, self._leased)
        if not upstream_choice.usable(
            self._view, one, self._cfg.data_centre, self._leased
        ):
            return 0
        return min(allowed, endpoint.warm.limit(now))

    def _lend(
        self,
        endpoint: slot_lent.Endpoint,
        demand: dict[str, slot_moves.Holders],
        now: float,
    ) -> None:
        limit = self.limit(endpoint, now)
        holders = demand.get(endpoint.upstream.service, {})
        bound = endpoint.bound
        if limit == 0 or bound > limit:
            self._recall_above(endpoint, limit)
            return
        while bound < limit:
            able = self._able(endpoint, holders, now)
            name = slot_moves.neediest(able, endpoint.warm.limited)
            if not name:
                return
            self._grant(endpoint, name)
            holders[name].gets()
            bound = endpoint.bound
        if not endpoint.warm.limited:
            self._rebalance(endpoint, holders, now)

    def _able(
        self,
        endpoint: slot_lent.Endpoint,
        holders: slot_moves.Holders,
        now: float,
    ) -> slot_moves.Holders:
        """Return the holders that a slot may be lent to."""
        return {
            name: pressed
            for name, pressed in holders.items()
            if self._may_lend_to(endpoint, name, now)
        }

    def _may_lend_to(
        self,
        endpoint: slot_lent.Endpoint,
        name: str,
        now: float,
    ) -> bool:
        peer = self._peers[name]
        if now - peer.received >= self._cfg.upstreams.loan_s / 2:
            return False
        if now < endpoint.excluded.get(name, now):
            return False
        entry = endpoint.entries.get(name)
        return not (endpoint.warm.limited and entry and entry.unseen)

    def _grant(self, endpoint: slot_lent.Endpoint, name: str) -> None:
        entry = endpoint.entries.setdefault(name, slot_ledger.Entry())
        starts = 1 if endpoint.warm.limited else slot_messages.UNLIMITED
        self._set(entry, name, max(entry.count, 0) + 1, starts)

    def _set(
        self,
        entry: slot_ledger.Entry,
        name: str,
        count: int,
        starts: int,
    ) -> None:
        self._serial += 1
        entry.lend(self._serial, count, starts)
        self._peers[name].due = True

    def _recall_above(self, endpoint: slot_lent.Endpoint, limit: int) -> None:
        """Recall loans until the newest ones stay within the limit."""
        entries = endpoint.entries
        total = sum(entry.count for entry in entries.values())
        for name in sorted(entries, key=lambda one: -entries[one].count):
            entry = entries[name]
            if total <= limit or name not in self._peers:
                break
            less = min(entry.count, total - limit)
            if less:
                self._set(entry, name, entry.count - less, 0)
                total -= less

    def _rebalance(
        self,
        endpoint: slot_lent.Endpoint,
        holders: slot_moves.Holders,
        now: float,
    ) -> None:
        """Recall a slot from the least pressed for the most pressed."""
        if now - endpoint.recalled < RECALL_GAP_S:
            return
        if self._recalling(endpoint, now):
            return
        lent = frozenset(
            name
            for name, entry in endpoint.entries.items()
            if entry.count > 0 and not self._lost(self._peers[name], now)
        )
        able = self._able(endpoint, holders, now)
        move = slot_moves.best(able, holders, lent)
        if move is None:
            return
        endpoint.recalled = now
        entry = endpoint.entries[move.giver]
        self._set(entry, move.giver, entry.count - 1, entry.starts)
        if move.giver in holders:
            holders[move.giver].gives()
        holders[move.taker].gets()

    def _recalling(self, endpoint: slot_lent.Endpoint, now: float) -> bool:
        """Whether a slot is on its way back from a holder that is heard."""
        return any(
            entry.recalled and not self._lost(self._peers[name], now)
            for name, entry in endpoint.entries.items()
        )

    def _messages(self, now: float) -> list[tuple[str, slot_messages.Loans]]:
        out = []
        answer_s = ANSWER_PART * self._cfg.upstreams.loan_s
        for name, peer in sorted(self._peers.items()):
            if now - peer.received >= self._cfg.upstreams.loan_s:
                continue
            loans = self._unseen(name)
            gap_s = RESEND_S if loans else answer_s
            renew = peer.received > peer.sent and now - peer.sent >= gap_s
            again = loans and now - peer.sent >= gap_s
            if not peer.due and not renew and not again:
                continue
            out.append((name, self._message(peer, loans, now)))
        return out

    def _unseen(self, name: str) -> tuple[slot_messages.Loan, ...]:
        return tuple(
            endpoint.entries[name].loan(upstream)
            for upstream, endpoint in self.endpoints.items()
            if name in endpoint.entries and endpoint.entries[name].unseen
        )

    def _message(
        self,
        peer: slot_lent.Peer,
        loans: tuple[slot_messages.Loan, ...],
        now: float,
    ) -> slot_messages.Loans:
        peer.due = False
        peer.sent = now
        until = peer.received + self._cfg.upstreams.loan_s
        peer.lease_until = max(peer.lease_until, until)
        usual = self._cfg.requests.default_timeout_s
        peer.hold_s = max(peer.hold_s, usual, peer.wants_hold_s)
        return slot_messages.Loans(
            boot=peer.boot,
            stamp_ms=peer.stamp_ms,
            lender=self._boot,
            hold_s=int(peer.hold_s),
            loans=loans,
        )
