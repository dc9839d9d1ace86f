"""A node's ways to the replicated log: its own, or another VM's."""

import functools

from ebonytally import actions
from ebonytally.agreement import agreement
from ebonytally.agreement import control_runner
from ebonytally.agreement import control_state
from ebonytally.agreement import proposals
from ebonytally import errors
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally.spread import spread_messages

FORWARDED = "forwarded:"


class Control:
    """The log of a control VM, and proposals of any VM.

    :param machine: state of the log, None where there is no log
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

        :raises StorageError: when the data folder can't be used
        """
        self._cfg = cfg
        self._recorder = recorder
        self._runner = runner
        self._token_prefix = f"{cfg.name}.{incarnation}"
        self._token_count = 0
        self._proposals = proposals.Proposals(cfg.name, incarnation, recorder)
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
        """Return whether this VM leads the log under its lease."""
        return self.agreement is not None and self.agreement.may_read(now)

    def term(self, now: float) -> int | None:
        """Return the term in which this VM may grant leases, or None."""
        return self.agreement.term if self.may_read(now) else None

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message of the log."""
        if self.agreement is None:
            return []
        handle = self.agreement.handle
        return self._runner.run(functools.partial(handle, peer, msg, now))

    def tick(self, now: float) -> list[actions.Action]:
        """Do what is due."""
        actions_ = self._proposals.tick(now)
        if self.agreement is not None:
            tick = functools.partial(self.agreement.tick, now)
            actions_ += self._runner.run(tick)
        return actions_

    def stop(self, now: float) -> list[actions.Action]:
        """Hand leadership over before a planned stop."""
        if self.agreement is None:
            return []
        return self._runner.run(
            functools.partial(self.agreement.transfer, now)
        )

    def forwarded(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a proposal of another VM, or the end of an own one."""
        try:
            if isinstance(msg, spread_messages.ForwardedEnd):
                return self._proposals.ended(msg)
            if self.agreement is None:
                return []
            return [self._proposals.handle_forwarded(peer, msg, now)]
        except errors.WireError:
            self._recorder.refused(reasons.Refusal.FRAME_MALFORMED)
            return []

    def ended(self, end: actions.Decided) -> list[actions.Action]:
        """Tell another VM how its proposal ended here."""
        return self._proposals.on_local_end(end)

    def propose(
        self,
        action: actions.Propose,
        control_vm: str,
        now: float,
    ) -> list[actions.Action]:
        """Bring a proposal to the log.

        The log answers a token that it knows without applying anything;
        the caller sees to it that tokens don't recur, see `once`.

        :param control_vm: where to send it if there is no log here
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

    def once(self, action: actions.Propose) -> actions.Propose:
        """Give a proposal a token that no other one ever has."""
        self._token_count += 1
        token = f"{self._token_prefix}.{self._token_count}/{action.token}"
        return actions.Propose(token, action.command)

    def read(
        self,
        action: actions.Propose,
        leader: str,
        now: float,
    ) -> list[actions.Action]:
        """Read from the leader's state, under its lease and not the log."""
        if self.may_read(now):
            result = self.machine.apply(action.command)
            return [actions.Decided(action.token, True, result)]
        forwarded = action.token.startswith(FORWARDED)
        if forwarded or leader in ("", self._cfg.name):
            reason = reasons.Refusal.NO_LEADER.value
            return [actions.Decided(action.token, False, None, reason)]
        return self._proposals.forward(action, leader, now)
