"""Model of the replicated log: elections, replication, voter changes.

A request and its reply are one step (message loss is a step not taken),
but one append may be delayed and duplicated. Pre-vote and timers are not
modelled: any voter may start an election at any time, which allows more
than the code does. A crash preserves the disk; a wiped VM restarts with
an empty disk and a new identity.
"""

from collections.abc import Iterator

from modelcheck import log_state
from modelcheck import specification

Step = tuple[tuple, log_state.State]


class LogModel(specification.Specification):
    """Elections, appends, voter changes, snapshots, crashes, lost disks."""

    name = "replicated log"
    initial = log_state.INITIAL

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return the predicates that must hold in every state, by name."""
        return log_state.INVARIANTS

    def steps(self, state: log_state.State) -> Iterator[Step]:
        """Yield (label, successor) of every transition from a state."""
        for vm in log_state.VMS:
            yield from self._start_election(state, vm)
            yield from self._propose(state, vm)
            yield from self._crash(state, vm)
            yield from self._wipe(state, vm)
            for other in log_state.VMS:
                if other != vm:
                    yield from self._vote(state, vm, other)
                    yield from self._append(state, vm, other)
                    yield from self._change_voters(state, vm, other)
                    yield from self._install(state, vm, other)
        if state.delayed is not None:
            yield from self._deliver(state, state.delayed, "late")

    def _is_known_voter(self, log, vm: int, identity: int) -> bool:
        """Return whether a log's voter list has a VM under this identity."""
        if self.mistake is log_state.Mistake.IDENTITY_IGNORED:
            return True
        voters = log_state.voters_of(log)
        return bool(voters) and voters[vm][0] == identity

    def _start_election(
        self, state: log_state.State, vm: int
    ) -> Iterator[Step]:
        """Let a voter start an election in the next term."""
        voter = state.vms[vm]
        voters = log_state.voters_of(voter.log)
        eligible = vm in self.bounds.candidates and voters
        if not eligible or voter.role == log_state.Role.LEADER:
            return
        if voter.term >= self.bounds.terms or voters[vm] != (
            voter.identity,
            True,
        ):
            return
        candidate = voter._replace(
            term=voter.term + 1,
            voted=vm,
            role=log_state.Role.CANDIDATE,
            votes=frozenset({vm}),
            match=(0, 0, 0),
        )
        yield ("stand", vm), log_state.with_vm(state, vm, candidate)

    def _vote(
        self, state: log_state.State, vm: int, other: int
    ) -> Iterator[Step]:
        """Let a VM grant or refuse a candidate its vote."""
        candidate = state.vms[vm]
        voter = state.vms[other]
        if (
            candidate.role != log_state.Role.CANDIDATE
            or other in candidate.votes
        ):
            return
        log_up_to_date = log_state.log_rank(
            candidate.log
        ) >= log_state.log_rank(voter.log)
        if self.mistake is log_state.Mistake.LOG_NOT_COMPARED:
            log_up_to_date = True
        may_vote = voter.term < candidate.term or voter.voted in (None, vm)
        if voter.term > candidate.term or not may_vote:
            return
        if not log_up_to_date:
            if voter.term < candidate.term:
                voter = log_state.become_follower(voter, candidate.term)
                yield (
                    ("refuse", vm, other),
                    log_state.with_vm(state, other, voter),
                )
            return
        voter = log_state.become_follower(voter, candidate.term)._replace(
            voted=vm
        )
        state = log_state.with_vm(state, other, voter)
        if self._is_known_voter(candidate.log, other, voter.identity):
            candidate = candidate._replace(votes=candidate.votes | {other})
        if log_state.is_quorum(candidate.log, candidate.votes):
            state, candidate = self._become_leader(state, vm, candidate)
        yield ("vote", vm, other), log_state.with_vm(state, vm, candidate)

    def _become_leader(
        self, state: log_state.State, vm: int, winner: log_state.Vm
    ) -> tuple[log_state.State, log_state.Vm]:
        log = (*winner.log, log_state.Entry(winner.term, None))
        match = tuple(len(log) if peer == vm else 0 for peer in log_state.VMS)
        winner = winner._replace(
            role=log_state.Role.LEADER,
            votes=frozenset(),
            log=log,
            match=match,
        )
        leaders = state.leaders | {(winner.term, vm)}
        return state._replace(leaders=leaders), winner

    def _propose(self, state: log_state.State, vm: int) -> Iterator[Step]:
        leader = state.vms[vm]
        if (
            leader.role == log_state.Role.LEADER
            and len(leader.log) < self.bounds.entries
        ):
            entry = log_state.Entry(leader.term, None)
            yield ("propose", vm), self._append_own(state, vm, entry)

    def _append_own(
        self, state: log_state.State, vm: int, entry: log_state.Entry
    ) -> log_state.State:
        leader = state.vms[vm]
        log = (*leader.log, entry)
        match = tuple(
            len(log) if peer == vm else leader.match[peer]
            for peer in log_state.VMS
        )
        return log_state.with_vm(
            state, vm, leader._replace(log=log, match=match)
        )

    def _append(
        self, state: log_state.State, vm: int, other: int
    ) -> Iterator[Step]:
        """Let a leader send the next entry, or a probe of its whole log."""
        leader = state.vms[vm]
        if leader.role != log_state.Role.LEADER:
            return
        follower_log = state.vms[other].log
        prev = 0
        while (
            prev < min(len(follower_log), len(leader.log))
            and follower_log[prev] == leader.log[prev]
        ):
            prev += 1
        msg = log_state.Append(
            vm,
            other,
            leader.term,
            prev,
            leader.log[prev - 1].term if prev else 0,
            leader.log[prev] if prev < len(leader.log) else None,
            leader.commit,
        )
        yield from self._deliver(state, msg, "append")
        if prev < len(leader.log):
            length = len(leader.log)
            probe = msg._replace(
                prev=length,
                prev_term=leader.log[-1].term,
                entry=None,
            )
            yield from self._deliver(state, probe, "probe")
        if self.bounds.held and msg.entry and state.delayed != msg:
            yield ("hold", *msg[:2]), state._replace(delayed=msg)

    def _deliver(
        self,
        state: log_state.State,
        msg: log_state.Append,
        label: str,
    ) -> Iterator[Step]:
        """Deliver an append, with its acknowledgement lost or delivered."""
        follower = state.vms[msg.follower]
        if msg.term < follower.term:
            return
        follower = log_state.become_follower(follower, msg.term)
        prefix_matches = msg.prev == 0 or (
            msg.prev <= len(follower.log)
            and follower.log[msg.prev - 1].term == msg.prev_term
        )
        if self.mistake is log_state.Mistake.GAP_ACCEPTED:
            prefix_matches = msg.prev <= len(follower.log)
        if not prefix_matches:
            return
        log = follower.log
        match = msg.prev
        if msg.entry is not None:
            match += 1
            if log[msg.prev : match] != (msg.entry,):
                log = (*log[: msg.prev], msg.entry)
        commit = max(follower.commit, min(msg.commit, match))
        follower = follower._replace(log=log, commit=commit)
        state = log_state.with_vm(state, msg.follower, follower)
        yield (label, "lost", *msg[:2]), state
        leader = state.vms[msg.leader]
        is_known = self._is_known_voter(
            leader.log, msg.follower, follower.identity
        )
        if (
            leader.role == log_state.Role.LEADER
            and leader.term == msg.term
            and is_known
        ):
            state = self._on_append_acked(
                state, msg.leader, msg.follower, match
            )
            yield (label, "acked", *msg[:2]), state

    def _on_append_acked(
        self, state: log_state.State, vm: int, other: int, length_acked: int
    ) -> log_state.State:
        leader = state.vms[vm]
        match_lengths = list(leader.match)
        match_lengths[other] = max(match_lengths[other], length_acked)
        leader = leader._replace(match=tuple(match_lengths))
        for length in range(len(leader.log), leader.commit, -1):
            replicas = frozenset(
                peer for peer in log_state.VMS if match_lengths[peer] >= length
            )
            own_term = leader.log[length - 1].term == leader.term
            if self.mistake is log_state.Mistake.OLD_TERM_COUNTED:
                own_term = True
            if own_term and log_state.is_quorum(leader.log, replicas):
                leader = leader._replace(commit=length)
                state = log_state.record_commit(state, leader.log[:length])
                break
        return log_state.with_vm(state, vm, leader)

    def _change_voters(
        self, state: log_state.State, vm: int, other: int
    ) -> Iterator[Step]:
        """Replace a VM that lost its disk by a learner, or promote one."""
        leader = state.vms[vm]
        own_term_committed = any(
            e.term == leader.term for e in leader.log[: leader.commit]
        )
        if leader.role != log_state.Role.LEADER or not own_term_committed:
            return
        if log_state.last_voters_length(leader.log) > leader.commit:
            return
        if len(leader.log) >= self.bounds.entries + 2:
            return
        voters = list(log_state.voters_of(leader.log))
        identity, voting = voters[other]
        current_identity = state.vms[other].identity
        label = "promote"
        if identity != current_identity:
            label = "swap"
            voters[other] = (current_identity, False)
        elif not voting and leader.match[other] >= leader.commit:
            voters[other] = (identity, True)
        else:
            return
        entry = log_state.Entry(leader.term, tuple(voters))
        state = self._append_own(state, vm, entry)
        if label == "swap":
            leader = state.vms[vm]
            match = tuple(
                0 if peer == other else leader.match[peer]
                for peer in log_state.VMS
            )
            state = log_state.with_vm(state, vm, leader._replace(match=match))
        yield (label, vm, other), state

    def _install(
        self, state: log_state.State, vm: int, other: int
    ) -> Iterator[Step]:
        """Let a leader install a snapshot of its committed entries."""
        leader = state.vms[vm]
        follower = state.vms[other]
        if not self.bounds.snapshots or leader.role != log_state.Role.LEADER:
            return
        if follower.term > leader.term or follower.commit >= leader.commit:
            return
        follower = log_state.become_follower(follower, leader.term)
        length = leader.commit
        log = follower.log
        if (
            len(log) < length
            or log[length - 1].term != leader.log[length - 1].term
        ):
            log = leader.log[:length]
        follower = follower._replace(log=log, commit=length)
        state = log_state.with_vm(state, other, follower)
        if self._is_known_voter(leader.log, other, follower.identity):
            state = self._on_append_acked(state, vm, other, length)
        yield ("install", vm, other), state

    def _crash(self, state: log_state.State, vm: int) -> Iterator[Step]:
        if state.crashes >= self.bounds.crashes:
            return
        crashed = state.vms[vm]
        if self.mistake is log_state.Mistake.VOTE_NOT_SYNCED:
            crashed = crashed._replace(voted=None)
        if (
            self.mistake is log_state.Mistake.APPEND_NOT_SYNCED
            and len(crashed.log) > 1
        ):
            crashed = crashed._replace(log=crashed.log[:-1])
        crashed = log_state.Vm(
            crashed.term, crashed.voted, crashed.log, identity=crashed.identity
        )
        state = state._replace(crashes=state.crashes + 1)
        yield ("crash", vm), log_state.with_vm(state, vm, crashed)

    def _wipe(self, state: log_state.State, vm: int) -> Iterator[Step]:
        if state.wipes >= self.bounds.wipes or not self._may_lose_disk(
            state, vm
        ):
            return
        wiped = log_state.Vm(identity=state.vms[vm].identity + 1)
        state = state._replace(wipes=state.wipes + 1)
        yield ("wipe", vm), log_state.with_vm(state, vm, wiped)

    def _may_lose_disk(self, state: log_state.State, lost: int) -> bool:
        """Return whether every voter list keeps a majority of its disks."""
        for vm in state.vms:
            voters = log_state.voters_of(vm.log)
            voting = [
                voter for voter in log_state.VMS if voters and voters[voter][1]
            ]
            surviving = [
                voter
                for voter in voting
                if voter != lost
                and state.vms[voter].identity == voters[voter][0]
            ]
            if voting and 2 * len(surviving) <= len(voting):
                return False
        return True
