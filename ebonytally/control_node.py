"""Decision logic of a control VM, without any I/O except on its disk."""

from collections.abc import Callable
import functools

from ebonytally import actions
from ebonytally.agreement import agreement
from ebonytally.agreement import control_runner
from ebonytally.configuration import machine as machines
from ebonytally import deployment as deployments
from ebonytally.echo import cookies
from ebonytally.feed import messages as feed_messages
from ebonytally.feed import server
from ebonytally.feed import start_notifier
from ebonytally.load import figures
from ebonytally.load import load_server
from ebonytally.load import messages as load_messages
from ebonytally import ports
from ebonytally import recorder as recorders
from ebonytally.registry import gossip
from ebonytally.registry import limits
from ebonytally.registry import records
from ebonytally.registry import registry as registries
from ebonytally.registry import registry_store

# The leader sends a heartbeat every 0.4 s; two of them may be lost.
LEADER_TIMEOUT_S = 1.3
# A new control VM greets the others at least this often.
NEW_VOTER_TIMEOUT_S = 3.0
# Restarts and network partitions are over sooner; a voter that is silent
# for longer is removed from the voter list.
VOTER_TIMEOUT_S = 8.0
MIN_VOTERS = 3
MAX_VOTERS = 7
_CONSENSUS_KINDS = range(100, 200)
_LOAD_KINDS = range(660, 670)


