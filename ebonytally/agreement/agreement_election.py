"""Leader elections with pre-vote and durable votes."""

import attrs

from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_state
from ebonytally import events
from ebonytally import reasons


class Election:
    """Election timer, candidacy and votes of this VM."""

    def __init__(self, state: agreement_state.State) -> None:
        """Set up without a timer; the first tick starts it."""
        self._state = state
        self._timeout_at: float | None = None
        self._is_pre_vote = False
        self._campaign_term = 0
        self._votes: dict[str, str] = {}

    def restart_timer(self, now: float) -> None:
        """Restart the randomised election timeout."""
        wait = self._state.cfg.election_s * (1 + self._state.rng.random())
        self._timeout_at = now + wait

    def tick(self, now: float) -> bool:
        """Start an election on timeout; return whether it is won."""
        if self._timeout_at is None:
            # A vote granted before a restart may have elected a leader
            # whose lease is still valid.
            self._state.leader_heard_at = now
            self.restart_timer(now)
        if self._state.is_leader or now < self._timeout_at:
            return False
        self.restart_timer(now)
        self._state.leader = ""
        if not self._may_be_candidate():
            self._send_hello()
            return False
        return self._request_votes(pre=True, transfer=False)

    def handle_timeout_now(self, now: float) -> bool:
        """Start an election without pre-vote; return whether it is won.

        The leader asks for this to transfer leadership.
        """
        if self._state.is_leader or not self._may_be_candidate():
            return False
        self.restart_timer(now)
        return self._request_votes(pre=False, transfer=True)

    def handle_vote_request(
        self,
        peer: str,
        msg: messages.VoteRequest,
        now: float,
    ) -> None:
        """Grant or refuse a vote and send the reply."""
        granted = self._decide_vote(peer, msg, now)
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

    def handle_vote_reply(
        self, peer: str, msg: messages.VoteReply, now: float
    ) -> bool:
        """Count a vote; return whether the election is won."""
        state = self._state
        if not msg.granted:
            if msg.term > state.term:
                state.follow(msg.term, "")
            return False
        is_current = (
            msg.pre == self._is_pre_vote and msg.term == self._campaign_term
        )
        if state.is_leader or not is_current:
            return False
        listed = state.identity_of(peer)
        if state.voters is not None and listed != msg.identity:
            return False
        self._votes[peer] = msg.identity
        return self._count_votes()

    def send_generation(self, peer: str) -> None:
        """Send the local generation, in a refused vote.

        A VM of an older generation learns that it is superseded.
        """
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
    def votes(self) -> dict[str, str]:
        """Return identities of the voters of the last election, by name."""
        return dict(self._votes)

    def _may_be_candidate(self) -> bool:
        state = self._state
        if state.storage.vote.superseded:
            return False
        if state.voters is None:
            return state.local_vm in state.genesis
        return state.voting.get(state.local_vm) == state.identity

    def _send_hello(self) -> None:
        if not self._state.is_control:
            return
        state = self._state
        hello = messages.Hello(state.identity)
        names = {*state.genesis, *state.contacts, *state.peers}
        for peer in sorted(names - {state.local_vm}):
            state.send(peer, hello)

    def _request_votes(self, pre: bool, transfer: bool) -> bool:
        state = self._state
        term = state.term + 1
        if not pre:
            vote = attrs.evolve(
                state.storage.vote,
                term=term,
                voted_for=state.local_vm,
            )
            state.storage.save_vote(vote)
            state.role = agreement_state.Role.CANDIDATE
        self._is_pre_vote = pre
        self._campaign_term = term
        self._votes = {state.local_vm: state.identity}
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
        return self._count_votes()

    def _count_votes(self) -> bool:
        state = self._state
        if not state.is_quorum(set(self._votes)):
            return False
        if self._is_pre_vote:
            return self._request_votes(pre=False, transfer=False)
        if state.role != agreement_state.Role.CANDIDATE:
            return False
        state.role = agreement_state.Role.LEADER
        state.leader = state.local_vm
        state.recorder.log_event(events.Event.LEADER_ELECTED, term=state.term)
        return True

    def _decide_vote(
        self,
        peer: str,
        msg: messages.VoteRequest,
        now: float,
    ) -> bool:
        state = self._state
        is_leader_silent = now - state.leader_heard_at >= state.cfg.election_s
        if state.storage.vote.superseded or msg.term < state.term:
            return False
        if not msg.transfer and (state.is_leader or not is_leader_silent):
            return False
        local_log = (state.storage.last_term, state.storage.last_index)
        is_up_to_date = (msg.last_term, msg.last_index) >= local_log
        if msg.pre:
            return is_up_to_date and msg.term > state.term
        if msg.term > state.term:
            self._enter_term(msg.term, peer if is_up_to_date else "")
            return is_up_to_date
        vote = state.storage.vote
        if not is_up_to_date or vote.voted_for not in ("", peer):
            return False
        if not vote.voted_for:
            self._enter_term(msg.term, peer)
        return True

    def _enter_term(self, term: int, voted_for: str) -> None:
        state = self._state
        vote = attrs.evolve(
            state.storage.vote,
            term=term,
            voted_for=voted_for,
        )
        state.storage.save_vote(vote)
        state.follow(term, "")
