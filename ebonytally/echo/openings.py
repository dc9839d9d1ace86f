"""Opening of flows, with retries at other upstreams.

Upstreams answer callers directly, so an entry VM infers an answer from
the caller's next packet, and doesn't see a refusal at all.
"""

import attrs

from ebonytally.configuration import model
from ebonytally.echo import cookies as cookie_lib
from ebonytally.echo import packets
from ebonytally.echo import placing as placings
from ebonytally import events
from ebonytally.load import interfaces
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally.registry import registry as registries

# Twice the longest network delay of a site: an upstream answers an opening
# packet within a few milliseconds, and the caller's next packet follows.
RETRY_AFTER_S = 0.06
MAX_TRIES = 3
# A longer time between two ticks means that this VM was paused: answers may
# wait in its socket, so upstreams weren't silent meanwhile.
MAX_TICK_GAP_S = 0.3
# Callers give up an attempt after 1.4 s.
OPENING_TIMEOUT_S = 1.5
MAX_OPENINGS = 20_000

Offers = list[packets.ToUpstream]


@attrs.define
class _Opening:
    """A flow of which only opening packets were seen.

    :param packet: latest opening packet
    :param tried: upstreams that got an opening packet, in this order
    :param exhausted: no further upstream will be tried
    :param silences_counted: number of `tried` whose silence was counted
    """

    packet: packets.Packet
    service: str
    priority: int
    tried: tuple[str, ...]
    sent_at: float
    began_at: float
    exhausted: bool = False
    silences_counted: int = 0


class Unanswered:
    """Flows whose opening packets so far were all dropped here.

    No upstream has got one of them, so these flows aren't open.
    """

    def __init__(self) -> None:
        """Create an empty set of flows."""
        self._counts: dict[bytes, int] = {}
        self._added_at: dict[bytes, float] = {}

    def count(self, key: bytes) -> int:
        """Return how many opening packets of a flow were dropped."""
        return self._counts.get(key, 0)

    def add(self, key: bytes, copies: int, now: float) -> None:
        """Add a dropped opening packet, if all before it were dropped.

        :param copies: opening packets of the flow sent before this one
        """
        if copies == self.count(key) and len(self._counts) < MAX_OPENINGS:
            self._counts[key] = copies + 1
            self._added_at[key] = now

    def sweep(self, now: float) -> None:
        """Remove flows whose callers have given up."""
        for key, added_at in list(self._added_at.items()):
            if now - added_at > OPENING_TIMEOUT_S:
                del self._counts[key]
                del self._added_at[key]


