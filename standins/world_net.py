"""Messages between entry VMs under virtual time, with faults."""

from collections.abc import Callable
import random

import attrs

from ebonytally import wire

KEY = bytes(range(32))


@attrs.define
class Faults:
    """What goes wrong with messages at the moment.

    :param drop: share of messages that are lost, 0 to 1
    :param duplicate: share of messages that come twice
    :param extra_s: up to this much is added to each delay, seconds
    """

    drop: float = 0.0
    duplicate: float = 0.0
    extra_s: float = 0.0


class Net:
    """Carries frames between VMs; cuts are between data centres."""

    def __init__(
        self,
        centre_of: dict[str, str],
        delay_s: float,
        seed: int,
        later: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """Schedule deliveries with `later(delay, call)`."""
        self.faults = Faults()
        self.bytes_sent: dict[str, int] = {}
        self._centre_of = centre_of
        self._delay_s = delay_s
        self._random = random.Random(seed)
        self._later = later
        self._cut: set[tuple[str, str]] = set()
        self._slow: dict[str, float] = {}

    def send(
        self,
        src: str,
        dst: str,
        msg: object,
        deliver: Callable[[str, str, object], None],
    ) -> None:
        """Encode a message and deliver it later, or not."""
        frame = wire.encode(KEY, src, msg)
        sent = self.bytes_sent.get(src, 0)
        self.bytes_sent[src] = sent + len(frame)
        copies = 1 + (self._random.random() < self.faults.duplicate)
        for _ in range(copies):
            if self._random.random() < self.faults.drop:
                continue
            self._later(
                self._delay(src, dst),
                lambda: self._arrive(src, dst, frame, deliver),
            )

    def _delay(self, src: str, dst: str) -> float:
        delay = self._delay_s * self._random.uniform(0.8, 1.2)
        delay += self.faults.extra_s * self._random.random()
        delay += self._slow.get(src, 0.0) + self._slow.get(dst, 0.0)
        return delay

    def _arrive(
        self,
        src: str,
        dst: str,
        frame: bytes,
        deliver: Callable[[str, str, object], None],
    ) -> None:
        if not self.reachable(src, dst):
            return
        sender, msg = wire.decode(KEY, frame)
        deliver(sender, dst, msg)

    def reachable(self, src: str, dst: str) -> bool:
        """Return whether a message gets from one VM to another."""
        return self.joined(self._centre_of[src], self._centre_of[dst])

    def joined(self, centre: str, other: str) -> bool:
        """Return whether a data centre reaches another."""
        return centre == other or (centre, other) not in self._cut

    def cut(self, centre: str, other: str, both: bool) -> None:
        """Cut one data centre's messages to another."""
        self._cut.add((centre, other))
        if both:
            self._cut.add((other, centre))

    def heal(self) -> None:
        """Join everything again."""
        self._cut.clear()

    def slow(self, name: str, seconds: float) -> None:
        """Add a delay to all messages of a VM; 0 for none."""
        self._slow[name] = seconds