class ControlNode:
    """Replicated log, registry, and the feed that entry VMs poll."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        disk: ports.Disk,
        start: int,
        recorder: recorders.Recorder,
        runner: control_runner.ControlRunner,
        now: float,
        wall: float,
    ) -> None:
        """Open the log and load the saved registry.

        :param start: number that differs at each start of this VM
        :param runner: runs calls that may block on the disk
        :param now: monotonic seconds
        :param wall: seconds since 1970
        :raises StorageError: if the data folder can't be used
        """
        local_vm = deployment.cfg.name
        self.local_vm = local_vm
        self._runner = runner
        self.machine = machines.Machine()
        self.agreement = agreement.Agreement(
            deployment.cfg,
            local_vm,
            deployment.seeds if deployment.first_start else (),
            disk,
            self.machine,
            recorder,
            start,
            deployment.seeds,
        )
        self.registry = registries.Registry(
            local_vm,
            limits.limits(deployment),
            recorder,
            deployment.data_centres,
        )
        self._saved_registry = registry_store.RegistryStore(
            disk, self.registry, recorder
        )
        entry_vms = self._saved_registry.load(now, wall)
        self.exchange = gossip.RegistryGossip(
            local_vm,
            deployment.seeds,
            self.registry,
            recorder,
        )
        self._source = server.FeedServer(
            local_vm,
            start,
            self.registry,
            self.machine,
            entry_vms,
            now,
        )
        self._start_notifier = start_notifier.StartNotifier(
            entry_vms, start, now
        )
        self._cookies = cookies.Cookies(self.registry, recorder)
        self._load = load_server.LoadServer(
            figures.Checks(deployment.data_centres, recorder),
            self._service_of,
        )
        # Counted at each tick: there are more polls than ticks.
        self._followers = 0
        self._token_count = 0
        self._services_version = 0
        self._start = start
        self._stopping = False

    @property
    def leader(self) -> str:
        """Return the address of the log's leader, "" if none is known."""
        return self.agreement.leader

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds by those of changed settings."""
        self.exchange.use_seeds(seeds)
        self.agreement.set_contacts(seeds)

    def token(self) -> str:
        """Return a token that no other proposal or read ever has."""
        self._token_count += 1
        return f"{self.local_vm}.{self._start}.{self._token_count}"

    def on_announcement(
        self,
        announcement: records.Announcement,
        now: float,
    ) -> list[actions.Action]:
        """Register an upstream and tell the other control VMs of a change."""
        self._update_services()
        return self.exchange.publish(
            self.registry.on_announcement(announcement, now), now
        )

    def on_deregistration(
        self,
        id_: str,
        born_ms: int,
        now: float,
    ) -> list[actions.Action]:
        """Mark an upstream as gone and tell the other control VMs.

        :param born_ms: its start, milliseconds since 1970; 0 if not given
        """
        return self.exchange.publish(
            self.registry.on_deregistration(id_, born_ms, now), now
        )

    def propose(
        self,
        token: str,
        command: object,
        now: float,
    ) -> list[actions.Action]:
        """Propose an operator's command to the log, at most once.

        An operator without an answer repeats its order at another control
        VM; appended again after a change of leader, this copy could undo a
        later order.

        :param token: returned with the outcome in `actions.ProposalResult`
        """
        propose = self.agreement.propose
        return self._run_call(propose, token, command, now, True)

    def read(self, token: str, now: float) -> list[actions.Action]:
        """Start a linearizable read; `actions.ProposalResult` tells its end.

        A success confirms that the local state includes all that was
        committed before this call.
        """
        return self._run_call(self.agreement.read, token, now)

    def handle(
        self,
        peer: str,
        msg: object,
        kind: int,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message from another VM.

        :param kind: number of the message's class
        """
        if kind in _CONSENSUS_KINDS:
            return self._run_call(self.agreement.handle, peer, msg, now)
        if isinstance(msg, feed_messages.Poll):
            self._start_notifier.on_poll(peer)
            return self._source.handle_poll(
                peer,
                msg,
                self._control_vms(now),
                self.agreement.has_leader_contact(now, LEADER_TIMEOUT_S),
                self.exchange.count_entry_vms(self._followers, now),
                now,
                self.exchange.agreeing_peers(now),
            )
        self._update_services()
        if kind in _LOAD_KINDS:
            return self._handle_load(peer, msg, now)
        if isinstance(msg, feed_messages.PartWanted):
            return self._source.handle_part_wanted(peer, msg)
        if isinstance(msg, feed_messages.RecordsWanted):
            return self._source.handle_records_wanted(peer, msg, now)
        return self.exchange.handle(peer, msg, now)

    def tick(self, now: float, wall: float) -> list[actions.Action]:
        """Run the timers, save the registry if due, and update the voters."""
        self._update_services()
        self._followers = self._source.count_followers(now)

        def entry_vms() -> tuple[str, ...]:
            return self._source.entry_vms(now)

        if self._saved_registry.is_due(entry_vms, now):
            self._run_call(self._save_registry, entry_vms(), now, wall)
        if self.agreement.is_leader:
            self.agreement.set_wanted_voters(self._wanted_voters(now))
        actions_ = self._run_call(self.agreement.tick, now)
        if self._stopping:
            actions_ += self._run_call(self.agreement.transfer_leadership, now)
        voters = tuple(voter.name for voter in self.agreement.voters)
        actions_ += self.exchange.tick(
            voters,
            self._followers,
            self.agreement.leader,
            now,
        )
        self._cookies.update()
        self._cookies.sweep()
        actions_ += self._load.tick(self.exchange.live_peers(now), now)
        return actions_ + self._start_notifier.tick(now)

    def stop(self, now: float) -> list[actions.Action]:
        """Transfer leadership before a planned stop.

        Under load no other voter may have the whole log yet; the transfer
        is tried again at each tick.
        """
        self._stopping = True
        return self._run_call(self.agreement.transfer_leadership, now)

    def _update_services(self) -> None:
        """Tell the registry the services of a new configuration."""
        configuration = self.machine.state.configuration
        if (
            configuration is None
            or self._services_version == configuration.version
        ):
            return
        self._services_version = configuration.version
        services = configuration.service_names()
        self.registry.use_services(services)
        self._load.use_services(services)

    def _handle_load(
        self, peer: str, msg: object, now: float
    ) -> list[actions.Action]:
        is_sums = isinstance(msg, load_messages.LoadSums)
        if is_sums and not self.exchange.is_control_vm(peer):
            return []
        return self._load.handle(peer, msg, now)

    def _service_of(self, cookie: int) -> str | None:
        """Return the service of an upstream's cookie, None if unknown."""
        entry = self._cookies.entry(cookie)
        return None if entry is None else entry.record.service

    def _save_registry(
        self,
        entry_vms: tuple[str, ...],
        now: float,
        wall: float,
    ) -> list[actions.Action]:
        self._saved_registry.save(entry_vms, now, wall)
        return []

    def _run_call(self, call: Callable, *args: object) -> list[actions.Action]:
        return self._runner.run(functools.partial(call, *args))

    def _control_vms(self, now: float) -> tuple[str, ...]:
        voters = {voter.name for voter in self.agreement.voters}
        heard_vms = self.exchange.live_peers(now)
        return tuple(sorted({self.local_vm, *voters, *heard_vms}))

    def _wanted_voters(self, now: float) -> tuple[str, ...]:
        """Return the control VMs that should be in the voter list.

        These are all that are heard, up to `MAX_VOTERS`. A VM that has been
        silent for `VOTER_TIMEOUT_S` is left out, so that the quorum counts
        VMs that run; at least `MIN_VOTERS` of the present voters stay.
        """
        current_voters = [voter.name for voter in self.agreement.voters]
        recently_heard = {
            self.local_vm,
            *self.agreement.heard_control_vms(now, VOTER_TIMEOUT_S),
        }
        heard_vms = {
            self.local_vm,
            *self.agreement.heard_control_vms(now, NEW_VOTER_TIMEOUT_S),
        }
        wanted = [name for name in current_voters if name in recently_heard]
        for name in current_voters:
            if name not in wanted and len(wanted) < MIN_VOTERS:
                wanted.append(name)
        for name in sorted(heard_vms):
            if name not in wanted and len(wanted) < MAX_VOTERS:
                wanted.append(name)
        return tuple(wanted)
