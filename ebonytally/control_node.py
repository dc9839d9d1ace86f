"""All decisions of a control VM, without any I/O but its disk."""

from collections.abc import Callable
import functools

from ebonytally import actions
from ebonytally.agreement import agreement
from ebonytally.agreement import control_runner
from ebonytally.configuration import machine as machines
from ebonytally import deployment as deployments
from ebonytally.feed import greeting
from ebonytally.feed import messages as feed_messages
from ebonytally.feed import source
from ebonytally import ports
from ebonytally import recorder as recorders
from ebonytally.register import exchange
from ebonytally.register import kept
from ebonytally.register import limits
from ebonytally.register import records
from ebonytally.register import register as registers

# A follower hears its leader every 0.4 s; two heartbeats may be lost.
IN_TOUCH_S = 1.3
# A new control VM makes itself known this often at the least.
HEARD_S = 3.0
# A voter that is silent for this long is not waited for: a restart or a
# cut is over sooner.
REMOVE_AFTER_S = 8.0
MIN_VOTERS = 3
MAX_VOTERS = 7
_AGREEMENT = range(100, 200)


class ControlNode:
    """Agreement, register, and the source that entry VMs follow."""

    def __init__(
        self,
        told: deployments.Deployment,
        disk: ports.Disk,
        start: int,
        recorder: recorders.Recorder,
        runner: control_runner.ControlRunner,
        now: float,
        wall: float,
    ) -> None:
        """Open the log.

        :param start: differs at each start of this VM
        :param wall: seconds since 1970
        :raises StorageError: when the data folder can't be used
        """
        me = told.cfg.name
        self.me = me
        self._runner = runner
        self.machine = machines.Machine()
        self.agreement = agreement.Agreement(
            told.cfg,
            me,
            told.seeds if told.first_start else (),
            disk,
            self.machine,
            recorder,
            start,
            told.seeds,
        )
        self.register = registers.Register(
            me,
            limits.limits(told),
            recorder,
        )
        self._kept = kept.Kept(disk, self.register, recorder)
        entry_vms = self._kept.load(now, wall)
        self.exchange = exchange.Exchange(
            me,
            told.seeds,
            self.register,
            recorder,
        )
        self._source = source.Source(
            me,
            start,
            self.register,
            self.machine,
            entry_vms,
            now,
        )
        self._greeting = greeting.Greeting(entry_vms, start, now)
        self._made = 0
        self._start = start

    @property
    def leader(self) -> str:
        """Return the address of the leader, "" for none."""
        return self.agreement.leader

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of changed settings."""
        self.exchange.use_seeds(seeds)
        self.agreement.contact(seeds)

    def token(self) -> str:
        """Return a name for a proposal that no other one ever has."""
        self._made += 1
        return f"{self.me}.{self._start}.{self._made}"

    def announced(
        self,
        said: records.Announcement,
        now: float,
    ) -> list[actions.Action]:
        """Take an upstream's announcement."""
        return self.exchange.tell(self.register.announced(said, now), now)

    def left(
        self,
        id_: str,
        born_ms: int,
        now: float,
    ) -> list[actions.Action]:
        """Take an upstream's word that it has ended."""
        return self.exchange.tell(self.register.left(id_, born_ms, now), now)

    def propose(
        self,
        token: str,
        command: object,
        now: float,
    ) -> list[actions.Action]:
        """Have a command put into the log."""
        propose = self.agreement.propose
        return self._run(propose, token, command, now)

    def read(self, token: str, now: float) -> list[actions.Action]:
        """Confirm that the state here is no older than this call."""
        return self._run(self.agreement.read, token, now)

    def message(
        self,
        peer: str,
        msg: object,
        kind: int,
        now: float,
    ) -> list[actions.Action]:
        """Take a message of another VM.

        :param kind: number of the message's class
        """
        if kind in _AGREEMENT:
            return self._run(self.agreement.handle, peer, msg, now)
        if isinstance(msg, feed_messages.Poll):
            self._greeting.asked(peer)
            return self._source.poll(
                peer,
                msg,
                self._control_vms(now),
                self.agreement.in_touch(now, IN_TOUCH_S),
                self.exchange.entry_vms(self._source.followers(now), now),
                now,
            )
        if isinstance(msg, feed_messages.PartWanted):
            return self._source.part(peer, msg)
        return self.exchange.handle(peer, msg, now)

    def tick(self, now: float, wall: float) -> list[actions.Action]:
        """Do what is due."""
        entry_vms = self._source.entry_vms(now)
        if self._kept.due(entry_vms, now):
            self._run(self._save, entry_vms, now, wall)
        if self.agreement.is_leader:
            self.agreement.want_voters(self._wanted(now))
        out = self._run(self.agreement.tick, now)
        voters = tuple(one.name for one in self.agreement.voters)
        out += self.exchange.tick(
            voters,
            self._source.followers(now),
            self.agreement.leader,
            now,
        )
        return out + self._greeting.tick(now)

    def stop(self, now: float) -> list[actions.Action]:
        """Hand leadership over before a planned stop."""
        return self._run(self.agreement.transfer, now)

    def _save(
        self,
        entry_vms: tuple[str, ...],
        now: float,
        wall: float,
    ) -> list[actions.Action]:
        self._kept.save(entry_vms, now, wall)
        return []

    def _run(self, call: Callable, *args: object) -> list[actions.Action]:
        return self._runner.run(functools.partial(call, *args))

    def _control_vms(self, now: float) -> tuple[str, ...]:
        voters = {one.name for one in self.agreement.voters}
        heard = self.exchange.heard(now)
        return tuple(sorted({self.me, *voters, *heard}))

    def _wanted(self, now: float) -> tuple[str, ...]:
        """Return which control VMs should be in the voter list.

        All that are heard, up to a number; one that is long silent is
        left out, so that a majority is one of those that are there.
        """
        listed = [one.name for one in self.agreement.voters]
        lately = {
            self.me,
            *self.agreement.control_vms(now, REMOVE_AFTER_S),
        }
        heard = {self.me, *self.agreement.control_vms(now, HEARD_S)}
        kept = [name for name in listed if name in lately]
        for name in listed:
            if name not in kept and len(kept) < MIN_VOTERS:
                kept.append(name)
        for name in sorted(heard):
            if name not in kept and len(kept) < MAX_VOTERS:
                kept.append(name)
        return tuple(kept)
