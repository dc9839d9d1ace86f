"""Client of the feed: an entry VM polls control VMs for changes."""

import attrs

from ebonytally import actions
from ebonytally.configuration import model
from ebonytally import events
from ebonytally.feed import change_fetch
from ebonytally.feed import changes
from ebonytally.feed import messages
from ebonytally.feed import silences
from ebonytally import recorder as recorders
from ebonytally.registry import registry as registries

# A drained upstream, a change or an evacuation must be known here within
# seconds, even if one datagram is lost.
POLL_INTERVAL_S = 0.3
# The control VMs other than the primary are polled in turn.
OTHER_POLL_INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 0.25
# An entry VM without a complete view polls all control VMs this often, so
# that after a restart of all VMs it serves once one control VM is back.
JOIN_POLL_INTERVAL_S = 0.05
# After so many unanswered polls of a control VM the interval is doubled for
# each further one, so that many entry VMs don't keep a control VM busy.
JOIN_POLLS = 10
MAX_JOIN_INTERVAL_S = 0.4
# Without a newer answer the view may be outdated: nothing is refused for an
# entry that it lacks.
MAX_VIEW_AGE_S = 1.2
# A control VM that hasn't answered for a whole round of polls and this time
# is not heard.
SILENCE_MARGIN_S = 1.0
RTT_SMOOTHING = 0.3
# Another control VM's RTT must be lower by this much to become the primary.
SWITCH_RTT_MARGIN_S = 0.0008
UNKNOWN_RTT_S = 1.0


@attrs.define
class _ControlVm:
    """State of a followed control VM.

    :param start: start number of its process, 0 if unknown
    :param revision: revision of its registry up to which all is known
    :param stops_revision: revision up to which all is known except for
        upstreams that are ready
    :param poll_number: number of the last poll
    :param answered_number: number of the last poll that was answered
    :param unanswered: number of polls since the last answer
    :param unanswered_since: time of the first poll since the last answer
    :param in_touch: it follows a leader, or is one
    :param is_complete: it has sent all of its registry at least once
    :param rtt_s: smoothed round-trip time of a poll
    """

    start: int = 0
    revision: int = 0
    stops_revision: int = 0
    poll_number: int = 0
    answered_number: int = 0
    unanswered: int = 0
    polled_at: float = -1e9
    answered_at: float = -1e9
    unanswered_since: float | None = None
    rtt_s: float = UNKNOWN_RTT_S
    in_touch: bool = False
    is_complete: bool = False

    def is_overdue(self, now: float) -> bool:
        """Return whether an answer has been missing for too long."""
        since = self.unanswered_since
        return since is not None and now - since > ANSWER_TIMEOUT_S

    def is_join_poll_due(self, now: float) -> bool:
        """Return whether an entry VM without a view should poll it again."""
        interval_s = POLL_INTERVAL_S
        if self.unanswered:
            doublings = max(0, self.unanswered - JOIN_POLLS)
            interval_s = min(
                JOIN_POLL_INTERVAL_S * 2**doublings, MAX_JOIN_INTERVAL_S
            )
        return now - self.polled_at >= interval_s


@attrs.frozen
class View:
    """Followed state of the control VMs, except for the registry.

    :param version: version of the configuration, 0 for none
    :param out: data centres taken out of service
    :param out_revision: revision of `out`
    :param entry_vms: approximate number of entry VMs
    """

    version: int = 0
    content: model.Content = changes.EMPTY
    out: frozenset[str] = frozenset()
    out_revision: int = 0
    entry_vms: int = 1


