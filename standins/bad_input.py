"""Send bad input to every port; each refusal must be counted."""

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


def read_counter(address: str, name: str) -> float:
    """Return a counter of an entry VM; 0 if it does not exist."""
    return _sum_metric(address, "ebonytally_counts_total", f'name="{name}"')


def read_refusals(address: str, reason: str) -> float:
    """Return the refusal counter of an entry VM for one reason."""
    label = f'reason="{reason}"'
    return _sum_metric(address, "ebonytally_refusals_total", label)


def save_metrics(deployment: deployments.Deployment) -> None:
    """Write the metrics of each entry VM next to its log file."""
    for daemon in deployment.daemons:
        text = _get_text(daemon.address, METRICS_PORT, "/metrics")
        path = deployment.folder / f"{daemon.name}.metrics"
        path.write_text(text, encoding="utf-8")


def _sum_metric(address: str, metric: str, label: str) -> float:
    text = _get_text(address, METRICS_PORT, "/metrics")
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(metric) and label in line
    )


def check(
    deployment: deployments.Deployment,
    service: callers.Service,
) -> list[str]:
    """Send bad input to one entry VM and check that it is refused.

    :return: a line for each refusal that was not counted as expected
    """
    address = deployment.daemons[0].address
    cases = {
        "packet_malformed": lambda: _send_datagram(address, b"\x00" * 60),
        "packet_truncated": lambda: _send_datagram(address, b"\x45\x00"),
        "packet_unknown_address": lambda: _send_datagram(
            address,
            packets.build("10.8.0.1", 9, "10.8.8.8", 9, 2, 0, 0),
        ),
        "frame_unauthentic": lambda: _send_datagram(address, b"x" * 60, 7402),
        "request_oversized": lambda: _send_oversized_request(address, service),
        "announcement_malformed": lambda: _send_truncated_announcement(
            address
        ),
        "operator_token": lambda: _send_wrong_token(address),
    }
    failures = []
    for reason, send in cases.items():
        count_before = read_refusals(address, reason)
        send()
        gevent.sleep(SETTLE_S)
        if read_refusals(address, reason) <= count_before:
            failures.append(
                f"bad input: refusal counter {reason} "
                f"did not rise above {count_before:g}"
            )
    failures += _check_bad_settings(deployment)
    return failures


def _get_text(address: str, port: int, path: str) -> str:
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


def _send_datagram(address: str, data: bytes, port: int = 7401) -> None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.sendto(data, (address, port))
    finally:
        sock.close()


def _send_oversized_request(address: str, service: callers.Service) -> None:
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
        # The entry VM may refuse by closing the connection.
        del exc
    finally:
        client.close()


def _send_truncated_announcement(address: str) -> None:
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


def _send_wrong_token(address: str) -> None:
    operator.Operator(address, "wrong").get("/v1/status")


def _check_bad_settings(deployment: deployments.Deployment) -> list[str]:
    path = deployment.folder / "five-faults.json"
    path.write_text(
        '{"name": 5, "colour": "red", "ports": {"packets": "x"}, '
        '"seeds": {}, "control": "yes"}',
        encoding="utf-8",
    )
    result = subprocess.run(
        [*deployment.command, "check", str(path)],
        capture_output=True,
        text=True,
        timeout=30,
        cwd=deployments.ROOT,
    )
    fault_count = (result.stdout + result.stderr).count("five-faults.json: ")
    if result.returncode != 2 or fault_count < 5:
        return [
            f"bad settings: expected exit status 2 and at least 5 faults, "
            f"got status {result.returncode} and {fault_count} faults"
        ]
    return []
