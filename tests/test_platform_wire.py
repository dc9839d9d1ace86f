"""Encoding and decoding of the platform's packets, settings and calls."""

import json
import tomllib

import pytest

from ebonytally import deployment
from ebonytally.echo import packets
from ebonytally.platform import calls
from ebonytally.platform import decode
from ebonytally.platform import node_settings
from ebonytally.platform import packet_wire

SYN = bytes.fromhex(
    "11223344 00000000 0000 c6120001 64400007 01bb 9c41 04 00 00000000a1b2c3d5"
)
RESET = bytes.fromhex(
    "00000000 00000000 0000 64400007 c6120001 9c41 01bb 08 00 0000000000000000"
)
SETTINGS = """
node-name = "front-cwm-a-1"
role = "my-front"
machine-class = "front"
serves = ["front"]
ip = "10.1.0.10"
zone = "cwm-a"
region = "cymru-west"
internal-port-range = [7720,7735]
seeds = ["10.3.0.8:8166","10.1.0.12:8166","10.2.0.41:8166"]
bootstrap = true
heartbeat-ms = 1200
a-field-of-tomorrow = 3
[zones]
cwm-a = "cymru-west"
cwm-b = "cymru-west"
[bind-addrs]
datagram-addr = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
[bounds]
grace-s = 6
cold-slack = 5
flow-ttl-s = 60
"""
HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "buc-a",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "cold-remaining-ms": 500,
    "sequence": 4,
    "born": 1700000000000,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path-prefix": "/8080/",
            "type": "unsafe",
            "timeout-ms": 3000,
            "target-latency-ms": 200,
            "priority": 1,
            "service": "huvo11a",
            "max-attempts": 2,
        },
        {
            "name": "r-2",
            "host": "198.18.0.1",
            "path-prefix": "/8443/",
            "type": "safe",
            "timeout-ms": 2500,
            "target-latency-ms": 150,
            "priority": 2,
            "backends": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "max-connections": 2000,
            "cold-start-s": 2.0,
            "cold-per-s": 0.0,
        },
        {"name": "wuno96b"},
    ],
    "limits": {"idle-timeout-ms": 15000},
}


def test_opening_packet_is_decoded():
    packet = packet_wire.decode(SYN)
    assert packet.is_opening
    assert not packet.is_end
    assert packet.service_address == bytes.fromhex("c612000101bb")
    assert packet.cookie == 0


def test_packet_to_an_upstream_has_its_number_and_the_cookie():
    packet = packet_wire.decode(SYN)
    out = packets.ToUpstream("i-7f3a91c2", "10.1.1.1", 80, 0xCAFE, packet)
    data = packet_wire.encode_for_upstream(out)
    assert data[:8] == bytes.fromhex("000000007f3a91c2")
    assert data[8 : 8 + 24] == SYN[:24]
    assert data[32:36] == bytes.fromhex("0000cafe")
    assert data[36:] == SYN[28:]
    out.cookie = None
    assert packet_wire.encode_for_upstream(out)[8:] == SYN


def test_reset_goes_to_the_caller_from_the_service():
    address, data = packet_wire.encode_reset(packet_wire.decode(SYN))
    assert (address, data) == ("100.64.0.7", RESET)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        SYN[:31],
        SYN + b"x",
        SYN[:22] + bytes([4 | 32]) + SYN[23:],
        SYN + bytes(1300),
    ],
)
def test_malformed_packet_is_refused(data):
    assert packet_wire.decode(data) is None


def test_settings_become_a_deployment():
    deployed = node_settings.to_deployment(tomllib.loads(SETTINGS))
    assert deployed.role == deployment.Role.ENTRY
    assert deployed.seeds == ("10.1.0.12", "10.2.0.41", "10.3.0.8")
    assert deployed.first_start
    assert deployed.packet_endpoint == deployment.Endpoint("10.1.0.10", 8172)
    assert deployed.cfg.ports.peers == 7720
    assert deployed.announce_interval_s == 1.2
    assert deployed.data_centres == {"cwm-a", "cwm-b"}


@pytest.mark.parametrize(
    ("max_fds", "connections"), [(900, 700), (300, 150), (0, 1)]
)
def test_connections_leave_descriptors_for_the_rest(max_fds, connections):
    """Guards against a log that can't be opened for want of descriptors."""
    text = f"{SETTINGS}[limits]\nmax-fds = {max_fds}\n"
    deployed = node_settings.to_deployment(tomllib.loads(text))
    assert deployed.max_connections == connections


def test_error_in_settings_names_type_or_field():
    broken = SETTINGS.replace('zone = "cwm-a"', "zone = 5")
    with pytest.raises(decode.DecodeError, match="type str"):
        node_settings.to_deployment(tomllib.loads(broken))
    missing = SETTINGS.replace('ip = "10.1.0.10"', "")
    with pytest.raises(decode.DecodeError, match="ip"):
        node_settings.to_deployment(tomllib.loads(missing))


