"""Passes packets of callers to the upstreams of their flows.

The opening packet gets a cookie that names its upstream. The flow's two
ends bring it back in each packet, so any entry VM finds the upstream
without state of its own. What is kept here for each flow tells load only
and may be lost.
"""

import socket
import struct

import attrs

from ebonytally.configuration import model
from ebonytally.echo import cookies
from ebonytally.echo import packets
from ebonytally.echo import placing as placings
from ebonytally.echo import tracking
from ebonytally import events
from ebonytally.feed import follower as followers
from ebonytally import recorder as recorders
from ebonytally.register import records
from ebonytally.register import register as registers

# An upstream answers an opening packet within a few milliseconds and the
# caller's next packet follows; twice the longest way at the sites.
SILENT_S = 0.06
MAX_TRIES = 3
# A caller gives an attempt up after 1.4 s.
OPENING_S = 1.5
SWEEP_S = 1.0
MAX_OPENINGS = 20_000

Out = list[packets.ToUpstream | packets.Reset]
_PORT = struct.Struct(">H")


@attrs.define
class _Opening:
    """A flow of which only opening packets were seen.

    :param exhausted: no further upstream is to be asked
    :param blamed: how many of those tried the silence counts against
    """

    packet: packets.Packet
    service: str
    tried: tuple[str, ...]
    sent_at: float
    began_at: float
    exhausted: bool = False
    blamed: int = 0


