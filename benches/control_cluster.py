"""A cluster of control VMs in virtual time, for benchmarks."""

import heapq
import random

from ebonytally import actions
from ebonytally.agreement import agreement
from ebonytally import commands
from ebonytally import peer_datagrams
from ebonytally import recorder
from ebonytally import settings
from ebonytally import view
from ebonytally import wire

ONE_WAY_DELAY_S = 0.0015
TICK_S = 0.01
KEY = b"k" * 32
COMMAND = commands.ServiceSet(
    view.Service(
        "cutting-desk",
        "10.20.0.1",
        443,
        6,
        ("west-1", "west-2", "west-3", "west-4"),
    )
)


class CountingStateMachine:
    """A state machine that only counts commands."""

    def __init__(self) -> None:
        """Create the state before the first command."""
        self.count = 0

    def apply(self, command: object) -> object:
        """Count a command."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Return the count, padded to the size of a real view."""
        return b"%020d" % self.count + bytes(random.Random(1).randbytes(8000))

    def restore(self, data: bytes) -> None:
        """Restore the count from a snapshot."""
        self.count = int(data[:20])


class MemoryDisk:
    """A disk in memory; writes take no time and never fail."""

    def __init__(self) -> None:
        """Create a disk without files."""
        self._files: dict[str, bytearray] = {}

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, None if it does not exist."""
        data = self._files.get(name)
        return None if data is None else bytes(data)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, created if missing."""
        self._files.setdefault(name, bytearray()).extend(data)

    def sync(self, name: str) -> None:
        """Do nothing: files in memory are always in sync."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file."""
        self._files[name] = bytearray(data)

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to a size in bytes."""
        del self._files[name][size:]

    def remove(self, name: str) -> None:
        """Delete a file if it exists."""
        self._files.pop(name, None)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._files)


def make_settings(
    name: str,
    limits: settings.Control | None = None,
) -> settings.Settings:
    """Return settings of a control VM."""
    return settings.Settings(
        name=name,
        address="127.0.0.1",
        data_centre="west-1",
        region="west",
        cluster_key="00" * 32,
        data_folder="",
        seeds=(),
        control=True,
        limits=limits or settings.Control(),
    )


class Cluster:
    """Consensus nodes on a network with a fixed delay."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int,
        limits: settings.Control | None = None,
    ) -> None:
        """Start all VMs with empty disks and different random seeds."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.cut_links: set[tuple[str, str]] = set()
        self.decided_at: dict[str, float] = {}
        self.bytes_sent = dict.fromkeys(names, 0)
        self.bytes_received = dict.fromkeys(names, 0)
        self._queue: list[tuple[float, int, str, bytes]] = []
        self._sequence = 0
        self.nodes = {
            name: agreement.Agreement(
                make_settings(name, limits),
                name,
                names,
                MemoryDisk(),
                CountingStateMachine(),
                recorder.MemoryRecorder(),
                self.rng.getrandbits(32),
            )
            for name in names
        }

    @property
    def leader(self) -> str | None:
        """Return the leader with a read lease, None if there is none."""
        for name, node in self.nodes.items():
            if node.may_read(self.now):
                return name
        return None

    def elect(self) -> str:
        """Run until a leader has a read lease, and return its name."""
        self.run_until(lambda: self.leader is not None)
        return self.leader

    def stop(self, name: str) -> None:
        """Crash a VM."""
        del self.nodes[name]

    def isolate(self, name: str) -> None:
        """Cut all links of a VM, both ways."""
        for other in self.nodes:
            self.cut_links |= {(name, other), (other, name)}

    def propose(self, name: str, token: str, command: object) -> None:
        """Propose a command at a VM."""
        self.perform(name, self.nodes[name].propose(token, command, self.now))

    def perform(self, name: str, actions_: list[actions.Action]) -> None:
        """Perform the actions of a node: send messages, record decisions."""
        for action in actions_:
            if isinstance(action, actions.ProposalResult):
                self.decided_at[action.token] = self.now
                continue
            frame = wire.encode(KEY, name, action.msg)
            self.bytes_sent[name] += len(frame) + peer_datagrams.OVERHEAD_BYTES
            self._sequence += 1
            item = (
                self.now + ONE_WAY_DELAY_S,
                self._sequence,
                action.peer,
                frame,
            )
            heapq.heappush(self._queue, item)

    def step(self) -> None:
        """Advance the clock by one tick."""
        end = self.now + TICK_S
        while self._queue and self._queue[0][0] <= end:
            due_at, _, peer, frame = heapq.heappop(self._queue)
            self.now = max(self.now, due_at)
            self._deliver(peer, frame)
        self.now = end
        for name, node in self.nodes.items():
            self.perform(name, node.tick(self.now))

    def _deliver(self, peer: str, frame: bytes) -> None:
        sender, msg = wire.decode(KEY, frame)
        if (sender, peer) in self.cut_links or peer not in self.nodes:
            return
        self.bytes_received[peer] += len(frame) + peer_datagrams.OVERHEAD_BYTES
        self.perform(peer, self.nodes[peer].handle(sender, msg, self.now))

    def run(self, seconds: float) -> None:
        """Advance the clock, tick by tick."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def run_until(self, condition, seconds: float = 60.0) -> None:
        """Advance the clock until a condition holds.

        :raises AssertionError: when it does not hold in time
        """
        end = self.now + seconds
        while not condition():
            if self.now > end:
                raise AssertionError(
                    f"condition not met within {seconds} virtual seconds"
                )
            self.step()
