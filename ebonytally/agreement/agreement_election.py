"""Elections: pre-vote, votes kept on disk, and who may stand."""

import attrs

from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_state
from ebonytally import events
from ebonytally import reasons


class Election:
    """This VM's part in elections."""

    def __init__(self, state: agreement_state.State) -> None:
        """Start without a timer; the first tick sets it."""
        self._state = state
        self._due_at: float | None = None
        self._pre = False
        self._asked_term = 0
        self._granted: dict[str, str] = {}

    def restart_timer(self, now: float) -> None:
        """Wait a whole, randomised election timeout again."""
        wait = self._state.cfg.election_s * (1 + self._state.rng.random())
        self._due_at = now + wait

    def tick(self, now: float) -> bool:
        """Stand when no leader was heard; return whether it won."""
        if self._due_at is None:
            # A vote given before a restart may have made a leader
            # whose lease still runs.
            self._state.leader_heard_at = now
            self.restart_timer(now)
        if self._state.is_leader or now < self._due_at:
            return False
        self.restart_timer(now)
        self._state.leader = ""
        if not self._may_stand():
            self._say_hello()
            return False
        return self._ask(pre=True, transfer=False)

    def stand_now(self, now: float) -> bool:
        """Stand without pre-vote, since the leader asked for it."""
        if self._state.is_leader or not self._may_stand():
            return False
        self.restart_timer(now)
        return self._ask(pre=False, transfer=True)

    def request(
        self,
        peer: str,
        msg: messages.VoteRequest,
        now: float,
    ) -> None:
        """Answer a request for a vote."""
        granted = self._grant(peer, msg, now)
        if granted and not msg.pre:
            self.restart_timer(now)
        if not granted:
            self._state.refuse(reasons.Refusal.VOTE_REFUSED)
        reply = messages.VoteReply(
            self._state.generation,
            msg.term if granted else self._state.term,
            granted,
            msg.pre,
            self._state.identity,
        )
        self._state.send(peer, reply)

    def reply(self, peer: str, msg: messages.VoteReply, now: float) -> bool:
        """Count an answer; return whether it won the election."""
        state = self._state
        if not msg.granted:
            if msg.term > state.term:
                state.follow(msg.term, "")
            return False
        asking = msg.pre == self._pre and msg.term == self._asked_term
        if state.is_leader or not asking:
            return False
        known = state.identity_of(peer)
        if state.voters is not None and known != msg.identity:
            return False
        self._granted[peer] = msg.identity
        return self._decide()

    def tell_generation(self, peer: str) -> None:
        """Tell a VM of an older generation that there is a newer one."""
        state = self._state
        reply = messages.VoteReply(
            state.generation,
            0,
            False,
            False,
            state.identity,
        )
        state.send(peer, reply)

    @property
    def granted(self) -> dict[str, str]:
        """Return who voted in the last election, with their ids."""
        return dict(self._granted)

    def _may_stand(self) -> bool:
        state = self._state
        if state.storage.vote.superseded:
            return False
        if state.voters is None:
            return state.me in state.genesis
        return state.voting.get(state.me) == state.identity

    def _say_hello(self) -> None:
        if not self._state.control:
            return
        state = self._state
        hello = messages.Hello(state.identity)
        names = {*state.genesis, *state.contacts, *state.peers}
        for peer in sorted(names - {state.me}):
            state.send(peer, hello)

    def _ask(self, pre: bool, transfer: bool) -> bool:
        state = self._state
        term = state.term + 1
        if not pre:
            vote = attrs.evolve(
                state.storage.vote,
                term=term,
                voted_for=state.me,
            )
            state.storage.save_vote(vote)
            state.role = agreement_state.Role.CANDIDATE
        self._pre = pre
        self._asked_term = term
        self._granted = {state.me: state.identity}
        request = messages.VoteRequest(
            state.generation,
            term,
            state.storage.last_index,
            state.storage.last_term,
            pre,
            transfer,
            state.identity,
        )
        for peer in state.peers:
            state.send(peer, request)
        return self._decide()

    def _decide(self) -> bool:
        state = self._state
        if not state.is_quorum(set(self._granted)):
            return False
        if self._pre:
            return self._ask(pre=False, transfer=False)
        if state.role != agreement_state.Role.CANDIDATE:
            return False
        state.role = agreement_state.Role.LEADER
        state.leader = state.me
        state.recorder.event(events.Event.LEADER_ELECTED, term=state.term)
        return True

    def _grant(
        self,
        peer: str,
        msg: messages.VoteRequest,
        now: float,
    ) -> bool:
        state = self._state
        silent = now - state.leader_heard_at >= state.cfg.election_s
        if state.storage.vote.superseded or msg.term < state.term:
            return False
        if not msg.transfer and (state.is_leader or not silent):
            return False
        mine = (state.storage.last_term, state.storage.last_index)
        current = (msg.last_term, msg.last_index) >= mine
        if msg.pre:
            return current and msg.term > state.term
        if msg.term > state.term:
            self._enter(msg.term, peer if current else "")
            return current
        vote = state.storage.vote
        if not current or vote.voted_for not in ("", peer):
            return False
        if not vote.voted_for:
            self._enter(msg.term, peer)
        return True

    def _enter(self, term: int, voted_for: str) -> None:
        state = self._state
        vote = attrs.evolve(
            state.storage.vote,
            term=term,
            voted_for=voted_for,
        )
        state.storage.save_vote(vote)
        state.follow(term, "")
