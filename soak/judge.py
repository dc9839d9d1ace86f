"""Promises that are checked while the soak runs."""

import collections

import attrs

# A machine counts as in touch, and the control VMs as stable, once
# nothing was done to them for this long (stable-window-ms of the pages).
CALM_S = 4.0
# drain-ms, evacuate-ms and config-apply-ms of the pages.
DRAIN_S = 3.0
OUT_S = 5.0
APPLY_S = 3.0
MAX_FAULTS_KEPT = 40


@attrs.define
class Disturbance:
    """Something done to VMs or upstreams.

    :param until: seconds, infinity while it lasts
    """

    names: frozenset[str]
    until: float = float("inf")


@attrs.define
class Run:
    """A request as its caller sent it.

    :param service: services that its route has ever named
    """

    id: str
    services: frozenset[str]
    idempotent: bool
    runs: int = 0


class Judge:
    """Collects broken promises, each with its time and circumstances."""

    def __init__(self, control: frozenset[str]) -> None:
        """Start with none.

        :param control: names of the control VMs
        """
        self._control = control
        self._disturbances: list[Disturbance] = []
        self._runs: dict[str, Run] = {}
        self.broken: list[str] = []
        self.counts: collections.Counter = collections.Counter()

    # What was done from outside.

    def disturb(self, names: set[str]) -> Disturbance:
        """Note the begin of a fault."""
        found = Disturbance(frozenset(names))
        self._disturbances.append(found)
        return found

    def calm(self, name: str, now: float) -> bool:
        """Return whether a VM or upstream and the core are in touch."""
        concerned = self._control | {name}
        return not any(
            one.names & concerned and now - one.until < CALM_S
            for one in self._disturbances
        )

    def broke(self, now: float, promise: str, detail: str) -> None:
        """Note a broken promise."""
        if len(self.broken) < MAX_FAULTS_KEPT:
            self.broken.append(f"{now:.3f} {promise}: {detail}")

    # Requests.

    def asked(self, run: Run) -> None:
        """Note a request before it is sent."""
        self._runs[run.id] = run
        self.counts["requests"] += 1

    def ran(self, id_: str, service: str, now: float) -> None:
        """Note that an upstream begins a request."""
        run = self._runs.get(id_)
        if run is None:
            self.broke(now, "unasked", id_)
            return
        run.runs += 1
        if service not in run.services:
            self.broke(now, "wrong service", f"{id_} at {service}")
        if run.runs > 1 and not run.idempotent:
            self.broke(now, "ran twice", id_)

    def answered(self, id_: str, body: bytes, now: float) -> None:
        """Note an answer that a caller took for its request's."""
        self.counts["answered"] += 1
        if body.decode(errors="replace").split(" ")[0] != id_:
            self.broke(now, "wrong answer", f"{id_} got {body[:60]!r}")
        if self._runs[id_].runs == 0:
            self.broke(now, "answer without a run", id_)

    # Flows.

    def reset(
        self,
        flow: str,
        upstream: str,
        alive: bool,
        entries: frozenset[str],
        now: float,
    ) -> None:
        """Note a reset of an open flow that its upstream didn't send.

        :param entries: entry VMs that may have sent it
        """
        self.counts["resets of open flows"] += 1
        quiet = all(self.calm(one, now) for one in {upstream, *entries})
        if alive and quiet:
            self.broke(now, "open flow reset", f"{flow} of {upstream}")

    def opened(
        self,
        upstream: str,
        entry: str,
        draining_at: float,
        out_at: float,
        now: float,
    ) -> None:
        """Note a flow that opens at an upstream.

        :param draining_at: its acknowledged draining, infinity for none
        :param out_at: when taking its data centre out was acknowledged
        """
        self.counts["flows"] += 1
        if not self.calm(entry, now):
            return
        if now - draining_at > DRAIN_S + CALM_S:
            self.broke(now, "flow to a leaving upstream", upstream)
        if now - out_at > OUT_S + CALM_S:
            self.broke(now, "flow to a data centre out", upstream)
