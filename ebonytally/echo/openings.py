"""Flows that are being opened: who was asked, and who to ask next.

Upstreams answer callers directly, so an entry VM sees an answer only by
the caller's next packet, and a refusal not at all.
"""

import attrs

from ebonytally.echo import cookies as cookie_lib
from ebonytally.echo import packets
from ebonytally.echo import placing as placings
from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally.register import records
from ebonytally.register import register as registers

# An upstream answers an opening packet within a few milliseconds and the
# caller's next packet follows; twice the longest way at the sites.
SILENT_S = 0.06
MAX_TRIES = 3
# A caller gives an attempt up after 1.4 s.
OPENING_S = 1.5
MAX_OPENINGS = 20_000

Asked = list[packets.ToUpstream]


@attrs.define
class _Opening:
    """A flow of which only opening packets were seen.

    :param tried: upstreams that were asked, in this order
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


class Openings:
    """Asks one upstream after another until the caller goes on."""

    def __init__(
        self,
        register: registers.Register,
        placing: placings.Placing,
        cookies: cookie_lib.Cookies,
        recorder: recorders.Recorder,
    ) -> None:
        """Start without any."""
        self._register = register
        self._placing = placing
        self._cookies = cookies
        self._recorder = recorder
        self._openings: dict[bytes, _Opening] = {}

    def __contains__(self, key: bytes) -> bool:
        """Return whether a flow is being opened here."""
        return key in self._openings

    def begin(
        self,
        packet: packets.Packet,
        service: str,
        now: float,
    ) -> Asked:
        """Ask an upstream for a new flow; nothing if there is none."""
        chosen = self._choose(service, (), now)
        if chosen is None:
            return []
        if len(self._openings) < MAX_OPENINGS:
            self._openings[packet.key] = _Opening(
                packet,
                service,
                (chosen.id,),
                now,
                now,
            )
            self._placing.load(chosen.id).opening += 1
        return [_ask(chosen, packet)]

    def copy(self, packet: packets.Packet, now: float) -> Asked:
        """Take a copy of an opening packet: its caller still waits."""
        opening = self._openings[packet.key]
        opening.packet = packet
        return self._again(opening, "copy", now)

    def opened(self, key: bytes, id_: str, now: float) -> None:
        """Note that a flow has opened at an upstream."""
        opening = self._openings.get(key)
        if opening is None:
            return
        self._end(key, opening)
        self._placing.load(id_).opened(now)
        self._recorder.measured("flow_opening", now - opening.began_at)

    def tick(self, now: float) -> Asked:
        """Ask another upstream where one was silent."""
        out: Asked = []
        for key, opening in list(self._openings.items()):
            if now - opening.began_at > OPENING_S:
                self._end(key, opening)
            elif not opening.exhausted and now - opening.sent_at >= SILENT_S:
                out += self._again(opening, "silent", now)
        return out

    def _again(self, opening: _Opening, why: str, now: float) -> Asked:
        """Ask another upstream; the caller takes the first answer."""
        silent_s = now - opening.sent_at
        if silent_s < SILENT_S:
            return []
        opening.sent_at = now
        last = opening.tried[-1]
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
            return self._repeat(opening, last) if why == "copy" else []
        opening.tried += (chosen.id,)
        opening.exhausted = len(opening.tried) >= MAX_TRIES
        self._placing.load(chosen.id).opening += 1
        self._recorder.counted("flows_tried_again")
        return [_ask(chosen, opening.packet)]

    def _repeat(self, opening: _Opening, id_: str) -> Asked:
        entry = self._register.get(id_)
        return [] if entry is None else [_ask(entry.record, opening.packet)]

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

    def _end(self, key: bytes, opening: _Opening) -> None:
        del self._openings[key]
        for id_ in opening.tried:
            self._placing.load(id_).opening -= 1


def _ask(
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
