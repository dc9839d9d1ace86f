"""Invariants of the system that are checked while the soak runs."""

import collections

import attrs

# A VM counts as reachable, and the control VMs as stable, once no fault
# has affected them for this long (stable-window-ms).
STABLE_AFTER_S = 4.0
# Limits set by drain-ms, evacuate-ms and config-apply-ms.
MAX_DRAIN_S = 3.0
MAX_EVACUATION_S = 5.0
MAX_APPLY_S = 3.0
# A proper order is acknowledged within this time while a majority of the
# control VMs is undisturbed.
MAX_ORDER_S = 8.0
MAX_VIOLATIONS = 40


@attrs.define
class FaultRecord:
    """A fault injected into VMs or upstreams.

    :param names: affected VMs and upstreams
    :param until: end in seconds, infinity while it lasts
    """

    names: frozenset[str]
    until: float = float("inf")


@attrs.define
class RequestRecord:
    """A request of a caller, and how often upstreams executed it.

    :param services: services that its route has ever named
    """

    id: str
    services: frozenset[str]
    idempotent: bool
    executions: int = 0


class Judge:
    """Records violated invariants, each with its time and details."""

    def __init__(self, control: frozenset[str]) -> None:
        """Set up without faults, requests or violations.

        :param control: names of the control VMs
        """
        self._control = control
        self._faults: list[FaultRecord] = []
        self._requests: dict[str, RequestRecord] = {}
        self.violations: list[str] = []
        self.counts: collections.Counter = collections.Counter()

    # Faults.

    def record_fault(self, names: set[str]) -> FaultRecord:
        """Record the start of a fault; the caller sets its end."""
        if any(fault.until == float("inf") for fault in self._faults):
            self.counts["overlapping faults"] += 1
        fault = FaultRecord(frozenset(names))
        self._faults.append(fault)
        return fault

    def is_stable(self, name: str, now: float) -> bool:
        """Return whether no recent fault affects a name or the control VMs."""
        relevant = self._control | {name}
        return not any(
            fault.names & relevant and now - fault.until < STABLE_AFTER_S
            for fault in self._faults
        )

    def is_order_overdue(self, sent_at: float, now: float) -> bool:
        """Return whether an order should have been acknowledged.

        :param sent_at: when it was sent first
        """
        since = now - MAX_ORDER_S
        disturbed = set()
        for fault in self._faults:
            if fault.until > since:
                disturbed |= fault.names & self._control
        has_majority = 2 * len(disturbed) < len(self._control)
        return sent_at < since and has_majority

    def record_violation(
        self, now: float, invariant: str, detail: str
    ) -> None:
        """Record a violated invariant, up to `MAX_VIOLATIONS`."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{now:.3f} {invariant}: {detail}")

    # Requests.

    def on_request_sent(self, record: RequestRecord) -> None:
        """Record a request before its caller sends it."""
        self._requests[record.id] = record
        self.counts["requests"] += 1

    def on_request_started(self, id_: str, service: str, now: float) -> None:
        """Count an execution at an upstream and check that it is allowed."""
        record = self._requests.get(id_)
        if record is None:
            self.record_violation(now, "unasked", id_)
            return
        record.executions += 1
        if service not in record.services:
            self.record_violation(now, "wrong service", f"{id_} at {service}")
        if record.executions > 1 and not record.idempotent:
            self.record_violation(now, "ran twice", id_)

    def on_answer(self, id_: str, body: bytes, now: float) -> None:
        """Check an answer that a caller accepted for its request."""
        self.counts["answered"] += 1
        if body.decode(errors="replace").split(" ")[0] != id_:
            self.record_violation(
                now, "wrong answer", f"{id_} got {body[:60]!r}"
            )
        if self._requests[id_].executions == 0:
            self.record_violation(now, "answer without a run", id_)

    # Flows.

    def on_flow_reset(
        self,
        flow: str,
        upstream: str,
        alive: bool,
        entries: frozenset[str],
        now: float,
    ) -> None:
        """Check a reset of an open flow that an entry VM sent.

        :param alive: whether the flow's upstream runs
        :param entries: entry VMs that may have sent the reset
        """
        self.counts["resets of open flows"] += 1
        stable = all(
            self.is_stable(name, now) for name in {upstream, *entries}
        )
        if alive and stable:
            self.record_violation(
                now, "open flow reset", f"{flow} of {upstream}"
            )

    def on_flow_opened(
        self,
        upstream: str,
        entry: str,
        draining_at: float,
        out_at: float,
        now: float,
    ) -> None:
        """Check that an upstream may still receive a new flow.

        :param draining_at: when its draining was acknowledged, or infinity
        :param out_at: when its data centre's evacuation was acknowledged,
            or infinity
        """
        self.counts["flows"] += 1
        if not self.is_stable(entry, now):
            return
        if now - draining_at > MAX_DRAIN_S + STABLE_AFTER_S:
            self.record_violation(
                now,
                "flow to a leaving upstream",
                f"{upstream}, {now - draining_at:.1f} s after draining, "
                f"allowed {MAX_DRAIN_S + STABLE_AFTER_S:g} s",
            )
        if now - out_at > MAX_EVACUATION_S + STABLE_AFTER_S:
            self.record_violation(
                now,
                "flow to a data centre out",
                f"{upstream}, {now - out_at:.1f} s after evacuation, "
                f"allowed {MAX_EVACUATION_S + STABLE_AFTER_S:g} s",
            )