class Forwarder:
    """Decides on each packet."""

    def __init__(
        self,
        register: registers.Register,
        follower: followers.Follower,
        placing: placings.Placing,
        recorder: recorders.Recorder,
    ) -> None:
        """Start without flows."""
        self._register = register
        self._follower = follower
        self._placing = placing
        self._recorder = recorder
        self._cookies = cookies.Cookies(register, recorder)
        self._tracking = tracking.Tracking(placing, recorder)
        self._version = 0
        self._routes: dict[bytes, model.Route] = {}
        self._openings: dict[bytes, _Opening] = {}
        self._swept_at = 0.0
        self.lacks = False

    def changed(self) -> None:
        """Take what the follower and the register have learned."""
        self._cookies.learn()
        if self._version != self._follower.view.version:
            self._version = self._follower.view.version
            self._routes = {
                place_of(route): route
                for route in self._follower.view.content.routes
            }

    def packet(self, packet: packets.Packet, now: float) -> Out:
        """Decide on a packet."""
        route = self._routes.get(packet.place)
        if route is None:
            return self._no_route(packet, now)
        if packet.opening:
            return self._open(packet, route, now)
        entry = self._cookies.entry(packet.cookie)
        if entry is None:
            return self._unknown(packet)
        record = entry.record
        if record.state == records.State.GONE:
            return self._over(packet, record)
        self._opened(packet.key, record.id, now)
        self._tracking.note(packet, record.id, now)
        return [
            packets.ToUpstream(
                record.id,
                record.address,
                record.port,
                None,
                packet,
            )
        ]

    def tick(self, now: float) -> Out:
        """Try another upstream where one was silent."""
        out: Out = []
        for key, opening in list(self._openings.items()):
            if now - opening.began_at > OPENING_S:
                self._given_up(key, opening)
            elif not opening.exhausted and now - opening.sent_at >= SILENT_S:
                out += self._again(opening, "silent", now)
        if now - self._swept_at >= SWEEP_S:
            self._swept_at = now
            idle_s = self._follower.view.content.idle_timeout_s
            self._tracking.sweep(idle_s, now)
            self._cookies.sweep()
            self._placing.sweep()
        return out

    # Opening.

    def _open(
        self,
        packet: packets.Packet,
        route: model.Route,
        now: float,
    ) -> Out:
        opening = self._openings.get(packet.key)
        if opening is not None:
            opening.packet = packet
            return self._again(opening, "copy", now)
        self._recorder.counted("flows_opening")
        service = self._placing.service_of(route)
        chosen = self._choose(service, (), now)
        if chosen is None:
            return self._no_upstream(packet, service, now)
        if len(self._openings) < MAX_OPENINGS:
            self._openings[packet.key] = _Opening(
                packet,
                service,
                (chosen.id,),
                now,
                now,
            )
            self._placing.load(chosen.id).opening += 1
        return [_opened(chosen, packet)]

    def _again(self, opening: _Opening, why: str, now: float) -> Out:
        """Ask another upstream; the caller takes the first answer."""
        last = opening.tried[-1]
        if now - opening.sent_at < SILENT_S:
            return []
        silent_s = now - opening.sent_at
        opening.sent_at = now
        rests = self._blame(opening, why, now)
        chosen = None
        if not opening.exhausted:
            chosen = self._choose(opening.service, opening.tried, now)
        self._recorder.event(
            events.Event.UPSTREAM_SILENT,
            flow=opening.packet.key.hex(),
            why=why,
            upstream=last,
            silent_ms=round(silent_s * 1000),
            rests=rests,
            next=chosen.id if chosen else "",
            tries=len(opening.tried),
        )
        if chosen is None:
            opening.exhausted = True
            entry = self._register.get(last)
            if why != "copy" or entry is None:
                return []
            return [_opened(entry.record, opening.packet)]
        opening.tried += (chosen.id,)
        opening.exhausted = len(opening.tried) >= MAX_TRIES
        self._placing.load(chosen.id).opening += 1
        self._recorder.counted("flows_tried_again")
        return [_opened(chosen, opening.packet)]

    def _blame(self, opening: _Opening, why: str, now: float) -> bool:
        """Count silence against upstreams; return whether one rests.

        A caller that its first upstream refused is gone, so that the
        next ones see silence too; only a copy shows that it still waits.
        """
        last = len(opening.tried) if why == "copy" else 1
        counted = opening.tried[opening.blamed : last]
        opening.blamed = max(opening.blamed, last)
        rests = [self._placing.load(id_).silent(now) for id_ in counted]
        return any(rests)

    def _choose(
        self,
        service: str,
        tried: tuple[str, ...],
        now: float,
    ) -> records.Record | None:
        chosen = self._placing.choose(service, tried, now)
        if chosen is None:
            return None
        if not self._cookies.is_owner(chosen):
            return self._placing.choose(service, (*tried, chosen.id), now)
        return chosen

    def _given_up(self, key: bytes, opening: _Opening) -> None:
        del self._openings[key]
        for id_ in opening.tried:
            self._placing.load(id_).opening -= 1

    def _opened(self, key: bytes, id_: str, now: float) -> None:
        """Note that a flow has opened, if it began here."""
        opening = self._openings.get(key)
        if opening is None:
            return
        self._given_up(key, opening)
        self._placing.load(id_).opened(now)
        self._recorder.measured("flow_opening", now - opening.began_at)

    # What isn't passed on.

    def _no_route(self, packet: packets.Packet, now: float) -> Out:
        fresh = self._follower.fresh(now)
        self._recorder.event(
            events.Event.FLOW_REFUSED,
            flow=packet.key.hex(),
            reason="no_route",
            version=self._version,
            fresh=fresh,
            reset=fresh,
        )
        self._recorder.counted("packets_without_route")
        if not fresh:
            self.lacks = True
            return []
        return [packets.Reset(packet)]

    def _no_upstream(
        self,
        packet: packets.Packet,
        service: str,
        now: float,
    ) -> Out:
        """Refuse a flow that nobody can serve; nothing of it has run."""
        fresh = self._follower.fresh(now)
        self._recorder.event(
            events.Event.FLOW_REFUSED,
            flow=packet.key.hex(),
            reason="no_upstream",
            service=service,
            revision=self._register.revision,
            fresh=fresh,
            reset=fresh,
        )
        self._recorder.counted("flows_without_upstream")
        if not fresh:
            self.lacks = True
            return []
        return [packets.Reset(packet)]

    def _unknown(self, packet: packets.Packet) -> Out:
        """Drop a packet whose upstream isn't known here yet.

        Its sender repeats it; a reset could end a flow that goes on.
        """
        self.lacks = True
        self._recorder.counted("packets_of_unknown_upstreams")
        self._recorder.event(
            events.Event.COOKIE_UNKNOWN,
            flow=packet.key.hex(),
            cookie=packet.cookie,
            revision=self._register.revision,
        )
        return []

    def _over(
        self,
        packet: packets.Packet,
        record: records.Record,
    ) -> Out:
        """Reset a flow whose upstream has ended."""
        self._tracking.close(packet.key)
        if packet.ends:
            return []
        self._recorder.event(
            events.Event.FLOW_RESET,
            flow=packet.key.hex(),
            upstream=record.id,
            state=record.state.name.lower(),
        )
        return [packets.Reset(packet)]


def place_of(route: model.Route) -> bytes:
    """Return a route's address and port as packets have them."""
    return socket.inet_aton(route.address) + _PORT.pack(route.port)


def _opened(
    record: records.Record,
    packet: packets.Packet,
) -> packets.ToUpstream:
    return packets.ToUpstream(
        record.id,
        record.address,
        record.port,
        cookies.cookie_of(record),
        packet,
    )
