"""Reports from upstream stand-ins to the judge, one per datagram."""

import json
import socket

import attrs


@attrs.frozen
class Report:
    """An event at an upstream stand-in.

    :param kind: packet (received), run or done (a request began or ended),
        shed, over (a request beyond its slots) or fell (cold and overloaded)
    :param upstream: name of the stand-in
    :param service: service that it belongs to
    :param flow: number of the flow of a packet
    :param seq: sequence number of a packet in its flow
    :param dst: service address and port of a packet, ``ip:port``
    :param request: value of the caller's Caller-Mark header
    """

    kind: str
    upstream: str
    service: str
    flow: int = 0
    seq: int = 0
    dst: str = ""
    request: str = ""


class Reporter:
    """Sends the reports of one upstream stand-in to the judge."""

    def __init__(self, judge: str, upstream: str, service: str) -> None:
        """Open a socket for reports to `judge`, given as ``ip:port``."""
        host, port = judge.rsplit(":", 1)
        self._judge = (host, int(port))
        self._upstream = upstream
        self._service = service
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def send(self, kind: str, **fields: object) -> None:
        """Send a report as a JSON datagram."""
        report = Report(kind, self._upstream, self._service, **fields)
        data = json.dumps(attrs.asdict(report)).encode()
        self._socket.sendto(data, self._judge)


def decode(data: bytes) -> Report:
    """Return the report that a datagram holds."""
    return Report(**json.loads(data))