class Openings:
    """Tries one upstream after another until a flow opens."""

    def __init__(
        self,
        registry: registries.Registry,
        placing: placings.Placing,
        cookies: cookie_lib.Cookies,
        observers: tuple[interfaces.FlowObserver, ...],
        recorder: recorders.Recorder,
        congestion: interfaces.Congestion | None = None,
    ) -> None:
        """Create an empty set of openings.

        :param observers: hear of openings and silences
        :param congestion: tells when this VM's link delays packets; then
            upstreams aren't silent, and nothing is tried elsewhere
        """
        self._registry = registry
        self._placing = placing
        self._cookies = cookies
        self._observers = observers
        self._recorder = recorder
        self._congestion = congestion
        self._openings: dict[bytes, _Opening] = {}
        self._ticked_at = 0.0

    def __contains__(self, key: bytes) -> bool:
        """Return whether a flow is being opened here."""
        return key in self._openings

    def begin(
        self,
        packet: packets.Packet,
        service: str,
        priority: int,
        now: float,
    ) -> Offers:
        """Offer a new flow to an upstream; return [] if there is none.

        :param priority: priority class of the flow's route
        """
        chosen = choose(
            self._placing, self._cookies, service, priority, (), now
        )
        if chosen is None:
            return []
        if self._placing.is_elsewhere(chosen):
            self._recorder.count("flows_sent_elsewhere")
        if len(self._openings) < MAX_OPENINGS:
            self._openings[packet.key] = _Opening(
                packet,
                service,
                priority,
                (chosen.id,),
                now,
                now,
            )
            self._placing.load(chosen.id).opening += 1
        return [_to_upstream(chosen, packet)]

    def on_retransmission(self, packet: packets.Packet, now: float) -> Offers:
        """Handle a retransmitted opening packet: its caller still waits."""
        opening = self._openings[packet.key]
        opening.packet = packet
        if now - self._ticked_at > MAX_TICK_GAP_S or self._is_congested(now):
            return self._resend(opening, opening.tried[-1])
        return self._try_next(opening, "copy", now)

    def on_routes(self, routes: dict[bytes, model.Route]) -> None:
        """Move openings whose service has lost its weight to another one.

        Retries of an opening whose route was removed end.

        :param routes: routes of the configuration in force, by address and
            port as in `Packet.service_address`
        """
        for opening in self._openings.values():
            route = routes.get(opening.packet.service_address)
            targets = route.targets if route is not None else ()
            if any(
                target.weight and target.service == opening.service
                for target in targets
            ):
                continue
            opening.service = (
                self._placing.service_of(route) if route is not None else ""
            )
            opening.exhausted = False

    def on_opened(self, key: bytes, id_: str, now: float) -> None:
        """End an opening, as the flow has opened at an upstream."""
        opening = self._openings.get(key)
        if opening is None:
            return
        self._remove(key, opening)
        self._placing.load(id_).on_opened(now)
        took_s = now - opening.began_at
        self._recorder.record_duration("flow_opening", took_s)
        for observer in self._observers:
            observer.on_opened(id_, took_s, now)

    def tick(self, now: float) -> Offers:
        """Retry openings whose upstream hasn't answered; drop old ones."""
        out: Offers = []
        paused_s = now - self._ticked_at
        self._ticked_at = now
        is_late = paused_s > MAX_TICK_GAP_S or self._is_congested(now)
        for key, opening in list(self._openings.items()):
            if is_late:
                opening.sent_at = now
            if now - opening.began_at > OPENING_TIMEOUT_S:
                self._remove(key, opening)
            elif (
                not opening.exhausted
                and now - opening.sent_at >= RETRY_AFTER_S
            ):
                out += self._try_next(opening, "silent", now)
        return out

    def _is_congested(self, now: float) -> bool:
        """Return whether answers may wait at this VM's link."""
        return self._congestion is not None and self._congestion.is_congested(
            now
        )

    def _try_next(self, opening: _Opening, trigger: str, now: float) -> Offers:
        """Offer a flow to another upstream after a silence.

        The caller takes the first answer. A retransmission goes to the
        last upstream if there is no other.
        """
        silent_s = now - opening.sent_at
        if silent_s < RETRY_AFTER_S:
            return []
        opening.sent_at = now
        last = opening.tried[-1]
        is_backed_off = self._count_silence(opening, trigger, now)
        chosen = None
        if not opening.exhausted:
            chosen = choose(
                self._placing,
                self._cookies,
                opening.service,
                opening.priority,
                opening.tried,
                now,
            )
        self._recorder.log_event(
            events.Event.UPSTREAM_SILENT,
            flow=opening.packet.key.hex(),
            why=trigger,
            upstream=last,
            silent_ms=round(silent_s * 1000),
            rests=is_backed_off,
            next=chosen.id if chosen else "",
            tries=len(opening.tried),
        )
        if chosen is None:
            opening.exhausted = True
            return self._resend(opening, last) if trigger == "copy" else []
        opening.tried += (chosen.id,)
        opening.exhausted = len(opening.tried) >= MAX_TRIES
        self._placing.load(chosen.id).opening += 1
        self._recorder.count("flows_tried_again")
        return [_to_upstream(chosen, opening.packet)]

    def _resend(self, opening: _Opening, id_: str) -> Offers:
        """Send the latest opening packet to the same upstream again.

        Nothing is sent if the opening's service is no longer that of the
        upstream.
        """
        entry = self._registry.get(id_)
        if entry is None or entry.record.service != opening.service:
            return []
        return [_to_upstream(entry.record, opening.packet)]

    def _count_silence(
        self, opening: _Opening, trigger: str, now: float
    ) -> bool:
        """Count a silence at upstreams; return whether one backs off.

        A caller that was refused by its first upstream is gone, so no
        further one gets an answer from it; only a retransmission shows
        that the caller still waits.
        """
        last = len(opening.tried) if trigger == "copy" else 1
        counted = opening.tried[opening.silences_counted : last]
        opening.silences_counted = max(opening.silences_counted, last)
        backed_off = [
            self._placing.load(id_).on_silence(now) for id_ in counted
        ]
        for observer in self._observers:
            for id_ in counted:
                observer.on_silence(id_, now)
        return any(backed_off)

    def _remove(self, key: bytes, opening: _Opening) -> None:
        del self._openings[key]
        for id_ in opening.tried:
            self._placing.load(id_).opening -= 1


def choose(
    placing: placings.Placing,
    cookies: cookie_lib.Cookies,
    service: str,
    priority: int,
    tried: tuple[str, ...],
    now: float,
) -> records.Record | None:
    """Return an upstream, the next best if another one has its cookie."""
    chosen = placing.choose(service, priority, tried, now)
    if chosen is None:
        return None
    if not cookies.has_own_cookie(chosen):
        tried = (*tried, chosen.id)
        return placing.choose(service, priority, tried, now)
    return chosen


def _to_upstream(
    record: records.Record,
    packet: packets.Packet,
) -> packets.ToUpstream:
    return packets.ToUpstream(
        record.id,
        record.address,
        record.port,
        cookie_lib.cookie_of(record),
        packet,
    )
