"""Access of a node to the replicated log, local or remote."""

import functools

from ebonytally import actions
from ebonytally.agreement import agreement
from ebonytally.agreement import control_runner
from ebonytally.agreement import control_state
from ebonytally.agreement import proposal_forwarding
from ebonytally.dissemination import dissemination_messages
from ebonytally import errors
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings

FORWARDED_PREFIX = "forwarded:"


class Control:
    """Replicated log on a control VM, proposals and reads on any VM.

    :param machine: replicated state, None if not a control VM
    :param agreement: the log, None if not a control VM
    """

    def __init__(
        self,
        cfg: settings.Settings,
        incarnation: int,
        disk: ports.Disk,
        recorder: recorders.Recorder,
        seed: int,
        runner: control_runner.ControlRunner,
    ) -> None:
        """Open the log if this is a control VM.

        :param incarnation: number of the daemon's start, for unique tokens
        :param seed: for the log's timeouts, different at each start
        :raises StorageError: if the data folder can't be used
        """
        self._cfg = cfg
        self._recorder = recorder
        self._runner = runner
        self._token_prefix = f"{cfg.name}.{incarnation}"
        self._token_count = 0
        self._proposals = proposal_forwarding.ProposalForwarder(
            cfg.name, incarnation, recorder
        )
        self.machine: control_state.Machine | None = None
        self.agreement: agreement.Agreement | None = None
        if cfg.control:
            self._open(disk, seed)

    def _open(self, disk: ports.Disk, seed: int) -> None:
        self.machine = control_state.Machine()
        voters = tuple(
            seed_vm.name for seed_vm in self._cfg.seeds if seed_vm.control
        )
        self.agreement = agreement.Agreement(
            self._cfg,
            self._cfg.name,
            voters,
            disk,
            self.machine,
            self._recorder,
            seed,
        )

    def may_read(self, now: float) -> bool:
        """Return whether this VM leads the log and its lease holds."""
        return self.agreement is not None and self.agreement.may_read(now)

    def term(self, now: float) -> int | None:
        """Return the term in which this VM may grant leases, else None."""
        return self.agreement.term if self.may_read(now) else None

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a consensus message."""
        if self.agreement is None:
            return []
        handle = self.agreement.handle
        return self._runner.run(functools.partial(handle, peer, msg, now))

    def tick(self, now: float) -> list[actions.Action]:
        """Expire forwarded proposals and run the log's timers."""
        actions_ = self._proposals.tick(now)
        if self.agreement is not None:
            tick = functools.partial(self.agreement.tick, now)
            actions_ += self._runner.run(tick)
        return actions_

    def stop(self, now: float) -> list[actions.Action]:
        """Transfer leadership before a planned stop."""
        if self.agreement is None:
            return []
        return self._runner.run(
            functools.partial(self.agreement.transfer_leadership, now)
        )

    def handle_forwarded(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a forwarded proposal, or the outcome of a local one."""
        try:
            if isinstance(msg, dissemination_messages.ForwardedEnd):
                return self._proposals.handle_forwarded_result(msg)
            if self.agreement is None:
                return []
            return [self._proposals.handle_forwarded(peer, msg, now)]
        except errors.WireError:
            self._recorder.count_refusal(reasons.Refusal.FRAME_MALFORMED)
            return []

    def on_local_result(
        self, end: actions.ProposalResult
    ) -> list[actions.Action]:
        """Reply to the VM whose forwarded proposal ended here."""
        return self._proposals.on_local_result(end)

    def propose(
        self,
        action: actions.Propose,
        control_vm: str,
        now: float,
    ) -> list[actions.Action]:
        """Propose to the local log, or forward to a control VM.

        The log returns the earlier result for a token that it knows, so
        a new proposal needs an unused token, see `with_unique_token`.

        :param control_vm: where to forward to if there is no log here
        """
        if self.agreement is None:
            return self._proposals.forward(action, control_vm, now)
        propose = functools.partial(
            self.agreement.propose,
            action.token,
            action.command,
            now,
        )
        return self._runner.run(propose)

    def with_unique_token(self, action: actions.Propose) -> actions.Propose:
        """Return the proposal with a token that is never reused."""
        self._token_count += 1
        token = f"{self._token_prefix}.{self._token_count}/{action.token}"
        return actions.Propose(token, action.command)

    def read(
        self,
        action: actions.Propose,
        leader: str,
        now: float,
    ) -> list[actions.Action]:
        """Read the leader's state under its lease, without a log entry."""
        if self.may_read(now):
            result = self.machine.apply(action.command)
            return [actions.ProposalResult(action.token, True, result)]
        forwarded = action.token.startswith(FORWARDED_PREFIX)
        if forwarded or leader in ("", self._cfg.name):
            reason = reasons.Refusal.NO_LEADER.value
            return [actions.ProposalResult(action.token, False, None, reason)]
        return self._proposals.forward(action, leader, now)
