"""Log replication to followers, commit index and leader lease."""

import math

import attrs

from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_state
from ebonytally import reasons
from ebonytally import wire

MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 32 * 1024
MAX_IN_FLIGHT = 4
# Lease length as a share of the election timeout; the rest allows for
# clock drift.
LEASE_SHARE = 0.9
# Below half of the election timeout, so that the loss of one heartbeat
# starts no election.
HEARTBEAT_SHARE = 0.4
CHECK_QUORUM_TIMEOUTS = 2.0


@attrs.define
class Progress:
    """Replication state of one peer on the leader.

    :param identity: id of the peer's data folder
    :param next: next log index to send
    :param match: highest index known to be on the peer's disk
    :param in_flight: unacknowledged append requests with entries
    :param sent_at: seconds, when a message was last sent
    :param acked_at: seconds, when the last acknowledged message was
        sent, initially when replication to the peer began
    :param acked_stamp: stamp of the newest acknowledged append request
    :param budget: bytes that may be sent now (token bucket)
    :param refilled_at: seconds, when the budget was last refilled
    :param snapshot: index of the snapshot being sent, 0 for none
    :param offset: bytes of the snapshot acknowledged by the peer
    :param chunk_sent_at: seconds, when a chunk was last sent
    :param is_chunk_waiting: a chunk waits for the budget
    """

    identity: str
    next: int
    sent_at: float
    acked_at: float
    budget: float
    refilled_at: float
    acked_stamp: float = 0.0
    match: int = 0
    in_flight: int = 0
    snapshot: int = 0
    offset: int = 0
    chunk_sent_at: float = 0.0
    is_chunk_waiting: bool = False