def test_heartbeat_is_an_announcement():
    announcement = calls.decode_heartbeat(
        "i-7f3a91c2", json.dumps(HEARTBEAT).encode()
    )
    assert (announcement.address, announcement.port) == ("10.128.0.9", 8080)
    assert announcement.data_centre == "buc-a"
    assert (announcement.born_ms, announcement.sequence) == (1700000000000, 4)
    assert not announcement.draining
    assert announcement.cold_for_s == 0.5


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"service": 5},
        {"service": ""},
        {"address": "10.128.0.9"},
        {"address": "10.128.0.900:8080"},
        {"address": "::1:8080"},
        {"zone": ["buc-a"]},
        {"concurrency": "2"},
        {"concurrency": True},
        {"concurrency": 0},
        {"state": "resting"},
        {"sequence": 1.5},
        {"sequence": -1},
        {"sequence": 2**70},
        {"born": "yesterday"},
        {"cold-remaining-ms": -1},
        {"cold-remaining-ms": float("nan")},
        {"cold-remaining-ms": float("inf")},
        {"cold-remaining-ms": 10**400},
        {"concurrency": 2**64},
        {"born": 2**70},
        {"born": 2**62},
        {"born": 1_700_000_000_000_000},
        {"concurrency": 2**62},
        {"cold-remaining-ms": 1e300},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:65536"},
        {"address": "10.128.0.9:-1"},
        {"address": "0.0.0.0:8080"},
        {"address": "224.0.0.1:8080"},
        {"address": "255.255.255.255:8080"},
        {"service": "\ud800"},
        {"service": "s" * 129},
        {"zone": "buc-\udfff"},
        {"zone": "z" * 129},
        {"address": "10.128.0.\u00b2:8080"},
        {"address": "010.128.0.9:8080"},
        {"address": "10.128.0.9:" + "8" * 5000},
    ],
)
def test_heartbeat_with_an_invalid_field_is_refused(change):
    body = json.dumps({**HEARTBEAT, **change}).encode()
    with pytest.raises(decode.DecodeError):
        calls.decode_heartbeat("i-7f3a91c2", body)


@pytest.mark.parametrize("field", ["service", "address", "zone", "sequence"])
def test_heartbeat_without_a_field_is_refused(field):
    body = {key: value for key, value in HEARTBEAT.items() if key != field}
    with pytest.raises(decode.DecodeError, match=field):
        calls.decode_heartbeat("i-7f3a91c2", json.dumps(body).encode())


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b"\xff\xfe", b"3", b"[" * 100_000]
)
def test_body_that_is_not_a_json_object_is_refused(body):
    with pytest.raises(decode.DecodeError):
        calls.decode_heartbeat("i-7f3a91c2", body)
    with pytest.raises(decode.DecodeError):
        calls.decode_config(body)


@pytest.mark.parametrize(
    "body", [b'"x"', b'"born"', b"[]", b"3", b'{"born":-1}', b'{"born":1e9}']
)
def test_deregistration_that_is_no_object_with_a_start_is_refused(body):
    with pytest.raises(decode.DecodeError):
        calls.decode_deregistration(body)


@pytest.mark.parametrize("body", [b"", b" ", b"{}", b'{"state":"x"}'])
def test_deregistration_may_lack_its_start(body):
    assert calls.decode_deregistration(body) == 0


def test_heartbeat_under_an_id_without_a_number_is_refused():
    body = json.dumps(HEARTBEAT).encode()
    for id_ in ("", "xyz", "0123456789abcdef0", "1" + "-" * 200):
        with pytest.raises(decode.DecodeError):
            calls.decode_heartbeat(id_, body)


def test_config_is_decoded_into_routes():
    version, content = calls.decode_config(json.dumps(CONFIG).encode())
    first, second = content.routes
    assert version == 7
    assert (first.address, first.port) == ("198.18.0.1", 8080)
    assert not first.idempotent
    assert second.idempotent
    assert [(t.service, t.weight) for t in second.targets] == [
        ("huvo11a", 90),
        ("wuno96b", 10),
    ]
    assert content.idle_timeout_s == 15.0


def _remove_weight(config):
    del config["routes"][1]["backends"][0]["weight"]


def _set_text_version(config):
    config["version"] = "7"


def _remove_routes(config):
    del config["routes"]


def _set_prefix_without_port(config):
    config["routes"][0]["path-prefix"] = "/x/"


def _set_host_name(config):
    config["routes"][0]["host"] = "example"


def _set_infinite_timeout(config):
    config["routes"][0]["timeout-ms"] = float("inf")


def _set_timeout_to_no_number(config):
    config["routes"][0]["timeout-ms"] = float("nan")


def _set_huge_weight(config):
    config["routes"][1]["backends"][0]["weight"] = 2**70


def _set_huge_version(config):
    config["version"] = 2**63


def _set_name_that_has_no_encoding(config):
    config["services"][1]["name"] = "\ud800"


def _set_host_with_leading_zero(config):
    config["routes"][0]["host"] = "198.018.0.1"


def _set_routes_to_an_object(config):
    config["routes"] = {}


def _set_services_to_an_object(config):
    config["services"] = {}


def _set_backends_to_text(config):
    config["routes"][1]["backends"] = ""


def _set_limits_to_a_list(config):
    config["limits"] = []


@pytest.mark.parametrize(
    "corrupt",
    [
        _set_routes_to_an_object,
        _set_services_to_an_object,
        _set_backends_to_text,
        _set_limits_to_a_list,
        _set_infinite_timeout,
        _set_timeout_to_no_number,
        _set_huge_weight,
        _set_huge_version,
        _set_name_that_has_no_encoding,
        _set_host_with_leading_zero,
        _remove_weight,
        _set_text_version,
        _remove_routes,
        _set_prefix_without_port,
        _set_host_name,
    ],
)
def test_config_with_an_invalid_field_is_refused(corrupt):
    config = json.loads(json.dumps(CONFIG))
    corrupt(config)
    with pytest.raises(decode.DecodeError):
        calls.decode_config(json.dumps(config).encode())


def test_truncated_config_is_refused():
    full_body = json.dumps(CONFIG).encode()
    for size in range(0, len(full_body), 37):
        with pytest.raises(decode.DecodeError):
            calls.decode_config(full_body[:size])