class Follower:
    """Follows the nearest control VM and polls the others as a check."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        registry: registries.Registry,
        recorder: recorders.Recorder,
    ) -> None:
        """Set up with the control VMs in the settings.

        :param seeds: names of those control VMs
        """
        self.view = View()
        self._registry = registry
        self._recorder = recorder
        self._control_vms = {name: _ControlVm() for name in seeds}
        self._seeds = seeds
        self._primary = ""
        # The control VM that sends its whole registry, "" for none.
        self._records_from = ""
        self._other_index = 0
        self._others_polled_at = 0.0
        self._polls_sent = 0
        self._fetch: change_fetch.ChangeFetch | None = None
        self._newest_version = 0
        self._silences = silences.Silences(registry, self)

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds by those of changed settings."""
        self._seeds = seeds
        for name in seeds:
            self._control_vms.setdefault(name, _ControlVm())

    @property
    def primary(self) -> str:
        """Return the name of the mainly followed control VM, "" for none."""
        return self._primary

    def is_complete(self) -> bool:
        """Return whether the view is complete enough to serve callers.

        It has a configuration and the whole registry of a control VM.
        """
        if not self.view.version:
            return False
        return any(
            control_vm.is_complete for control_vm in self._control_vms.values()
        )

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is up to date as far as is known.

        A control VM in touch with a leader has answered recently, and the
        newest configuration that any control VM reported is in force.
        """
        if not self.view.version or self.view.version < self._newest_version:
            return False
        return any(
            control_vm.in_touch
            and control_vm.is_complete
            and now - control_vm.answered_at < MAX_VIEW_AGE_S
            for control_vm in self._control_vms.values()
        )

    def is_heard(self, name: str, now: float) -> bool:
        """Return whether a control VM has answered within a round of polls."""
        control_vm = self._control_vms.get(name)
        if control_vm is None or control_vm.is_overdue(now):
            return False
        round_s = OTHER_POLL_INTERVAL_S * len(self._control_vms)
        return now - control_vm.answered_at <= round_s + SILENCE_MARGIN_S

    def is_in_touch(self, name: str) -> bool:
        """Return whether a control VM follows a leader, or is one."""
        control_vm = self._control_vms.get(name)
        return control_vm is not None and control_vm.in_touch

    def start_of(self, name: str) -> int:
        """Return the start number of a control VM's process, 0 if unknown."""
        control_vm = self._control_vms.get(name)
        return control_vm.start if control_vm is not None else 0

    def tick(self, now: float) -> list[actions.Action]:
        """Choose the primary if needed; return the polls that are due."""
        out: list[actions.Action] = []
        if not self._primary or self._must_replace(self._primary, now):
            self._choose_primary(now)
            if not self.is_complete():
                for name, control_vm in self._control_vms.items():
                    if control_vm.is_join_poll_due(now):
                        out.append(self._poll(name, now))
        primary = self._control_vms.get(self._primary)
        if primary is not None and now - primary.polled_at >= POLL_INTERVAL_S:
            out.append(self._poll(self._primary, now))
        if now - self._others_polled_at >= OTHER_POLL_INTERVAL_S:
            self._others_polled_at = now
            out += self._poll_next_other(now)
        doubtful = self._silences.tick(now)
        if doubtful and not self._must_replace(self._primary, now):
            wanted = messages.RecordsWanted(doubtful)
            out.append(actions.Send(self._primary, wanted))
        if self._fetch is not None:
            if self._fetch.is_abandoned(now):
                self._fetch = None
            else:
                out += self._fetch.requests(now)
        return out

    def poll_now(self, now: float) -> list[actions.Action]:
        """Poll the primary early, as a packet needs an unknown entry.

        Nothing is sent if the primary has been polled very recently.
        """
        primary = self._control_vms.get(self._primary)
        if primary is None or now - primary.polled_at < ANSWER_TIMEOUT_S / 2:
            return []
        return [self._poll(self._primary, now)]

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message from a control VM."""
        if isinstance(msg, messages.Update):
            return self._handle_update(peer, msg, now)
        if isinstance(msg, messages.Part):
            return self._handle_part(peer, msg, now)
        if isinstance(msg, messages.Records) and peer in self._control_vms:
            for record in msg.records:
                self._silences.merge(peer, record, now)
            return []
        if isinstance(msg, messages.Started):
            return self._handle_started(peer, now)
        return []

    def _handle_started(self, peer: str, now: float) -> list[actions.Action]:
        """Poll a control VM that has started if the view is incomplete."""
        self._control_vms.setdefault(peer, _ControlVm())
        if self.is_complete():
            return []
        return [self._poll(peer, now)]

    def _handle_update(
        self,
        peer: str,
        msg: messages.Update,
        now: float,
    ) -> list[actions.Action]:
        control_vm = self._control_vms.get(peer)
        if control_vm is None or not (
            control_vm.answered_number
            < msg.poll_number
            <= control_vm.poll_number
        ):
            return []
        self._record_answer(peer, control_vm, msg, now)
        self._newest_version = max(self._newest_version, msg.version)
        for record in msg.records:
            self._silences.merge(peer, record, now)
        self._apply_evacuations(peer, msg)
        if peer == self._primary or not self.is_complete():
            self._set_control_vms(msg.control_vms)
        out: list[actions.Action] = []
        if self._may_continue(peer, msg.more, now):
            out.append(self._poll(peer, now))
        if msg.version > self.view.version and self._fetch is None:
            out += self._request_change(peer, msg.version, now)
        return out

    def _record_answer(
        self,
        peer: str,
        control_vm: _ControlVm,
        msg: messages.Update,
        now: float,
    ) -> None:
        if msg.poll_number == control_vm.poll_number:
            self._measure_rtt(control_vm, now)
            control_vm.unanswered = 0
            control_vm.unanswered_since = None
        control_vm.answered_number = msg.poll_number
        control_vm.answered_at = now
        if (
            control_vm.in_touch != msg.in_touch
            or control_vm.start != msg.start
        ):
            self._recorder.log_event(
                events.Event.CONTROL_VM_ANSWERS,
                peer=peer,
                in_touch=msg.in_touch,
                start=msg.start,
                was_start=control_vm.start,
                primary=self._primary,
            )
        control_vm.in_touch = msg.in_touch
        if control_vm.start != msg.start:
            # Revisions of another process say nothing about this one's.
            control_vm.revision = 0
        control_vm.start = msg.start
        control_vm.stops_revision = msg.revision
        if not msg.partial:
            control_vm.revision = msg.revision
        control_vm.is_complete = control_vm.is_complete or not msg.more
        self.view = attrs.evolve(
            self.view,
            entry_vms=max(1, msg.entry_vms),
        )

    def _may_continue(self, peer: str, more: bool, now: float) -> bool:
        """Return whether to ask a control VM for the rest of its records.

        Until the view is complete only one is asked for all of them: the
        registries of the others are equal, or nearly so.
        """
        source = self._control_vms.get(self._records_from)
        if source is None or source.is_overdue(now):
            self._records_from = peer
        if not more:
            if peer == self._records_from:
                self._records_from = ""
            return False
        return peer == self._records_from or self.is_complete()

    def _measure_rtt(self, control_vm: _ControlVm, now: float) -> None:
        took_s = now - control_vm.polled_at
        if control_vm.rtt_s >= UNKNOWN_RTT_S:
            control_vm.rtt_s = took_s
        else:
            control_vm.rtt_s += RTT_SMOOTHING * (took_s - control_vm.rtt_s)

    def _apply_evacuations(self, peer: str, msg: messages.Update) -> None:
        if msg.out is None or msg.out_revision <= self.view.out_revision:
            return
        self.view = attrs.evolve(
            self.view,
            out=frozenset(msg.out),
            out_revision=msg.out_revision,
        )
        self._recorder.log_event(
            events.Event.DATA_CENTRES_OUT,
            peer=peer,
            out=list(msg.out),
            revision=msg.out_revision,
        )

    def _set_control_vms(self, control_vms: tuple[str, ...]) -> None:
        wanted = {*control_vms, *self._seeds}
        for name in wanted - self._control_vms.keys():
            self._control_vms[name] = _ControlVm()
        for name in self._control_vms.keys() - wanted:
            del self._control_vms[name]

    def _must_replace(self, name: str, now: float) -> bool:
        control_vm = self._control_vms.get(name)
        return (
            control_vm is None
            or not control_vm.in_touch
            or control_vm.is_overdue(now)
        )

    def _choose_primary(self, now: float) -> None:
        """Make the best control VM the primary.

        Those that answer and are in touch with a leader are preferred,
        then those with the lowest round-trip time.
        """
        if not self._control_vms:
            return

        def sort_key(name: str) -> tuple[bool, bool, float, str]:
            control_vm = self._control_vms[name]
            return (
                control_vm.is_overdue(now),
                not control_vm.in_touch,
                control_vm.rtt_s,
                name,
            )

        best = min(self._control_vms, key=sort_key)
        if best != self._primary:
            self._recorder.log_event(
                events.Event.CONTROL_VM_CHOSEN,
                peer=best,
                was=self._primary,
                in_touch=self._control_vms[best].in_touch,
                rtt_ms=round(self._control_vms[best].rtt_s * 1000, 2),
            )
            self._primary = best

    def _poll_next_other(self, now: float) -> list[actions.Action]:
        others = sorted(self._control_vms.keys() - {self._primary})
        if not others:
            return []
        self._other_index = (self._other_index + 1) % len(others)
        name = others[self._other_index]
        primary = self._control_vms.get(self._primary)
        other = self._control_vms[name]
        if primary is not None and other.in_touch:
            nearer = other.rtt_s + SWITCH_RTT_MARGIN_S < primary.rtt_s
            if nearer:
                self._choose_primary(now)
        return [self._poll(name, now)]

    def _poll(self, name: str, now: float) -> actions.Action:
        control_vm = self._control_vms[name]
        self._polls_sent += 1
        control_vm.poll_number = self._polls_sent
        control_vm.polled_at = now
        control_vm.unanswered += 1
        if control_vm.unanswered_since is None:
            control_vm.unanswered_since = now
        poll = messages.Poll(
            control_vm.poll_number,
            control_vm.start,
            control_vm.revision,
            self.view.version,
            self.view.out_revision,
            name == self._primary,
            self._registry.digest(),
            self._followed(name, now),
            control_vm.stops_revision,
        )
        return actions.Send(name, poll)

    def _followed(self, polled: str, now: float) -> str:
        """Return the control VM that tells what a polled one may leave out.

        Return "" if the polled one must tell all.
        """
        primary = self._primary
        if polled == primary or not self.is_complete():
            return ""
        return "" if self._must_replace(primary, now) else primary

    def _request_change(
        self,
        peer: str,
        version: int,
        now: float,
    ) -> list[actions.Action]:
        self._fetch = change_fetch.ChangeFetch(
            peer, self.view.version, version, now
        )
        return self._fetch.requests(now)

    def _handle_part(
        self,
        peer: str,
        msg: messages.Part,
        now: float,
    ) -> list[actions.Action]:
        fetch = self._fetch
        if fetch is None or fetch.control_vm != peer:
            return []
        fetch.add(msg, now)
        if not fetch.is_complete():
            return fetch.requests(now)
        self._fetch = None
        self._apply_change(peer, msg, fetch.data())
        return []

    def _apply_change(
        self, peer: str, msg: messages.Part, data: bytes
    ) -> None:
        """Apply a complete change, unless its version is not newer.

        :raises WireError: if the data is not a packed change
        """
        if msg.base not in (0, self.view.version):
            return
        if msg.version <= self.view.version:
            return
        old = self.view.content if msg.base else changes.EMPTY
        content = changes.apply(old, changes.unpack(data))
        was = self.view.version
        self.view = attrs.evolve(
            self.view,
            version=msg.version,
            content=content,
        )
        self._recorder.log_event(
            events.Event.CONFIGURATION_APPLIED,
            version=msg.version,
            was=was,
            base=msg.base,
            peer=peer,
            routes=len(content.routes),
            bytes=len(data),
        )
