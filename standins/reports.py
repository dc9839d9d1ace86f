"""What upstream stand-ins tell the judge, one datagram each."""

import json
import socket

import attrs


@attrs.frozen
class Report:
    """Something that an upstream stand-in saw.

    :param kind: packet, run, done, shed, over (its slots) or fell
    :param upstream: name of the stand-in
    :param service: service that it belongs to
    :param flow: number of the flow, of a packet
    :param seq: number of the packet in its flow
    :param dst: service address and port that the packet was for
    :param request: the caller's own mark of a request
    """

    kind: str
    upstream: str
    service: str
    flow: int = 0
    seq: int = 0
    dst: str = ""
    request: str = ""


class Reporter:
    """Sends reports to the judge."""

    def __init__(self, judge: str, upstream: str, service: str) -> None:
        """Send to `judge`, given as ``ip:port``."""
        host, port = judge.rsplit(":", 1)
        self._judge = (host, int(port))
        self._upstream = upstream
        self._service = service
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def send(self, kind: str, **fields: object) -> None:
        """Send one report."""
        report = Report(kind, self._upstream, self._service, **fields)
        data = json.dumps(attrs.asdict(report)).encode()
        self._socket.sendto(data, self._judge)


def read(data: bytes) -> Report:
    """Return the report in a datagram."""
    return Report(**json.loads(data))
