"""Consensus between the control VMs on one order of commands.

A Raft-like replicated log with elections. Votes and entries are synced
to disk before they are acknowledged. All methods take the current time
in seconds, do no network I/O and return actions. One task owns an
Agreement: calls must not overlap, even when a disk write lets other
tasks run.
"""

import random

from ebonytally import actions
from ebonytally.agreement import agreement_apply
from ebonytally.agreement import agreement_election
from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_proposals
from ebonytally.agreement import agreement_reads
from ebonytally.agreement import agreement_replication
from ebonytally.agreement import agreement_snapshot
from ebonytally.agreement import agreement_state
from ebonytally.agreement import agreement_voters
from ebonytally.agreement import log_storage
from ebonytally import errors
from ebonytally import events
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorder_lib
from ebonytally import settings

STORAGE_RETRY_S = 1.0
GENERATION_INTERVAL_S = 2.0


class Agreement:
    """One control VM's replica of the log, as leader or follower."""

    def __init__(
        self,
        cfg: settings.Settings,
        local_vm: str,
        voters: tuple[str, ...],
        disk: ports.Disk,
        machine: ports.StateMachine,
        recorder: recorder_lib.Recorder,
        seed: int,
        contacts: tuple[str, ...] = (),
    ) -> None:
        """Open the data folder and replay its log into the state machine.

        :param voters: names that form the first voter list, the same on
            each of these VMs; later lists are in the log
        :param seed: for timeouts and the id of a new data folder; must
            differ at each start
        :param contacts: control VMs to ask for a voter list when this
            VM has none and is not in the first one
        :raises DamagedLogError: if the data folder needs a repair
        :raises StorageError: if the disk fails
        """
        rng = random.Random(seed)
        storage = log_storage.LogStorage(disk, recorder, rng)
        self._recorder = recorder
        self._state = agreement_state.State(
            cfg=cfg.limits,
            local_vm=local_vm,
            is_control=cfg.control,
            genesis=tuple(sorted(voters)),
            contacts=contacts,
            storage=storage,
            machine=machine,
            recorder=recorder,
            rng=rng,
        )
        self._state.load_voters()
        self._applier = agreement_apply.Applier(self._state)
        self._election = agreement_election.Election(self._state)
        self._replication = agreement_replication.Replication(self._state)
        self._sender = agreement_snapshot.Sender(
            self._state,
            self._replication,
        )
        self._receiver = agreement_snapshot.Receiver(self._state)
        self._proposals = agreement_proposals.Proposals(
            self._state,
            self._applier,
        )
        self._reads = agreement_reads.Reads(self._state, self._replication)
        self._voter_changes = agreement_voters.VoterChanges(
            self._state,
            self._replication,
        )
        self._disk_retry_at = 0.0
        self._generation_sent_at = 0.0

    @property
    def leader(self) -> str:
        """Return the name of the current leader, "" if unknown."""
        return self._state.leader

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    @property
    def is_leader(self) -> bool:
        """Return whether this VM is the leader."""
        return self._state.is_leader

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._state.commit

    @property
    def applied_index(self) -> int:
        """Return the index of the last entry applied to the machine."""
        return self._state.applied

    @property
    def voters(self) -> tuple[messages.Voter, ...]:
        """Return the voter list with learners, () before the first one."""
        voters = self._state.voters
        return voters.voters if voters else ()

    @property
    def generation(self) -> int:
        """Return the generation of the voter list, from 1; 0 without one.

        An operator who forms voters anew raises it. State of a higher
        generation overrides state of a lower one.
        """
        return self._state.generation

    @property
    def superseded(self) -> bool:
        """Return whether voters were formed anew without this VM."""
        return self._state.storage.vote.superseded

    def has_leader_contact(self, now: float, within_s: float) -> bool:
        """Return whether this VM leads or heard the leader in `within_s`."""
        if self._state.is_leader:
            return True
        return now - self._state.leader_heard_at <= within_s

    def may_read(self, now: float) -> bool:
        """Return whether the leader's lease allows a local read."""
        return self._replication.may_read(now)

    def read(self, token: str, now: float) -> list[actions.Action]:
        """Start a linearizable read of the machine's state.

        A majority must confirm this leader after the call. Unlike
        `may_read` this is safe on a VM that was suspended, whose
        monotonic clock stood still meanwhile.

        :returns: actions; the outcome is an `actions.ProposalResult`, now or
            from a later call
        """
        self._guard(lambda: self._read(token, now), now)
        return self._take_actions()

    def _read(self, token: str, now: float) -> None:
        self._reads.begin(token, now)
        self._advance(now)

    def set_contacts(self, names: tuple[str, ...]) -> None:
        """Set the control VMs to send `Hello` to while without a vote."""
        self._state.contacts = names

    def heard_control_vms(
        self, now: float, within_s: float
    ) -> tuple[str, ...]:
        """Return the other control VMs heard within the last `within_s`."""
        return tuple(
            name
            for name, heard in sorted(self._state.identities.items())
            if name != self._state.local_vm
            and now - max(heard.values()) <= within_s
        )

    def set_wanted_voters(self, names: tuple[str, ...]) -> None:
        """Set the control VMs that should vote; the leader changes the list.

        :param names: control VMs; () leaves the voter list unchanged
        """
        self._voter_changes.set_wanted(names)

    def transfer_leadership(self, now: float) -> list[actions.Action]:
        """Transfer leadership to another voter before a planned stop."""
        if self._state.is_leader:
            self._replication.transfer(now)
        return self._take_actions()

    def propose(
        self,
        token: str,
        command: object,
        now: float,
        once: bool = False,
    ) -> list[actions.Action]:
        """Propose a command for the log.

        :param token: idempotency key of the proposal; retries use the
            same one and are applied once
        :param once: append the command at most once, and only if this VM
            leads: a proposer that repeats it elsewhere must not meet a
            late copy of it after a later command
        :returns: actions; the outcome is an `actions.ProposalResult`, now or
            from a later call
        """
        self._guard(lambda: self._propose(token, command, now, once), now)
        return self._take_actions()

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message from another VM."""
        self._guard(lambda: self._handle(peer, msg, now), now)
        return self._take_actions()

    def tick(self, now: float) -> list[actions.Action]:
        """Run timers, replication and snapshots; call about every 50 ms."""
        self._guard(lambda: self._tick(now), now)
        return self._take_actions()

    def _take_actions(self) -> list[actions.Action]:
        pending = self._state.pending_actions
        self._state.pending_actions = []
        return pending

    def _guard(self, step, now: float) -> None:
        """Run a step; step down if the disk fails in it."""
        try:
            step()
            error = self._state.storage_error
        except errors.DamagedLogError:
            raise
        except errors.StorageError as exc:
            error = exc
        self._state.storage_error = None
        if error is not None:
            self._on_disk_failure(error, now)

    def _on_disk_failure(self, exc: errors.StorageError, now: float) -> None:
        self._disk_retry_at = now + STORAGE_RETRY_S
        self._state.refuse(reasons.Refusal.STORAGE_FULL)
        self._recorder.log_event(events.Event.STORAGE_FAILED, error=str(exc))
        if self._state.role != agreement_state.Role.FOLLOWER:
            self._state.follow(self._state.term, "")
        self._election.restart_timer(self._disk_retry_at)

    def _propose(
        self, token: str, command: object, now: float, once: bool
    ) -> None:
        self._proposals.propose(token, command, now, once)
        self._advance(now)

    def _tick(self, now: float) -> None:
        if self._election.tick(now):
            self._start_leading(now)
        if self._state.is_leader:
            self._send_generation(now)
            self._voter_changes.tick(now)
            self._sender.tick(now)
            self._replication.tick(now)
        self._advance(now)
        self._proposals.tick(now)
        if now < self._disk_retry_at:
            return
        self._state.storage.note_commit(self._state.commit)
        if self._applier.is_snapshot_due():
            self._applier.save_snapshot()

    def _start_leading(self, now: float) -> None:
        self._voter_changes.on_elected(now)
        self._replication.start_term(self._election.votes, now)

    def _advance(self, now: float) -> None:
        """Replicate, apply committed entries and finish reads."""
        if self._state.is_leader:
            self._replication.flush(now)
        self._proposals.on_applied(self._applier.apply())
        self._reads.advance(now)

    def _handle(self, peer: str, msg: object, now: float) -> None:
        identity = getattr(msg, "identity", "")
        if identity:
            self._record_identity(
                getattr(msg, "name", "") or peer, identity, now
            )
        if not self._check_generation(peer, msg):
            return
        if self._dispatch(peer, msg, now):
            self._start_leading(now)
        if self._state.leader_heard_at == now:
            self._election.restart_timer(now)
        self._advance(now)

    def _record_identity(self, name: str, identity: str, now: float) -> None:
        """Record a VM's identity; report an unlisted VM to the leader.

        A VM that was removed and is wanted again may not know the
        current leader, so others forward its `Hello`.
        """
        state = self._state
        state.record_identity(name, identity, now)
        listed = name == state.local_vm or name in state.peers
        if not listed and state.leader not in ("", state.local_vm):
            state.send(state.leader, messages.Hello(identity, name))

    def _check_generation(self, peer: str, msg: object) -> bool:
        """Return whether a message may be handled, by its generation.

        A VM of an older generation may hold committed entries that the
        newer one lacks. It is excluded until an operator repairs it.
        """
        peer_generation = getattr(msg, "generation", None)
        local_generation = self._state.generation
        if (
            peer_generation is None
            or peer_generation == local_generation
            or 0 in (peer_generation, local_generation)
        ):
            return not self.superseded
        self._state.refuse(reasons.Refusal.GENERATION_OLD)
        if peer_generation > local_generation:
            self._supersede(peer_generation)
        else:
            self._election.send_generation(peer)
        return False

    def _send_generation(self, now: float) -> None:
        """Send the generation to first voters that are no longer listed.

        Only voters of an earlier generation react to it.
        """
        if now - self._generation_sent_at < GENERATION_INTERVAL_S:
            return
        self._generation_sent_at = now
        state = self._state
        for name in sorted({*state.genesis} - {state.local_vm, *state.peers}):
            self._election.send_generation(name)

    def _supersede(self, generation: int) -> None:
        if self.superseded:
            return
        self._state.follow(self._state.term, "")
        self._state.storage.supersede()
        self._recorder.log_event(
            events.Event.SUPERSEDED, generation=generation
        )

    def _dispatch(self, peer: str, msg: object, now: float) -> bool:
        """Route a message; return whether this VM won an election."""
        match msg:
            case messages.AppendRequest():
                self._replication.handle_append_request(peer, msg, now)
            case messages.AppendReply() if self._state.is_leader:
                self._replication.handle_append_reply(peer, msg, now)
            case messages.VoteRequest():
                self._election.handle_vote_request(peer, msg, now)
            case messages.VoteReply():
                return self._election.handle_vote_reply(peer, msg, now)
            case messages.TimeoutNow():
                if msg.term == self._state.term:
                    return self._election.handle_timeout_now(now)
            case messages.SnapshotChunk():
                self._handle_snapshot_chunk(peer, msg, now)
            case messages.SnapshotReply() if self._state.is_leader:
                self._sender.handle_snapshot_reply(peer, msg, now)
            case messages.ProposeRequest():
                self._proposals.handle_propose_request(peer, msg)
            case messages.ProposeReply():
                self._proposals.handle_propose_reply(peer, msg, now)
        return False

    def _handle_snapshot_chunk(
        self,
        peer: str,
        msg: messages.SnapshotChunk,
        now: float,
    ) -> None:
        snapshot = self._receiver.handle_snapshot_chunk(peer, msg, now)
        if snapshot is not None:
            self._applier.restore(snapshot)
            self._proposals.on_snapshot_installed()
