"""Simulated disk, network and state machine for agreement tests."""

import enum
import random

import attrs

from ebonytally import actions
from ebonytally.agreement import agreement
from ebonytally import commands
from ebonytally import errors
from ebonytally import recorder
from ebonytally import settings
from ebonytally import wire

KEY = b"k" * 32


@wire.message(60001)
@attrs.frozen
class Put:
    """Test command: add a value to the machine's list."""

    value: str


class PowerLostError(Exception):
    """Simulated loss of power in the middle of a disk operation."""


class Freeing(enum.Enum):
    """What a full disk does when a file is truncated or removed.

    With `FAILS_IN_SYNC` the change takes effect, but isn't durable and is
    reported as failed.
    """

    WORKS = enum.auto()
    FAILS = enum.auto()
    FAILS_IN_SYNC = enum.auto()


class Disk:
    """Files in memory; unsynced data is lost in a crash.

    :ivar full: the disk takes no more bytes
    :ivar steps_to_full: number of changes after which the disk is full,
        None for never
    """

    def __init__(self):
        self.durable: dict[str, bytes] = {}
        self.files: dict[str, bytes] = {}
        self.full = False
        self.steps_to_full = None
        self.freeing = Freeing.WORKS
        self.ignores_sync = False
        self.steps_to_power_loss = None

    def _check(self, step, is_freeing=False):
        if self.steps_to_power_loss is not None:
            self.steps_to_power_loss -= 1
            if self.steps_to_power_loss < 0:
                raise PowerLostError
        if self.steps_to_full is not None:
            self.full = self.full or self.steps_to_full <= 0
            self.steps_to_full -= 1
        if is_freeing and self.freeing is Freeing.WORKS:
            return
        if self.full:
            raise errors.StorageError(step, "disk", "no space left")

    def make_room(self):
        """End a full disk."""
        self.full = False
        self.steps_to_full = None

    def read(self, name):
        return self.files.get(name)

    def append(self, name, data):
        if self.full or self.steps_to_power_loss == 0:
            half = data[: len(data) // 2]
            self.files[name] = self.files.get(name, b"") + half
        self._check("append")
        self.files[name] = self.files.get(name, b"") + data

    def sync(self, name):
        self._check("sync")
        if not self.ignores_sync:
            self.durable[name] = self.files[name]

    def replace(self, name, data):
        self._check("replace")
        self.files[name] = data
        if not self.ignores_sync:
            self.durable[name] = data

    def truncate(self, name, size):
        if self.freeing is Freeing.FAILS_IN_SYNC:
            self.files[name] = self.files[name][:size]
        self._check("truncate", is_freeing=True)
        self.files[name] = self.files[name][:size]
        self.durable[name] = self.files[name]

    def remove(self, name):
        if self.freeing is Freeing.FAILS_IN_SYNC:
            self.files.pop(name, None)
        self._check("remove", is_freeing=True)
        self.files.pop(name, None)
        self.durable.pop(name, None)

    def names(self):
        return sorted(self.files)

    def crash(self, rng=None):
        """Drop unsynced data, with `rng` except for a torn prefix."""
        self.steps_to_power_loss = None
        surviving = dict(self.durable)
        for name, data in self.files.items():
            old = surviving.get(name, b"")
            if rng and data.startswith(old) and len(data) > len(old):
                tail = bytearray(data[len(old) :][: rng.randrange(200)])
                if tail and rng.random() < 0.5:
                    tail[rng.randrange(len(tail))] ^= 0x55
                surviving[name] = old + bytes(tail)
        self.files = surviving
        self.durable = dict(surviving)


class Machine:
    """A state machine that records the applied values."""

    def __init__(self):
        self.values: list[str] = []

    def apply(self, command):
        if isinstance(command, commands.Recovered):
            return None
        self.values.append(command.value)
        return len(self.values)

    def snapshot(self):
        return "\n".join(self.values).encode()

    def restore(self, data):
        self.values = data.decode().split("\n") if data else []


LIMITS = settings.Control(snapshot_entries=20)


def make_settings(name, limits=LIMITS):
    """Return settings; agreement reads only the limits."""
    return settings.Settings(
        name=name,
        address="127.0.0.1",
        data_centre="d1",
        region="r1",
        cluster_key="00" * 32,
        data_folder="",
        seeds=(),
        control=True,
        limits=limits,
    )


class Cluster:
    """Agreement objects connected by a network in virtual time."""

    def __init__(self, names, seed=0, limits=LIMITS, delay_s=0.002):
        self.rng = random.Random(seed)
        self.limits = limits
        self.genesis = tuple(names)
        self.delay_s = delay_s
        self.now = 0.0
        self.starts = 0
        self.disks = {}
        self.nodes = {}
        self.machines = {}
        self.recorder = recorder.MemoryRecorder()
        self.queue = []
        self.cuts = set()
        self.decided = {}
        self.loss = self.duplicate = self.jitter_s = 0.0
        self.bytes_sent = {}
        self.leaders = {}
        for name in names:
            self.start(name)

    def start(self, name, disk=None):
        """Start a VM on its disk, or on a new one if it has none."""
        if disk is not None or name not in self.disks:
            self.disks[name] = disk or Disk()
        self.starts += 1
        self.machines[name] = Machine()
        self.nodes[name] = agreement.Agreement(
            make_settings(name, self.limits),
            name,
            self.genesis,
            self.disks[name],
            self.machines[name],
            self.recorder,
            self.rng.getrandbits(32) + self.starts,
        )

    def crash(self, name):
        """Stop a VM at once and drop its unsynced data."""
        del self.nodes[name]
        self.disks[name].crash(self.rng)

    def cut(self, name, other):
        """Drop messages between two VMs in both directions."""
        self.cuts |= {(name, other), (other, name)}

    def isolate(self, name):
        """Cut a VM off from all others."""
        for other in set(self.disks) - {name}:
            self.cut(name, other)

    def run_actions(self, name, acts):
        """Carry out actions: send messages and record outcomes."""
        for act in acts:
            if isinstance(act, actions.ProposalResult):
                self.decided[act.token] = act
                continue
            frame = wire.encode(KEY, name, act.msg)
            sent = self.bytes_sent.get(name, 0)
            self.bytes_sent[name] = sent + len(frame) + 28
            for _ in range(1 + (self.rng.random() < self.duplicate)):
                if self.rng.random() < self.loss:
                    continue
                due = self.now + self.delay_s
                due += self.jitter_s * self.rng.random()
                self.queue.append((due, self.rng.random(), act.peer, frame))
        node = self.nodes[name]
        if node.is_leader:
            term = (node.generation, node.term)
            leader = self.leaders.setdefault(term, name)
            assert leader == name, f"{leader} and {name} lead term {term}"

    def step(self, dt=0.02):
        """Advance time: deliver the messages that are due, tick all."""
        end = self.now + dt
        while self.queue and min(self.queue)[0] <= end:
            item = min(self.queue)
            self.queue.remove(item)
            due, _, peer, frame = item
            self.now = max(self.now, due)
            self.deliver(peer, frame)
        self.now = end
        for name in sorted(self.nodes):
            self.call(name, lambda node: node.tick(self.now))

    def deliver(self, peer, frame):
        """Deliver a frame to its VM unless the link is cut."""
        sender, msg = wire.decode(KEY, frame)
        if (sender, peer) in self.cuts or peer not in self.nodes:
            return
        self.call(peer, lambda node: node.handle(sender, msg, self.now))

    def call(self, name, step):
        """Call a node and carry out its actions; crash it on power loss."""
        if name not in self.nodes:
            return
        try:
            acts = step(self.nodes[name])
        except PowerLostError:
            self.crash(name)
            return
        self.run_actions(name, acts)

    def run(self, seconds):
        """Advance time by some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def run_until(self, condition, seconds=30.0):
        """Advance time until a condition holds."""
        end = self.now + seconds
        while not condition():
            assert self.now < end, f"condition not met within {seconds} s"
            self.step()

    @property
    def leader(self):
        """Return the name of the leader that may read, None for none."""
        for name, node in self.nodes.items():
            if node.may_read(self.now):
                return name
        return None

    def elect(self):
        """Run until a leader may read; return its name."""
        self.run_until(lambda: self.leader is not None)
        return self.leader

    def propose(self, name, token, value):
        """Propose a value at a VM."""
        command = Put(value)
        self.call(name, lambda node: node.propose(token, command, self.now))

    def put(self, token, value):
        """Propose at the leader and wait until it is applied there."""
        name = self.elect()
        self.propose(name, token, value)
        self.run_until(lambda: token in self.decided)
        return self.decided[token]
