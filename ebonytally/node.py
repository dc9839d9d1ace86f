"""Composition of the components of one daemon, without network I/O.

The daemon drives a Node with real adapters, scenarios drive it with fakes.
Each method that handles an event takes `now`, in monotonic seconds, and
returns the actions that the adapters have to perform.
"""

from typing import Protocol

import attrs

from ebonytally import actions
from ebonytally.agreement import agreement
from ebonytally.agreement import control_runner
from ebonytally.agreement import control_state
from ebonytally.agreement import leader_commands
from ebonytally.agreement import node_control
from ebonytally.dissemination import dissemination
from ebonytally.dissemination import failure_detector
from ebonytally.flows import flows
from ebonytally.intents import intents
from ebonytally.intents import plan_messages
from ebonytally import node_store
from ebonytally import ports
from ebonytally import recorder as recorders
from ebonytally.requests import request_dispatcher
from ebonytally import settings
from ebonytally import status
from ebonytally.upstreams import upstreams
from ebonytally import view
from ebonytally import vm_state_correction
from ebonytally import wire

PROPOSAL_INTERVAL_S = 0.1
REPROPOSE_AFTER_S = 1.0
HANDOVER_TIMEOUT_S = 8.0
_MEMBERSHIP_KINDS = range(1, 10)
_DISSEMINATION_KINDS = range(10, 20)
_PROPOSAL_KINDS = range(20, 30)
_CONSENSUS_KINDS = range(100, 200)
_FLOW_KINDS = range(200, 300)
_REQUEST_KINDS = range(300, 400)
_UPSTREAM_KINDS = range(400, 500)


