"""Membership changes: one VM at a time, as a learner first."""

import attrs

from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_replication
from ebonytally.agreement import agreement_state
from ebonytally import wire

CAUGHT_UP_ENTRIES = 16


class VoterChanges:
    """Changes the voter list step by step to the wanted control VMs."""

    def __init__(
        self,
        state: agreement_state.State,
        replication: agreement_replication.Replication,
    ) -> None:
        """Set up without wanted control VMs."""
        self._state = state
        self._replication = replication
        self._wanted: frozenset[str] | None = None
        self._leader_since = 0.0

    def set_wanted(self, names: tuple[str, ...]) -> None:
        """Set the control VMs that should vote."""
        self._wanted = frozenset(names)

    def on_elected(self, now: float) -> None:
        """Start to measure how long voters have been silent."""
        self._leader_since = now

    def tick(self, now: float) -> None:
        """Append the next change of the voter list if it is safe.

        :raises StorageError: if the disk fails
        """
        state = self._state
        if not self._replication.has_committed_in_term:
            return
        if state.voters_index > state.commit:
            return
        change = self._next_change(now)
        if change is None:
            if self._is_only_unwanted():
                self._replication.transfer(now)
            return
        if not self._can_commit(change, now):
            return
        voters = messages.VotersSet(state.generation, change)
        state.append_own("", wire.pack_message(voters))
        self._replication.update_progress(now)

    def _can_commit(
        self,
        change: tuple[messages.Voter, ...],
        now: float,
    ) -> bool:
        """Return whether a majority of the new list replies now.

        Removing a healthy voter while another has lost its disk would
        leave a list that can never reach a quorum again.
        """
        voting = [voter for voter in change if voter.voting]
        heard = [voter for voter in voting if self._is_heard(voter, now)]
        return 2 * len(heard) > len(voting)

    def _is_heard(self, voter: messages.Voter, now: float) -> bool:
        if voter.name == self._state.local_vm:
            return True
        progress = self._replication.progress.get(voter.name)
        if progress is None or progress.match == 0:
            return False
        return now - progress.acked_at <= self._state.cfg.election_s

    def _next_change(self, now: float) -> tuple[messages.Voter, ...] | None:
        for find_change in (
            self._promote_learner,
            self._replace_identity,
            self._add_learner,
        ):
            change = find_change(now)
            if change is not None:
                return change
        return self._remove_voter()

    def _listed_voters(self) -> tuple[messages.Voter, ...]:
        return self._state.voters.voters

    def _promote_learner(
        self, now: float
    ) -> tuple[messages.Voter, ...] | None:
        for voter in self._listed_voters():
            if voter.voting or not self._is_caught_up(voter.name, now):
                continue
            return self._list_with(voter, attrs.evolve(voter, voting=True))
        return None

    def _is_caught_up(self, name: str, now: float) -> bool:
        progress = self._replication.progress.get(name)
        if progress is None or progress.match == 0:
            return False
        if now - progress.acked_at > self._state.cfg.election_s:
            return False
        behind = self._state.storage.last_index - progress.match
        return behind <= CAUGHT_UP_ENTRIES

    def _replace_identity(
        self, now: float
    ) -> tuple[messages.Voter, ...] | None:
        for voter in self._listed_voters():
            identity = self._newest_identity(voter.name, now)
            if voter.name == self._state.local_vm or not identity:
                continue
            learner = messages.Voter(voter.name, identity, False)
            return self._list_with(voter, learner)
        return None

    def _newest_identity(self, name: str, now: float) -> str:
        """Return a VM's new identity if its old one is silent, else ""."""
        after_s = self._state.cfg.replaced_after_s
        if now - self._leader_since < after_s:
            return ""
        heard = self._state.identities.get(name, {})
        listed = self._state.identity_of(name)
        silent_s = now - heard.get(listed, self._leader_since)
        if silent_s < after_s:
            return ""
        recent = {
            identity: at
            for identity, at in heard.items()
            if identity != listed and now - at < after_s
        }
        return max(recent, key=recent.get, default="")

    def _add_learner(self, now: float) -> tuple[messages.Voter, ...] | None:
        listed = {voter.name for voter in self._listed_voters()}
        for name in sorted((self._wanted or frozenset()) - listed):
            heard = self._state.identities.get(name, {})
            if not heard:
                continue
            identity = max(heard, key=heard.get)
            learner = messages.Voter(name, identity, False)
            return tuple(
                sorted((*self._listed_voters(), learner), key=_by_name)
            )
        return None

    def _remove_voter(self) -> tuple[messages.Voter, ...] | None:
        if not self._wanted:
            return None
        for voter in self._listed_voters():
            if (
                voter.name in self._wanted
                or voter.name == self._state.local_vm
            ):
                continue
            return tuple(v for v in self._listed_voters() if v != voter)
        return None

    def _is_only_unwanted(self) -> bool:
        """Return whether only this VM itself remains to be removed."""
        if not self._wanted or self._state.local_vm in self._wanted:
            return False
        names = {voter.name for voter in self._listed_voters()}
        return self._wanted <= names

    def _list_with(
        self,
        old: messages.Voter,
        new: messages.Voter,
    ) -> tuple[messages.Voter, ...]:
        return tuple(new if v == old else v for v in self._listed_voters())


def _by_name(voter: messages.Voter) -> str:
    return voter.name