class Replication:
    """Replicates the log, as the leader and as a follower."""

    def __init__(self, state: agreement_state.State) -> None:
        """Set up as a follower without peers' progress."""
        self._state = state
        self.progress: dict[str, Progress] = {}
        self._first_index_of_term = 0
        self._last_stamp = 0.0
        self._heartbeat_s = HEARTBEAT_SHARE * state.cfg.election_s

    def start_term(
        self,
        votes: dict[str, str],
        now: float,
    ) -> None:
        """Start a term as its leader by appending its first entry.

        :param votes: identities by name, for the first voter list
        :raises StorageError: if the entry can't be written
        """
        state = self._state
        self.progress.clear()
        if state.voters is None:
            voters = tuple(
                messages.Voter(name, votes[name], True)
                for name in sorted(state.genesis)
            )
            command = messages.VotersSet(1, voters)
            state.append_own("", wire.pack_message(command))
        command = messages.LeaderStarted(state.local_vm)
        started = wire.pack_message(command)
        self._first_index_of_term = state.append_own("", started)
        self.update_progress(now)
        self.flush(now)

    def update_progress(self, now: float) -> None:
        """Track exactly the other VMs of the voter list."""
        state = self._state
        for name in list(self.progress):
            listed = state.identity_of(name)
            if listed != self.progress[name].identity:
                del self.progress[name]
        for name in state.peers:
            if name in self.progress:
                continue
            self.progress[name] = Progress(
                identity=state.identity_of(name),
                next=state.storage.last_index + 1,
                sent_at=now - self._heartbeat_s,
                acked_at=now,
                budget=state.cfg.catch_up_bytes_s,
                refilled_at=now,
            )

    def tick(self, now: float) -> None:
        """Send entries and heartbeats; step down without a quorum."""
        state = self._state
        if not state.is_leader:
            return
        timeout_s = CHECK_QUORUM_TIMEOUTS * state.cfg.election_s
        if now - self._quorum_acked_at(now) > timeout_s:
            state.follow(state.term, "")
            return
        self.flush(now)

    def flush(self, now: float) -> None:
        """Send new entries, and heartbeats that are due."""
        self.advance_commit()
        for peer, progress in self.progress.items():
            self._refill_budget(progress, now)
            if not progress.snapshot:
                self._send_entries(peer, progress, now)
            if now - progress.sent_at >= self._heartbeat_s:
                self._send(peer, progress, (), now)

    def needs_snapshot(self, progress: Progress) -> bool:
        """Return whether the log before the peer's next entry is compacted."""
        return self._state.storage.term_at(progress.next - 1) is None

    def may_read(self, now: float) -> bool:
        """Return whether the leader's lease excludes any newer leader."""
        state = self._state
        if not state.is_leader:
            return False
        if state.commit < self._first_index_of_term:
            return False
        lease_s = LEASE_SHARE * state.cfg.election_s
        return now < self._quorum_acked_at(now) + lease_s

    def barrier(self, now: float) -> float:
        """Send heartbeats; return a stamp older than all of them."""
        self._last_stamp = stamp = max(self._last_stamp, now)
        for peer, progress in self.progress.items():
            self._send(peer, progress, (), now)
        return stamp

    def is_confirmed(self, barrier: float) -> bool:
        """Return whether a quorum acknowledged messages after `barrier`."""
        if not self._state.is_leader:
            return False
        state = self._state
        acked = {
            name
            for name, progress in self.progress.items()
            if progress.acked_stamp > barrier
        }
        return state.is_quorum(acked | {state.local_vm})

    @property
    def has_committed_in_term(self) -> bool:
        """Return whether an entry of the current term is committed."""
        return self._state.commit >= self._first_index_of_term

    def transfer(self, now: float) -> bool:
        """Transfer leadership to the most up-to-date voter.

        :returns: False if no voter has the whole log
        """
        state = self._state
        voting = [peer for peer in self.progress if peer in state.voting]
        if not voting:
            return False
        peer = max(voting, key=lambda name: self.progress[name].match)
        if self.progress[peer].match < state.storage.last_index:
            return False
        msg = messages.TimeoutNow(state.generation, state.term)
        state.send(peer, msg)
        # Stepping down ends the lease, so the next leader need not wait.
        state.follow(state.term, "")
        return True

    def handle_append_request(
        self,
        peer: str,
        msg: messages.AppendRequest,
        now: float,
    ) -> None:
        """Store entries as a follower and send the reply."""
        state = self._state
        if msg.term < state.term:
            self._reply(peer, msg, False, state.storage.last_index)
            return
        if msg.term > state.term or state.leader != peer:
            state.follow(msg.term, peer)
        state.leader_heard_at = now
        agrees = state.storage.term_at(msg.prev_index) == msg.prev_term
        # Committed entries, also compacted ones, agree on all leaders.
        if not agrees and msg.prev_index > state.commit:
            self._reply(peer, msg, False, self._resume_index(msg))
            return
        self._store_entries(msg.entries)
        match = msg.prev_index + len(msg.entries)
        state.storage.commit = max(state.commit, min(msg.commit, match))
        self._reply(peer, msg, True, match)

    def handle_append_reply(
        self,
        peer: str,
        msg: messages.AppendReply,
        now: float,
    ) -> None:
        """Update a follower's progress and send what follows."""
        state = self._state
        if msg.term > state.term:
            state.follow(msg.term, "")
            return
        progress = self.progress.get(peer)
        if progress is None or msg.identity != progress.identity:
            return
        progress.acked_at = max(progress.acked_at, msg.sent_at)
        progress.acked_stamp = max(progress.acked_stamp, msg.sent_at)
        if msg.ok:
            self._on_append_accepted(progress, msg.match)
        elif not progress.snapshot and msg.term == state.term:
            self._on_append_rejected(progress, msg)
        if self.needs_snapshot(progress):
            return
        self._send_entries(peer, progress, now)

    def _on_append_accepted(self, progress: Progress, match: int) -> None:
        progress.match = max(progress.match, match)
        progress.next = max(progress.next, progress.match + 1)
        progress.in_flight = max(0, progress.in_flight - 1)
        if progress.match == progress.next - 1:
            progress.in_flight = 0
        self.advance_commit()

    def _on_append_rejected(
        self,
        progress: Progress,
        msg: messages.AppendReply,
    ) -> None:
        self._state.recorder.count_retry(reasons.Retry.APPEND_REJECTED)
        progress.in_flight = 0
        last = self._state.storage.last_index
        progress.next = max(progress.match, min(msg.match, last)) + 1

    def advance_commit(self) -> None:
        """Commit what a quorum has on disk, in the current term only."""
        state = self._state
        voting = state.voting
        matches = [self._match_of(name) for name in voting]
        if not matches:
            return
        matches.sort(reverse=True)
        index = matches[len(matches) // 2]
        if index <= state.commit:
            return
        if state.storage.term_at(index) == state.term:
            state.storage.commit = index

    def _match_of(self, name: str) -> int:
        if name == self._state.local_vm:
            return self._state.storage.last_index
        progress = self.progress.get(name)
        return progress.match if progress else 0

    def _quorum_acked_at(self, now: float) -> float:
        """Return the send time that a quorum has acknowledged."""
        acked = []
        for name in self._state.voting:
            if name == self._state.local_vm:
                acked.append(now)
                continue
            progress = self.progress.get(name)
            acked.append(progress.acked_at if progress else 0.0)
        acked.sort(reverse=True)
        if not acked:
            return now
        return acked[len(acked) // 2]

    def _refill_budget(self, progress: Progress, now: float) -> None:
        rate = self._state.cfg.catch_up_bytes_s
        grown = progress.budget + rate * (now - progress.refilled_at)
        progress.budget = min(float(rate), grown)
        progress.refilled_at = now

    def _send_entries(
        self,
        peer: str,
        progress: Progress,
        now: float,
    ) -> None:
        state = self._state
        while not self.needs_snapshot(progress):
            if progress.next > state.storage.last_index:
                return
            if progress.in_flight >= MAX_IN_FLIGHT or progress.budget <= 0:
                return
            entries = state.storage.entries(
                progress.next,
                MAX_BATCH_ENTRIES,
                MAX_BATCH_BYTES,
            )
            self._send(peer, progress, entries, now)
            progress.next += len(entries)
            progress.in_flight += 1
            progress.budget -= sum(len(e.command) + 16 for e in entries)

    def _send(
        self,
        peer: str,
        progress: Progress,
        entries: tuple[messages.Entry, ...],
        now: float,
    ) -> None:
        state = self._state
        prev_index = progress.next - 1
        prev_term = state.storage.term_at(prev_index)
        if prev_term is None:
            prev_index = state.storage.first_index - 1
            prev_term = state.storage.term_at(prev_index)
        if prev_term is None:
            prev_index = state.storage.snapshot.index
            prev_term = state.storage.snapshot.term
        # Stamps are unique, so that a reply identifies one message.
        self._last_stamp = max(now, math.nextafter(self._last_stamp, math.inf))
        request = messages.AppendRequest(
            state.generation,
            state.term,
            prev_index,
            prev_term,
            entries,
            state.commit,
            self._last_stamp,
        )
        state.send(peer, request)
        progress.sent_at = now

    def _resume_index(self, msg: messages.AppendRequest) -> int:
        """Return the index after which the leader should resume."""
        storage = self._state.storage
        if msg.prev_index > storage.last_index:
            return storage.last_index
        index = msg.prev_index
        term = storage.term_at(index)
        while index > self._state.commit and storage.term_at(index) == term:
            index -= 1
        return index

    def _store_entries(self, entries: tuple[messages.Entry, ...]) -> None:
        state = self._state
        new_entries = []
        for entry in entries:
            local_term = state.storage.term_at(entry.index)
            if local_term == entry.term:
                continue
            if local_term is None and entry.index <= state.commit:
                continue
            if local_term is not None and not new_entries:
                state.truncate(entry.index)
            new_entries.append(entry)
        state.append(tuple(new_entries))

    def _reply(
        self,
        peer: str,
        msg: messages.AppendRequest,
        ok: bool,
        match: int,
    ) -> None:
        state = self._state
        reply = messages.AppendReply(
            state.generation,
            state.term,
            ok,
            match,
            msg.sent_at,
            state.identity,
        )
        state.send(peer, reply)