class MessageHandler(Protocol):
    """Component that handles messages from other entry VMs."""

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message; return the actions to perform."""


@attrs.frozen
class Connectivity:
    """Connectivity as the components were last notified of it.

    :param alive: names of the other VMs that the failure detector finds alive
    :param leased: whether this VM's configuration lease is valid
    """

    alive: frozenset[str]
    leased: bool


class Node:
    """Decision logic of one entry VM, with the log if it is a control VM."""

    def __init__(
        self,
        cfg: settings.Settings,
        disk: ports.Disk,
        incarnation: int,
        recorder: recorders.Recorder,
        seed: int,
        now: float,
        runner: control_runner.ControlRunner | None = None,
    ) -> None:
        """Create the components from the settings and the data folder.

        :param incarnation: number of this start, above all earlier ones
        :param runner: runs calls that may block on the disk, inline if None
        :raises StorageError: if the data folder can't be used
        """
        local_vm = cfg.name
        self.cfg = cfg
        self.incarnation = incarnation
        initial_view = node_store.load_view(cfg, disk)
        self._view_store = node_store.ViewStore(disk, initial_view, now)
        self.failure_detector = failure_detector.FailureDetector(
            cfg,
            local_vm,
            incarnation,
            recorder,
            seed,
        )
        self.dissemination = dissemination.Dissemination(
            cfg, local_vm, initial_view, recorder, seed
        )
        self.flows = flows.Flows(cfg, local_vm, recorder)
        self.upstreams = upstreams.Upstreams(
            cfg,
            local_vm,
            recorder,
            seed,
        )
        self.requests = request_dispatcher.RequestDispatcher(
            cfg,
            local_vm,
            self.upstreams,
            recorder,
            seed,
        )
        self.intents = intents.Intents(cfg, recorder, incarnation)
        self.control = node_control.Control(
            cfg,
            incarnation,
            disk,
            recorder,
            seed,
            runner or control_runner.InlineRunner(),
        )
        self._notified_view: view.View | None = None
        self._connectivity = Connectivity(frozenset(), False)
        self._next_proposals_at = now
        self._last_proposed_at: dict[object, float] = {}
        self._stopping = False
        self._handover_deadline = now

    @property
    def machine(self) -> control_state.Machine | None:
        """Return the replicated state, None if not a control VM."""
        return self.control.machine

    @property
    def agreement(self) -> agreement.Agreement | None:
        """Return the replicated log, None if not a control VM."""
        return self.control.agreement

    @property
    def current_view(self) -> view.View:
        """Return the newest configuration view applied on this VM."""
        return self.dissemination.current_view

    def start(self, now: float) -> list[actions.Action]:
        """Notify the components of the stored or initial view."""
        return self._run_internal([], now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle an authenticated message from another VM."""
        kind = wire.kind_of(msg)
        if kind in _MEMBERSHIP_KINDS:
            actions_ = self.failure_detector.handle(peer, msg, now)
        elif kind in _PROPOSAL_KINDS:
            actions_ = self.control.handle_forwarded(peer, msg, now)
        elif kind in _CONSENSUS_KINDS:
            actions_ = self.control.handle(peer, msg, now)
        else:
            handler = self._handler_of(kind)
            actions_ = (
                [] if handler is None else handler.handle(peer, msg, now)
            )
        return self._run_internal(actions_, now)

    def _handler_of(self, kind: int) -> MessageHandler | None:
        if kind in _DISSEMINATION_KINDS:
            return self.dissemination
        if kind in _FLOW_KINDS:
            return self.flows
        if kind in _REQUEST_KINDS:
            return self.requests
        if kind in _UPSTREAM_KINDS:
            return self.upstreams
        return None

    def handle_packet(self, data: bytes, now: float) -> list[actions.Action]:
        """Handle an IPv4 packet that the fabric delivered to this VM."""
        return self.flows.handle_packet(data, now)

    def perform_internal(
        self,
        actions_: list[actions.Action],
        now: float,
    ) -> list[actions.Action]:
        """Perform the internal actions and return those for the adapters.

        Adapters that call a component directly pass its actions to this
        method. Internal are proposals, their outcomes and messages to self.
        """
        return self._run_internal(actions_, now)

    def tick(self, now: float) -> list[actions.Action]:
        """Run the timers of all components and save the view if due."""
        actions_ = self.failure_detector.tick(now)
        self.dissemination.set_leading_term(self.control.term(now), now)
        actions_ += self.dissemination.tick(now)
        actions_ += self.control.tick(now)
        actions_ += self.flows.tick(now)
        actions_ += self.upstreams.tick(now)
        actions_ += self.requests.tick(now)
        actions_ += self.intents.tick(now)
        actions_ += self._due_proposals(now)
        actions_ = self._run_internal(actions_, now)
        self._view_store.tick(self.dissemination, now)
        return actions_

    def stop(self, now: float) -> list[actions.Action]:
        """Begin a planned stop: hand over records, refuse new requests."""
        self._stopping = True
        self._handover_deadline = now + HANDOVER_TIMEOUT_S
        actions_ = self.flows.stop(now)
        actions_ += self.requests.stop(now)
        actions_ += self.control.stop(now)
        return self._run_internal(actions_, now)

    def can_stop(self, now: float) -> bool:
        """Return whether a planned stop can end without losing state.

        Requests must have ended and the records that this VM owns must be
        handed over. A partitioned VM may find no VM to take its records, so
        the handover ends after `HANDOVER_TIMEOUT_S`.
        """
        if self.requests.has_open_requests:
            return False
        handed_over = self.requests.is_idle and self.flows.is_handed_over()
        return handed_over or now >= self._handover_deadline

    def facts(self, now: float, wall: float) -> status.NodeFacts:
        """Return this VM's state that isn't in the replicated view.

        :param wall: seconds since 1970
        """
        alive = self.failure_detector.alive() | {self.cfg.name}
        silent_vms = tuple(
            status.SilentVm(
                vm.name, self.failure_detector.silent_s(vm.name, now)
            )
            for vm in self.current_view.vms
            if vm.name not in alive
        )
        loads = tuple(
            plan_messages.UpstreamLoad(upstream, count)
            for upstream, count in sorted(self.flows.open_flows().items())
        )
        load_facts = plan_messages.VmFacts(
            loads,
            1,
            tuple(vm.name for vm in silent_vms),
        )
        return status.NodeFacts(
            local_vm=self.cfg.name,
            leader=self.dissemination.leader,
            has_lease=self.dissemination.is_leased(now),
            wall=wall,
            silent_vms=silent_vms,
            load=load_facts,
            stopping=self._stopping,
        )

    def _due_proposals(self, now: float) -> list[actions.Action]:
        """Return due proposals: the leader's, and a correction of this VM."""
        if now < self._next_proposals_at:
            return []
        self._next_proposals_at = now + PROPOSAL_INTERVAL_S
        due_commands: list[object] = []
        if self.control.may_read(now):
            control_vms = [
                vm.name for vm in self.machine.view.vms if vm.control
            ]
            self.agreement.set_wanted_voters(tuple(control_vms))
            due_commands += leader_commands.due_commands(
                self.cfg,
                self.machine.view,
                self.dissemination.applied_revisions(now),
                self.dissemination.expired_vms(now),
            )
        if self.dissemination.is_leased(now):
            mark_command = vm_state_correction.correction(
                self.current_view,
                self.cfg.name,
                self.incarnation,
                self._stopping,
            )
            due_commands += [] if mark_command is None else [mark_command]
        return [
            actions.Propose("node", command)
            for command in due_commands
            if self._may_propose(command, now)
        ]

    def _may_propose(self, command: object, now: float) -> bool:
        """Return whether a command may be proposed, and record the time.

        A proposal takes a while to take effect; until `REPROPOSE_AFTER_S` has
        passed the same command isn't proposed again.
        """
        recent = {
            other: at
            for other, at in self._last_proposed_at.items()
            if now - at < REPROPOSE_AFTER_S
        }
        self._last_proposed_at = recent
        if command in recent:
            return False
        recent[command] = now
        return True

    def _run_internal(
        self,
        actions_: list[actions.Action],
        now: float,
    ) -> list[actions.Action]:
        """Perform internal actions until only external ones remain."""
        external: list[actions.Action] = []
        pending = list(actions_)
        while True:
            pending += self._notify_changes(now)
            if not pending:
                return external
            batch, pending = pending, []
            for action in batch:
                if isinstance(action, actions.Propose):
                    pending += self._propose(action, now)
                elif isinstance(action, actions.ProposalResult):
                    pending += self._on_decided(action, now)
                elif (
                    isinstance(action, actions.Send)
                    and action.peer == self.cfg.name
                ):
                    pending += self._deliver_locally(action, now)
                else:
                    external.append(action)

    def _deliver_locally(
        self,
        action: actions.Send,
        now: float,
    ) -> list[actions.Action]:
        kind = wire.kind_of(action.msg)
        handler = self._handler_of(kind)
        if handler is None:
            return []
        return handler.handle(self.cfg.name, action.msg, now)

    def _propose(
        self,
        action: actions.Propose,
        now: float,
    ) -> list[actions.Action]:
        if isinstance(action.command, control_state.READ_COMMANDS):
            return self.control.read(action, self.dissemination.leader, now)
        # Intents are resent and keep their tokens to stay idempotent. All
        # other proposals get a token that is never reused.
        has_lasting_token = action.token.startswith(
            node_control.FORWARDED_PREFIX
        )
        if not has_lasting_token and not self.intents.is_own_token(
            action.token
        ):
            action = self.control.with_unique_token(action)
        return self.control.propose(action, self._proposal_target(), now)

    def _proposal_target(self) -> str:
        """Return the leader, else another live control VM, else ""."""
        alive = self.failure_detector.alive()
        if self.dissemination.leader in alive:
            return self.dissemination.leader
        return next(
            (
                vm.name
                for vm in self.current_view.vms
                if vm.control and vm.name in alive
            ),
            "",
        )

    def _on_decided(
        self,
        decided: actions.ProposalResult,
        now: float,
    ) -> list[actions.Action]:
        if decided.token.startswith(node_control.FORWARDED_PREFIX):
            return self.control.on_local_result(decided)
        if self.intents.is_own_token(decided.token):
            return self.intents.on_decided(decided, now)
        return []

    def _notify_changes(self, now: float) -> list[actions.Action]:
        """Notify the components of changes of view and connectivity."""
        self._disseminate_applied()
        actions_: list[actions.Action] = []
        if self.current_view is not self._notified_view:
            if self._view_store.lacks_change(self.current_view):
                self._view_store.save(self.dissemination, now)
            # Other tasks may have run during the save: read the view again.
            self._notified_view = self.current_view
            for component in (
                self.failure_detector,
                self.flows,
                self.upstreams,
                self.requests,
            ):
                actions_ += component.on_view_change(self._notified_view, now)
        actions_ += self._notify_connectivity(now)
        for service in sorted(self.upstreams.pop_ready_services()):
            actions_ += self.requests.dispatch_waiting(service, now)
        return actions_

    def _notify_connectivity(self, now: float) -> list[actions.Action]:
        alive = self.failure_detector.alive()
        leased = self.dissemination.is_leased(now)
        old = self._connectivity
        if old.alive is alive and old.leased == leased:
            return []
        self._connectivity = Connectivity(alive, leased)
        actions_: list[actions.Action] = []
        self.dissemination.set_alive(alive)
        for component in (self.flows, self.upstreams, self.requests):
            actions_ += component.on_connectivity_change(alive, leased, now)
        return actions_

    def _disseminate_applied(self) -> None:
        if self.machine is None:
            return
        for effect in self.machine.take_effects():
            self.dissemination.on_command_applied(
                effect.revision, effect.command
            )
        if self.machine.view.revision > self.current_view.revision:
            self.dissemination.replace_view(self.machine.view)
