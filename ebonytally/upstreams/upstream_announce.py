"""Announcements of upstreams: their format and validation."""

import enum
import ipaddress
import json
import re

import attrs

from ebonytally import reasons
from ebonytally import view

MAX_ANNOUNCEMENT_BYTES = 4096
MAX_SLOTS = 1024
MAX_CONNECTIONS = 1_000_000
MAX_DRAIN_S = 86_400.0
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class State(enum.StrEnum):
    """Lifecycle state that an upstream announces."""

    UP = "up"
    DRAINING = "draining"
    LEAVING = "leaving"


class Next(enum.StrEnum):
    """What the answer to an announcement asks the upstream to do.

    SERVE: keep serving; FINISH: complete running requests; STOP: exit;
    FIX: correct the announcement.
    """

    SERVE = "serve"
    FINISH = "finish"
    STOP = "stop"
    FIX = "fix"


@attrs.frozen
class Announcement:
    """An upstream's description of itself, sent periodically.

    :param address: IPv4 address of its VM
    :param port: UDP port for packets (IP in UDP)
    :param request_port: TCP port for requests, 0 for none
    :param slots: requests that it can run concurrently
    :param connections: open flows that it can hold
    :param incarnation: increases with each start
    :param drain_s: seconds granted to finish running work while draining
    """

    service: str
    address: str
    port: int
    data_centre: str
    incarnation: int
    request_port: int = 0
    slots: int = 2
    connections: int = 2000
    state: State = State.UP
    drain_s: float = 30.0

    @property
    def key(self) -> tuple[str, str, int]:
        """Return the identity that all incarnations share."""
        return (self.service, self.address, self.port)

    def upstream(self, share: int) -> view.Upstream:
        """Return the upstream to register in the replicated log.

        :param share: thousandths of full load to start with, 1 to 1000
        """
        return view.Upstream(
            id=0,
            service=self.service,
            address=self.address,
            port=self.port,
            request_port=self.request_port,
            data_centre=self.data_centre,
            slots=self.slots,
            connections=self.connections,
            incarnation=self.incarnation,
            share=share,
        )


@attrs.frozen
class Verdict:
    """Answer to an announcement.

    :param reason: why it was refused, None if accepted
    :param detail: one line for the upstream's log
    :param again_s: seconds until the next announcement is due
    """

    next: Next
    reason: reasons.Refusal | None = None
    detail: str = ""
    again_s: float = 1.0

    @property
    def ok(self) -> bool:
        """Whether the announcement was accepted."""
        return self.reason is None


def key_of(upstream: view.Upstream) -> tuple[str, str, int]:
    """Return the identity that all incarnations of an upstream share."""
    return (upstream.service, upstream.address, upstream.port)


def parse(body: bytes) -> Announcement | str:
    """Return the announcement in a JSON body, or a one-line error."""
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        return (
            f"announcement has at least {len(body)} bytes, "
            f"at most {MAX_ANNOUNCEMENT_BYTES} are allowed"
        )
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return "announcement is not valid JSON"
    if not isinstance(raw, dict):
        return f"announcement must be a JSON object, got {_shorten(raw)}"
    return _build(raw)


def _build(raw: dict[str, object]) -> Announcement | str:
    fields = attrs.fields_dict(Announcement)
    for key in raw:
        if key not in fields:
            return f"{key[:63]}: unknown field"
    for key, field in fields.items():
        if key in raw:
            error = _type_error(field.type, raw[key])
            if error:
                return f"{key}: {error}"
        elif field.default is attrs.NOTHING:
            return f"{key}: required field is missing"
    if raw.get("state", "up") not in set(State):
        return (
            "state: must be up, draining or leaving, "
            f"got {_shorten(raw['state'])}"
        )
    values = dict(raw)
    values["state"] = State(raw.get("state", "up"))
    announcement = Announcement(**values)
    return _range_error(announcement) or announcement


def _type_error(kind: type, value: object) -> str:
    if kind is int and type(value) is not int:
        return f"must be a whole number, got {_shorten(value)}"
    if kind is float and type(value) not in (int, float):
        return f"must be a number, got {_shorten(value)}"
    if kind in (str, State) and not isinstance(value, str):
        return f"must be a string, got {_shorten(value)}"
    return ""


def _shorten(value: object) -> str:
    """Return at most 40 characters of a refused JSON value."""
    if isinstance(value, dict | list):
        return "an object" if isinstance(value, dict) else "an array"
    return repr(value)[:40]


def _range_error(announcement: Announcement) -> str:
    for key in ("service", "data_centre"):
        name = getattr(announcement, key)
        if not _NAME.fullmatch(name):
            return (
                f"{key}: {_shorten(name)} is not a name of "
                "1 to 63 characters a-z, 0-9 and -"
            )
    try:
        ipaddress.IPv4Address(announcement.address)
    except ValueError:
        return (
            f"address: {_shorten(announcement.address)} is not an IPv4 address"
        )
    for key, low, high in (
        ("port", 1, 65535),
        ("request_port", 0, 65535),
        ("slots", 1, MAX_SLOTS),
        ("connections", 1, MAX_CONNECTIONS),
        ("incarnation", 1, 2**62),
        ("drain_s", 0, MAX_DRAIN_S),
    ):
        value = getattr(announcement, key)
        if not low <= value <= high:
            return f"{key}: must be {low} to {high}, got {_shorten(value)}"
    return ""
