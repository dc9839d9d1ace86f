"""Passes packets of callers to the upstreams of their flows.

The opening packet gets a cookie that names its upstream. The flow's two
ends bring it back in each packet, so any entry VM finds the upstream
without state of its own. What is kept here for each flow tells load only
and may be lost.
"""

import collections
import socket
import struct

import attrs
import xxhash

from ebonytally.configuration import model
from ebonytally.echo import packets
from ebonytally.echo import placing as placings
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
# An answer that takes longer is not counted as load any more.
BUSY_S = 5.0
SWEEP_S = 1.0
MAX_FLOWS = 200_000
MAX_OPENINGS = 20_000

Out = list[packets.ToUpstream | packets.Reset]
_PORT = struct.Struct(">H")


@attrs.define
class _Opening:
    """A flow of which only opening packets were seen."""

    packet: packets.Packet
    service: str
    tried: tuple[str, ...]
    sent_at: float
    began_at: float


@attrs.define
class _Flow:
    """An open flow.

    :param expects: caller's acknowledgement when its request went out
    :param busy_since: seconds; 0 while no answer is awaited
    """

    upstream: str
    last_at: float
    expects: int = 0
    busy_since: float = 0.0


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
        self._seen = 0
        self._cookies: dict[int, str] = {}
        self._version = 0
        self._routes: dict[bytes, model.Route] = {}
        self._openings: dict[bytes, _Opening] = {}
        self._flows: collections.OrderedDict[bytes, _Flow] = (
            collections.OrderedDict()
        )
        self._swept_at = 0.0
        self.lacks = False

    def changed(self) -> None:
        """Take what the follower and the register have learned."""
        for entry in self._register.changed_since(self._seen):
            self._name(entry.record)
        self._seen = self._register.revision
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
        entry = self._register.get(self._cookies.get(packet.cookie, ""))
        if entry is None:
            return self._unknown(packet)
        record = entry.record
        if record.state == records.State.GONE:
            return self._over(packet, record)
        self._track(packet, record.id, now)
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
            elif now - opening.sent_at >= SILENT_S:
                out += self._again(opening, "silent", now)
        if now - self._swept_at >= SWEEP_S:
            self._swept_at = now
            self._sweep(now)
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
        load = self._placing.load(last)
        rests = len(opening.tried) < MAX_TRIES and load.silent(now)
        chosen = None
        if len(opening.tried) < MAX_TRIES:
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
            entry = self._register.get(last)
            if why != "copy" or entry is None:
                return []
            return [_opened(entry.record, opening.packet)]
        opening.tried += (chosen.id,)
        self._placing.load(chosen.id).opening += 1
        self._recorder.counted("flows_tried_again")
        return [_opened(chosen, opening.packet)]

    def _choose(
        self,
        service: str,
        tried: tuple[str, ...],
        now: float,
    ) -> records.Record | None:
        chosen = self._placing.choose(service, tried, now)
        if chosen is None:
            return None
        if self._cookies.get(cookie_of(chosen)) != chosen.id:
            # Another upstream has this cookie; its flows go first.
            return self._placing.choose(service, (*tried, chosen.id), now)
        return chosen

    def _given_up(self, key: bytes, opening: _Opening) -> None:
        del self._openings[key]
        for id_ in opening.tried:
            self._placing.load(id_).opening -= 1

    # Flows.

    def _track(self, packet: packets.Packet, id_: str, now: float) -> None:
        """Note what a packet tells of its upstream's load."""
        flow = self._flows.get(packet.key)
        if flow is None:
            opening = self._openings.get(packet.key)
            if opening is not None:
                self._given_up(packet.key, opening)
                self._placing.load(id_).opened(now)
                took_s = now - opening.began_at
                self._recorder.measured("flow_opening", took_s)
            if packet.ends or len(self._flows) >= MAX_FLOWS:
                return
            flow = self._flows[packet.key] = _Flow(id_, now)
            self._placing.load(id_).flows += 1
        flow.last_at = now
        self._flows.move_to_end(packet.key)
        if flow.busy_since and packet.ack != flow.expects:
            self._recorder.measured("first_answer", now - flow.busy_since)
            self._idle(flow)
        if packet.size and not flow.busy_since:
            flow.busy_since = now
            flow.expects = packet.ack
            self._placing.load(flow.upstream).busy += 1
        if packet.ends:
            self._close(packet.key, flow)

    def _idle(self, flow: _Flow) -> None:
        flow.busy_since = 0.0
        self._placing.load(flow.upstream).busy -= 1

    def _close(self, key: bytes, flow: _Flow) -> None:
        if flow.busy_since:
            self._idle(flow)
        self._placing.load(flow.upstream).flows -= 1
        del self._flows[key]

    def _sweep(self, now: float) -> None:
        idle_s = self._follower.view.content.idle_timeout_s
        for key, flow in list(self._flows.items()):
            if flow.busy_since and now - flow.busy_since > BUSY_S:
                self._idle(flow)
            if now - flow.last_at > idle_s:
                self._close(key, flow)
        if len(self._cookies) > 2 * len(self._register) + 1000:
            self._cookies.clear()
            for entry in self._register.entries():
                self._name(entry.record)

    def _name(self, record: records.Record) -> None:
        """Give a cookie to one upstream, the same at all entry VMs."""
        cookie = cookie_of(record)
        other = self._cookies.get(cookie, record.id)
        if other != record.id and self._register.get(other) is not None:
            self._recorder.event(
                events.Event.COOKIE_SHARED,
                upstream=record.id,
                other=other,
            )
            other = min(other, record.id)
            self._cookies[cookie] = other
            return
        self._cookies[cookie] = record.id

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
        fresh = self._follower.fresh(now) and self._follower.complete()
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
        flow = self._flows.get(packet.key)
        if flow is not None:
            self._close(packet.key, flow)
        if packet.ends:
            return []
        self._recorder.event(
            events.Event.FLOW_RESET,
            flow=packet.key.hex(),
            upstream=record.id,
            state=record.state.name.lower(),
        )
        return [packets.Reset(packet)]


def cookie_of(record: records.Record) -> int:
    """Return the cookie of an upstream, 1 to 2**32 - 1."""
    text = f"{record.id} {record.address}:{record.port}"
    return xxhash.xxh32_intdigest(text.encode()) or 1


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
        cookie_of(record),
        packet,
    )
