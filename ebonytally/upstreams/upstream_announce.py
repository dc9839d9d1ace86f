"""Announcements of upstreams: what they say and which are taken."""

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
    """What an upstream says about its life."""

    UP = "up"
    DRAINING = "draining"
    LEAVING = "leaving"


class Next(enum.StrEnum):
    """What an upstream should do next."""

    SERVE = "serve"
    FINISH = "finish"
    STOP = "stop"
    FIX = "fix"


@attrs.frozen
class Announcement:
    """What an upstream says about itself.

    :param address: IPv4 address of its VM
    :param port: UDP port for packets (IP in UDP)
    :param request_port: TCP port for requests, 0 for none
    :param slots: requests that it runs at the same time
    :param connections: open flows that it bears
    :param incarnation: grows with each start
    :param drain_s: seconds left for its work in hand while draining
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
        """Return what stays the same over its incarnations."""
        return (self.service, self.address, self.port)

    def upstream(self, share: int) -> view.Upstream:
        """Return it as the replicated log registers it."""
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
    """What an announcement is answered.

    :param reason: why it was refused, None when taken
    :param detail: one line for the log of the upstream
    :param again_s: seconds after which to announce again
    """

    next: Next
    reason: reasons.Refusal | None = None
    detail: str = ""
    again_s: float = 1.0

    @property
    def ok(self) -> bool:
        """Whether the announcement was taken."""
        return self.reason is None


def key_of(upstream: view.Upstream) -> tuple[str, str, int]:
    """Return what stays the same over its incarnations."""
    return (upstream.service, upstream.address, upstream.port)


def parse(body: bytes) -> Announcement | str:
    """Return the announcement of a JSON body, or the fault in a line."""
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        return f"is {len(body)} bytes, at most {MAX_ANNOUNCEMENT_BYTES}"
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return "is not JSON"
    if not isinstance(raw, dict):
        return "is not a JSON object"
    return _build(raw)


def _build(raw: dict[str, object]) -> Announcement | str:
    fields = attrs.fields_dict(Announcement)
    for key in raw:
        if key not in fields:
            return f"{key[:63]}: is not known"
    for key, field in fields.items():
        if key in raw:
            fault = _type_fault(field.type, raw[key])
            if fault:
                return f"{key}: {fault}"
        elif field.default is attrs.NOTHING:
            return f"{key}: is missing"
    if raw.get("state", "up") not in set(State):
        return "state: must be up, draining or leaving"
    values = dict(raw)
    values["state"] = State(raw.get("state", "up"))
    announcement = Announcement(**values)
    return _range_fault(announcement) or announcement


def _type_fault(kind: type, value: object) -> str:
    if kind is int and type(value) is not int:
        return "must be a whole number"
    if kind is float and type(value) not in (int, float):
        return "must be a number"
    if kind in (str, State) and not isinstance(value, str):
        return "must be text"
    return ""


def _range_fault(announcement: Announcement) -> str:
    for key in ("service", "data_centre"):
        if not _NAME.fullmatch(getattr(announcement, key)):
            return f"{key}: is no name"
    try:
        ipaddress.IPv4Address(announcement.address)
    except ValueError:
        return "address: is no IPv4 address"
    for key, low, high in (
        ("port", 1, 65535),
        ("request_port", 0, 65535),
        ("slots", 1, MAX_SLOTS),
        ("connections", 1, MAX_CONNECTIONS),
        ("incarnation", 1, 2**62),
        ("drain_s", 0, MAX_DRAIN_S),
    ):
        if not low <= getattr(announcement, key) <= high:
            return f"{key}: must be {low} to {high}"
    return ""
