"""The replicated log as a specification of its own.

Messages are exchanged in one step (a lost one is a step that isn't
taken), but one append may be held back, delivered late and more than
once. Pre-vote and timers are left out: any voter may stand at any
time, which allows more than the code does. A crash keeps what is on
disk; a wiped VM comes back with an empty disk and a fresh identity.
"""

from collections.abc import Iterator

from modelcheck import log_state
from modelcheck import specification

Step = tuple[tuple, log_state.State]


class LogModel(specification.Specification):
    """Transitions of the specification within bounds."""

    name = "replicated log"
    initial = log_state.INITIAL

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return what must hold in each state, by name."""
        return log_state.INVARIANTS

    def steps(self, state: log_state.State) -> Iterator[Step]:
        """Yield (label, next state) of every step."""
        for vm in log_state.VMS:
            yield from self._stand(state, vm)
            yield from self._propose(state, vm)
            yield from self._crash(state, vm)
            yield from self._wipe(state, vm)
            for other in log_state.VMS:
                if other != vm:
                    yield from self._vote(state, vm, other)
                    yield from self._append(state, vm, other)
                    yield from self._change(state, vm, other)
                    yield from self._install(state, vm, other)
        if state.held is not None:
            yield from self._deliver(state, state.held, "late")

    def _knows(self, log, vm: int, identity: int) -> bool:
        if self.mistake is log_state.Mistake.IDENTITY_IGNORED:
            return True
        voters = log_state.voters_of(log)
        return bool(voters) and voters[vm][0] == identity

    def _stand(self, state: log_state.State, vm: int) -> Iterator[Step]:
        me = state.vms[vm]
        voters = log_state.voters_of(me.log)
        allowed = vm in self.bounds.candidates and voters
        if not allowed or me.role == log_state.Role.LEADER:
            return
        if me.term >= self.bounds.terms or voters[vm] != (me.identity, True):
            return
        fresh = me._replace(
            term=me.term + 1,
            voted=vm,
            role=log_state.Role.CANDIDATE,
            votes=frozenset({vm}),
            match=(0, 0, 0),
        )
        yield ("stand", vm), log_state.put(state, vm, fresh)

    def _vote(
        self, state: log_state.State, vm: int, other: int
    ) -> Iterator[Step]:
        me = state.vms[vm]
        voter = state.vms[other]
        if me.role != log_state.Role.CANDIDATE or other in me.votes:
            return
        current = log_state.last_of(me.log) >= log_state.last_of(voter.log)
        if self.mistake is log_state.Mistake.LOG_NOT_COMPARED:
            current = True
        free = voter.term < me.term or voter.voted in (None, vm)
        if voter.term > me.term or not free:
            return
        if not current:
            if voter.term < me.term:
                voter = log_state.follow(voter, me.term)
                yield ("refuse", vm, other), log_state.put(state, other, voter)
            return
        voter = log_state.follow(voter, me.term)._replace(voted=vm)
        state = log_state.put(state, other, voter)
        if self._knows(me.log, other, voter.identity):
            me = me._replace(votes=me.votes | {other})
        if log_state.is_quorum(me.log, me.votes):
            state, me = self._win(state, vm, me)
        yield ("vote", vm, other), log_state.put(state, vm, me)

    def _win(
        self, state: log_state.State, vm: int, me: log_state.Vm
    ) -> tuple[log_state.State, log_state.Vm]:
        log = (*me.log, log_state.Entry(me.term, None))
        match = tuple(len(log) if v == vm else 0 for v in log_state.VMS)
        me = me._replace(
            role=log_state.Role.LEADER,
            votes=frozenset(),
            log=log,
            match=match,
        )
        leaders = state.leaders | {(me.term, vm)}
        return state._replace(leaders=leaders), me

    def _propose(self, state: log_state.State, vm: int) -> Iterator[Step]:
        me = state.vms[vm]
        if (
            me.role == log_state.Role.LEADER
            and len(me.log) < self.bounds.entries
        ):
            entry = log_state.Entry(me.term, None)
            yield ("propose", vm), self._put_own(state, vm, entry)

    def _put_own(
        self, state: log_state.State, vm: int, entry: log_state.Entry
    ) -> log_state.State:
        me = state.vms[vm]
        log = (*me.log, entry)
        match = tuple(
            len(log) if v == vm else me.match[v] for v in log_state.VMS
        )
        return log_state.put(state, vm, me._replace(log=log, match=match))

    def _append(
        self, state: log_state.State, vm: int, other: int
    ) -> Iterator[Step]:
        me = state.vms[vm]
        if me.role != log_state.Role.LEADER:
            return
        log = state.vms[other].log
        prev = 0
        while prev < min(len(log), len(me.log)) and log[prev] == me.log[prev]:
            prev += 1
        msg = log_state.Append(
            vm,
            other,
            me.term,
            prev,
            me.log[prev - 1].term if prev else 0,
            me.log[prev] if prev < len(me.log) else None,
            me.commit,
        )
        yield from self._deliver(state, msg, "append")
        if prev < len(me.log):
            end = len(me.log)
            probe = msg._replace(
                prev=end,
                prev_term=me.log[-1].term,
                entry=None,
            )
            yield from self._deliver(state, probe, "probe")
        if self.bounds.held and msg.entry and state.held != msg:
            yield ("hold", *msg[:2]), state._replace(held=msg)

    def _deliver(
        self,
        state: log_state.State,
        msg: log_state.Append,
        label: str,
    ) -> Iterator[Step]:
        follower = state.vms[msg.follower]
        if msg.term < follower.term:
            return
        follower = log_state.follow(follower, msg.term)
        agrees = msg.prev == 0 or (
            msg.prev <= len(follower.log)
            and follower.log[msg.prev - 1].term == msg.prev_term
        )
        if self.mistake is log_state.Mistake.GAP_ACCEPTED:
            agrees = msg.prev <= len(follower.log)
        if not agrees:
            return
        log = follower.log
        match = msg.prev
        if msg.entry is not None:
            match += 1
            if log[msg.prev : match] != (msg.entry,):
                log = (*log[: msg.prev], msg.entry)
        commit = max(follower.commit, min(msg.commit, match))
        follower = follower._replace(log=log, commit=commit)
        state = log_state.put(state, msg.follower, follower)
        yield (label, "lost", *msg[:2]), state
        leader = state.vms[msg.leader]
        known = self._knows(leader.log, msg.follower, follower.identity)
        if (
            leader.role == log_state.Role.LEADER
            and leader.term == msg.term
            and known
        ):
            state = self._acked(state, msg.leader, msg.follower, match)
            yield (label, "acked", *msg[:2]), state

    def _acked(
        self, state: log_state.State, vm: int, other: int, match: int
    ) -> log_state.State:
        me = state.vms[vm]
        known = list(me.match)
        known[other] = max(known[other], match)
        me = me._replace(match=tuple(known))
        for place in range(len(me.log), me.commit, -1):
            have = frozenset(v for v in log_state.VMS if known[v] >= place)
            own = me.log[place - 1].term == me.term
            if self.mistake is log_state.Mistake.OLD_TERM_COUNTED:
                own = True
            if own and log_state.is_quorum(me.log, have):
                me = me._replace(commit=place)
                state = log_state.committed(state, me.log[:place])
                break
        return log_state.put(state, vm, me)

    def _change(
        self, state: log_state.State, vm: int, other: int
    ) -> Iterator[Step]:
        """Swap a VM that lost its disk for a learner, or promote one."""
        me = state.vms[vm]
        settled = any(e.term == me.term for e in me.log[: me.commit])
        if me.role != log_state.Role.LEADER or not settled:
            return
        if log_state.voters_place(me.log) > me.commit:
            return
        if len(me.log) >= self.bounds.entries + 2:
            return
        voters = list(log_state.voters_of(me.log))
        identity, voting = voters[other]
        actual = state.vms[other].identity
        label = "promote"
        if identity != actual:
            label = "swap"
            voters[other] = (actual, False)
        elif not voting and me.match[other] >= me.commit:
            voters[other] = (identity, True)
        else:
            return
        entry = log_state.Entry(me.term, tuple(voters))
        state = self._put_own(state, vm, entry)
        if label == "swap":
            me = state.vms[vm]
            match = tuple(
                0 if v == other else me.match[v] for v in log_state.VMS
            )
            state = log_state.put(state, vm, me._replace(match=match))
        yield (label, vm, other), state

    def _install(
        self, state: log_state.State, vm: int, other: int
    ) -> Iterator[Step]:
        me = state.vms[vm]
        follower = state.vms[other]
        if not self.bounds.snapshots or me.role != log_state.Role.LEADER:
            return
        if follower.term > me.term or follower.commit >= me.commit:
            return
        follower = log_state.follow(follower, me.term)
        place = me.commit
        log = follower.log
        if len(log) < place or log[place - 1].term != me.log[place - 1].term:
            log = me.log[:place]
        follower = follower._replace(log=log, commit=place)
        state = log_state.put(state, other, follower)
        if self._knows(me.log, other, follower.identity):
            state = self._acked(state, vm, other, place)
        yield ("install", vm, other), state

    def _crash(self, state: log_state.State, vm: int) -> Iterator[Step]:
        if state.crashes >= self.bounds.crashes:
            return
        me = state.vms[vm]
        if self.mistake is log_state.Mistake.VOTE_NOT_SYNCED:
            me = me._replace(voted=None)
        if (
            self.mistake is log_state.Mistake.APPEND_NOT_SYNCED
            and len(me.log) > 1
        ):
            me = me._replace(log=me.log[:-1])
        me = log_state.Vm(me.term, me.voted, me.log, identity=me.identity)
        state = state._replace(crashes=state.crashes + 1)
        yield ("crash", vm), log_state.put(state, vm, me)

    def _wipe(self, state: log_state.State, vm: int) -> Iterator[Step]:
        if state.wipes >= self.bounds.wipes or not self._may_lose(state, vm):
            return
        fresh = log_state.Vm(identity=state.vms[vm].identity + 1)
        state = state._replace(wipes=state.wipes + 1)
        yield ("wipe", vm), log_state.put(state, vm, fresh)

    def _may_lose(self, state: log_state.State, lost: int) -> bool:
        """Whether each voter list keeps a majority of its disks."""
        for vm in state.vms:
            voters = log_state.voters_of(vm.log)
            voting = [v for v in log_state.VMS if voters and voters[v][1]]
            kept = [
                v
                for v in voting
                if v != lost and state.vms[v].identity == voters[v][0]
            ]
            if voting and 2 * len(kept) <= len(voting):
                return False
        return True
