"""Fake network between entry VMs under virtual time, with faults."""

from collections.abc import Callable
import random

import attrs

from ebonytally import wire

KEY = bytes(range(32))


@attrs.define
class Faults:
    """Faults that messages are subject to now.

    :param drop: share of messages that are lost, 0 to 1
    :param duplicate: share of messages that are sent twice, 0 to 1
    :param extra_s: upper bound of a random extra delay, seconds
    """

    drop: float = 0.0
    duplicate: float = 0.0
    extra_s: float = 0.0


class Net:
    """Carries frames between VMs; partitions are between data centres."""

    def __init__(
        self,
        centre_of: dict[str, str],
        delay_s: float,
        seed: int,
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """Set up a network without faults.

        :param centre_of: data centre of each VM by name
        :param delay_s: mean one-way delay, seconds
        :param schedule: schedules a call after a delay in seconds
        """
        self.faults = Faults()
        self.bytes_sent: dict[str, int] = {}
        self._centre_of = centre_of
        self._delay_s = delay_s
        self._random = random.Random(seed)
        self._schedule = schedule
        self._cut: set[tuple[str, str]] = set()
        self._extra_delay: dict[str, float] = {}

    def send(
        self,
        src: str,
        dst: str,
        msg: object,
        deliver: Callable[[str, str, object], None],
    ) -> None:
        """Encode a message and schedule its delivery, subject to faults."""
        frame = wire.encode(KEY, src, msg)
        sent = self.bytes_sent.get(src, 0)
        self.bytes_sent[src] = sent + len(frame)
        copies = 1 + (self._random.random() < self.faults.duplicate)
        for _ in range(copies):
            if self._random.random() < self.faults.drop:
                continue
            self._schedule(
                self._delay(src, dst),
                lambda: self._deliver_frame(src, dst, frame, deliver),
            )

    def _delay(self, src: str, dst: str) -> float:
        delay = self._delay_s * self._random.uniform(0.8, 1.2)
        delay += self.faults.extra_s * self._random.random()
        delay += self._extra_delay.get(src, 0.0) + self._extra_delay.get(
            dst, 0.0
        )
        return delay

    def _deliver_frame(
        self,
        src: str,
        dst: str,
        frame: bytes,
        deliver: Callable[[str, str, object], None],
    ) -> None:
        if not self.is_reachable(src, dst):
            return
        sender, msg = wire.decode(KEY, frame)
        deliver(sender, dst, msg)

    def is_reachable(self, src: str, dst: str) -> bool:
        """Return whether messages from one VM reach another."""
        return self.is_connected(self._centre_of[src], self._centre_of[dst])

    def is_connected(self, centre: str, other: str) -> bool:
        """Return whether messages from a data centre reach another."""
        return centre == other or (centre, other) not in self._cut

    def cut(self, centre: str, other: str, both: bool) -> None:
        """Drop the messages from one data centre to another.

        :param both: drop those of the other direction, too
        """
        self._cut.add((centre, other))
        if both:
            self._cut.add((other, centre))

    def heal(self) -> None:
        """End all partitions."""
        self._cut.clear()

    def set_delay(self, name: str, seconds: float) -> None:
        """Add a delay to all messages from and to a VM; 0 ends it."""
        self._extra_delay[name] = seconds
