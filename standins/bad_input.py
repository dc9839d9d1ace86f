"""Bad input to every port: each gets a counted refusal, nobody falls."""

import socket
import subprocess

import gevent
from geventhttpclient import HTTPClient

from standins import callers
from standins import deployment as deployments
from standins import operator
from standins import packets

METRICS_PORT = 7407
OVERSIZED_BYTES = 8 * 1024 * 1024
TIMEOUT_S = 5.0
SETTLE_S = 0.3


def counted(address: str, name: str) -> float:
    """Return a counter of one entry VM by its name, 0 if it isn't."""
    return _sum(address, "ebonytally_counts_total", f'name="{name}"')


def refusals(address: str, reason: str) -> float:
    """Return how often an entry VM refused for a reason."""
    label = f'reason="{reason}"'
    return _sum(address, "ebonytally_refusals_total", label)


def save_metrics(deployment: deployments.Deployment) -> None:
    """Write each entry VM's metrics beside its log."""
    for daemon in deployment.daemons:
        text = _get(daemon.address, METRICS_PORT, "/metrics")
        path = deployment.folder / f"{daemon.name}.metrics"
        path.write_text(text, encoding="utf-8")


def _sum(address: str, metric: str, label: str) -> float:
    text = _get(address, METRICS_PORT, "/metrics")
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(metric) and label in line
    )


def check(
    deployment: deployments.Deployment,
    service: callers.Service,
) -> list[str]:
    """Send bad input to one entry VM; return what went wrong."""
    address = deployment.daemons[0].address
    cases = {
        "packet_malformed": lambda: _datagram(address, b"\x00" * 60),
        "packet_truncated": lambda: _datagram(address, b"\x45\x00"),
        "packet_unknown_address": lambda: _datagram(
            address,
            packets.build("10.8.0.1", 9, "10.8.8.8", 9, 2, 0, 0),
        ),
        "frame_unauthentic": lambda: _datagram(address, b"x" * 60, 7402),
        "request_oversized": lambda: _oversized(address, service),
        "announcement_malformed": lambda: _truncated(address),
        "operator_token": lambda: _wrong_token(address),
    }
    faults = []
    for reason, send in cases.items():
        before = refusals(address, reason)
        send()
        gevent.sleep(SETTLE_S)
        if refusals(address, reason) <= before:
            faults.append(f"bad input: {reason} was not counted")
    faults += _bad_settings(deployment)
    return faults


def _get(address: str, port: int, path: str) -> str:
    client = HTTPClient(
        address,
        port=port,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )
    try:
        return bytes(client.get(path).read()).decode()
    finally:
        client.close()


def _datagram(address: str, data: bytes, port: int = 7401) -> None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.sendto(data, (address, port))
    finally:
        sock.close()


def _oversized(address: str, service: callers.Service) -> None:
    client = HTTPClient(
        address,
        port=7404,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )
    headers = {
        "Host": service.name,
        "Content-Length": str(OVERSIZED_BYTES),
    }
    try:
        client.post("/submit", body=b"x", headers=headers)
    except Exception as exc:
        # The refusal may come as a closed connection.
        del exc
    finally:
        client.close()


def _truncated(address: str) -> None:
    client = HTTPClient(
        address,
        port=7406,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )
    try:
        client.post("/v1/announcements", body=b'{"service": "cut').read()
    finally:
        client.close()


def _wrong_token(address: str) -> None:
    operator.Operator(address, "wrong").get("/v1/status")


def _bad_settings(deployment: deployments.Deployment) -> list[str]:
    path = deployment.folder / "five-faults.json"
    path.write_text(
        '{"name": 5, "colour": "red", "ports": {"packets": "x"}, '
        '"seeds": {}, "control": "yes"}',
        encoding="utf-8",
    )
    done = subprocess.run(
        [*deployment.command, "check", str(path)],
        capture_output=True,
        text=True,
        timeout=30,
        cwd=deployments.ROOT,
    )
    lines = (done.stdout + done.stderr).count("five-faults.json: ")
    if done.returncode != 2 or lines < 5:
        return [f"bad settings: status {done.returncode}, {lines} faults"]
    return []
