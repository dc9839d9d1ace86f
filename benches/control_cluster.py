"""Control VMs in virtual time, for measurements."""

import heapq
import random

from ebonytally import actions
from ebonytally.agreement import agreement
from ebonytally import commands
from ebonytally import recorder
from ebonytally import settings
from ebonytally import view
from ebonytally import wire

DELAY_S = 0.0015
TICK_S = 0.01
DATAGRAM_BYTES = 28
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


class CountingMachine:
    """A state machine that costs next to nothing."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.count = 0

    def apply(self, command: object) -> object:
        """Count a command."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Return the count, with the bulk of a real view."""
        return b"%020d" % self.count + bytes(random.Random(1).randbytes(8000))

    def restore(self, data: bytes) -> None:
        """Take the count back."""
        self.count = int(data[:20])


class MemoryDisk:
    """Files in memory; writing takes no time and never fails."""

    def __init__(self) -> None:
        """Start empty."""
        self._files: dict[str, bytearray] = {}

    def read(self, name: str) -> bytes | None:
        """Return the whole file, None when there is none."""
        data = self._files.get(name)
        return None if data is None else bytes(data)

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file."""
        self._files.setdefault(name, bytearray()).extend(data)

    def sync(self, name: str) -> None:
        """Do nothing."""

    def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place."""
        self._files[name] = bytearray(data)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        del self._files[name][size:]

    def remove(self, name: str) -> None:
        """Delete a file if it is there."""
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
    """Agreement objects joined by a network that only delays."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int,
        limits: settings.Control | None = None,
    ) -> None:
        """Start all VMs with empty disks, at slightly other times."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.decided: dict[str, float] = {}
        self.bytes_sent = dict.fromkeys(names, 0)
        self.bytes_got = dict.fromkeys(names, 0)
        self._queue: list[tuple[float, int, str, bytes]] = []
        self._count = 0
        self.nodes = {
            name: agreement.Agreement(
                make_settings(name, limits),
                name,
                names,
                MemoryDisk(),
                CountingMachine(),
                recorder.MemoryRecorder(),
                self.rng.getrandbits(32),
            )
            for name in names
        }

    @property
    def leader(self) -> str | None:
        """Return the leader that may read, None for none."""
        for name, node in self.nodes.items():
            if node.may_read(self.now):
                return name
        return None

    def elect(self) -> str:
        """Run until there is a leader that may read."""
        self.run_until(lambda: self.leader is not None)
        return self.leader

    def stop(self, name: str) -> None:
        """Stop a VM without notice."""
        del self.nodes[name]

    def isolate(self, name: str) -> None:
        """Cut a VM off from all others."""
        for other in self.nodes:
            self.cuts |= {(name, other), (other, name)}

    def propose(self, name: str, token: str, command: object) -> None:
        """Propose a command at a VM."""
        self.do(name, self.nodes[name].propose(token, command, self.now))

    def do(self, name: str, acts: list[actions.Action]) -> None:
        """Carry actions out."""
        for act in acts:
            if isinstance(act, actions.Decided):
                self.decided[act.token] = self.now
                continue
            frame = wire.encode(KEY, name, act.msg)
            self.bytes_sent[name] += len(frame) + DATAGRAM_BYTES
            self._count += 1
            item = (self.now + DELAY_S, self._count, act.peer, frame)
            heapq.heappush(self._queue, item)

    def step(self) -> None:
        """Let one tick pass."""
        end = self.now + TICK_S
        while self._queue and self._queue[0][0] <= end:
            due, _, peer, frame = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            self._deliver(peer, frame)
        self.now = end
        for name, node in self.nodes.items():
            self.do(name, node.tick(self.now))

    def _deliver(self, peer: str, frame: bytes) -> None:
        sender, msg = wire.decode(KEY, frame)
        if (sender, peer) in self.cuts or peer not in self.nodes:
            return
        self.bytes_got[peer] += len(frame) + DATAGRAM_BYTES
        self.do(peer, self.nodes[peer].handle(sender, msg, self.now))

    def run(self, seconds: float) -> None:
        """Let some seconds pass."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def run_until(self, holds, seconds: float = 60.0) -> None:
        """Let time pass until something holds."""
        end = self.now + seconds
        while not holds():
            if self.now > end:
                raise AssertionError("did not come about in time")
            self.step()
