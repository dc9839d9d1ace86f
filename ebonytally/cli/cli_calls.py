"""The commands of the command line, as fire finds them.

Each one only says what to do, as a typed call; `cli.main` does it.
"""

import attrs
from fire import decorators

Fields = dict[str, object]


class UsageError(Exception):
    """A value on the command line that can't be read."""


@attrs.frozen
class Run:
    """Run the daemon of a settings file."""

    settings: str


@attrs.frozen
class Check:
    """Check a settings file."""

    settings: str


@attrs.frozen
class Repair:
    """Empty the data folder of a settings file, or show what it holds."""

    settings: str
    yes: bool


@attrs.frozen
class Recover:
    """Form the control VMs anew from a data folder, or show it."""

    settings: str
    yes: bool


@attrs.frozen
class Version:
    """Show the version."""


@attrs.frozen
class State:
    """State an intent.

    :param intent: its JSON object
    :param id: the operator's own id, "" to make one
    """

    intent: Fields
    id: str


@attrs.frozen
class Close:
    """Confirm or discard a plan.

    :param verb: "confirm" or "discard"
    :param id: the operator's own id, "" to make one
    """

    verb: str
    plan: str
    id: str


@attrs.frozen
class Show:
    """Read something.

    :param path: of the operators' API
    """

    path: str


Call = Run | Check | Repair | Recover | Version | State | Close | Show


class _Services:
    """Commands on services."""

    @decorators.SetParseFn(str)
    def create(
        self,
        name,
        *,
        address,
        port,
        data_centres,
        protocol="tcp",
        max_connections="",
        max_queue="",
        max_request_bytes="",
        slots="",
        id="",
    ):
        """Create a service."""
        intent = {
            "kind": "create_service",
            "name": name,
            "address": address,
            "port": _number("port", port),
            "data_centres": _names(data_centres),
            "protocol": protocol,
        }
        intent.update(
            _numbers(
                max_connections=max_connections,
                max_queue=max_queue,
                max_request_bytes=max_request_bytes,
                slots=slots,
            )
        )
        return State(intent, id)

    @decorators.SetParseFn(str)
    def change(
        self,
        name,
        *,
        data_centres="",
        max_connections="",
        max_queue="",
        max_request_bytes="",
        id="",
    ):
        """Change the data centres or limits of a service."""
        intent = {"kind": "change_service", "name": name}
        if data_centres:
            intent["data_centres"] = _names(data_centres)
        intent.update(
            _numbers(
                max_connections=max_connections,
                max_queue=max_queue,
                max_request_bytes=max_request_bytes,
            )
        )
        return State(intent, id)

    @decorators.SetParseFn(str)
    def remove(self, name, *, id=""):
        """Remove a service."""
        return State({"kind": "remove_service", "name": name}, id)

    def list(self):
        """List the services."""
        return Show("/v1/services")


class _DataCentres:
    """Commands on data centres."""

    @decorators.SetParseFn(str)
    def out(self, name, *, id=""):
        """Take a data centre out."""
        return State({"kind": "data_centre_out", "data_centre": name}, id)

    @decorators.SetParseFn(str)
    def back(self, name, *, id=""):
        """Bring a data centre back."""
        return State({"kind": "data_centre_back", "data_centre": name}, id)


class _Vms:
    """Commands on entry and control VMs."""

    @decorators.SetParseFn(str)
    def add(
        self,
        name,
        *,
        address,
        data_centre,
        region,
        control="",
        id="",
    ):
        """Admit a VM."""
        intent = {
            "kind": "add_vm",
            "name": name,
            "address": address,
            "data_centre": data_centre,
            "region": region,
            "control": _flag("control", control),
        }
        return State(intent, id)

    @decorators.SetParseFn(str)
    def replace(self, name, *, address, id=""):
        """Let another machine take a VM's place."""
        intent = {"kind": "replace_vm", "name": name, "address": address}
        return State(intent, id)

    @decorators.SetParseFn(str)
    def retire(self, name, *, id=""):
        """Remove a VM for good."""
        return State({"kind": "retire_vm", "name": name}, id)


class _Plans:
    """Commands on plans."""

    @decorators.SetParseFn(str)
    def show(self, plan):
        """Show a plan."""
        return Show(f"/v1/plans/{_plan_id(plan)}")

    @decorators.SetParseFn(str)
    def confirm(self, plan, *, id=""):
        """Put a plan in force."""
        return Close("confirm", _plan_id(plan), id)

    @decorators.SetParseFn(str)
    def discard(self, plan, *, id=""):
        """Drop a plan."""
        return Close("discard", _plan_id(plan), id)

    def list(self):
        """List the open plans."""
        return Show("/v1/plans")


class Commands:
    """All commands."""

    def __init__(self) -> None:
        """Group the commands by what they are about."""
        self.service = _Services()
        self.datacentre = _DataCentres()
        self.vm = _Vms()
        self.plan = _Plans()

    @decorators.SetParseFn(str)
    def run(self, settings):
        """Run the daemon."""
        return Run(settings)

    @decorators.SetParseFn(str)
    def check(self, settings):
        """Check a settings file."""
        return Check(settings)

    @decorators.SetParseFn(str)
    def repair(self, settings, *, yes=""):
        """Empty a damaged data folder."""
        return Repair(settings, _flag("yes", yes))

    @decorators.SetParseFn(str)
    def recover(self, settings, *, yes=""):
        """Form the control VMs anew from one copy."""
        return Recover(settings, _flag("yes", yes))

    def status(self):
        """Tell how the system stands."""
        return Show("/v1/status")

    def version(self):
        """Show the version."""
        return Version()


def _number(key: str, text: str) -> int:
    if not text.isascii() or not text.isdigit():
        option = key.replace("_", "-")
        raise UsageError(f"--{option}: {text!r} is no whole number")
    return int(text)


def _numbers(**given: str) -> Fields:
    return {key: _number(key, text) for key, text in given.items() if text}


def _names(text: str) -> list[str]:
    """Return names that stand with commas between them."""
    plain = text.strip("[]() ")
    return [name.strip(" '\"") for name in plain.split(",") if name.strip()]


def _flag(key: str, text: str) -> bool:
    if text not in ("", "True", "true", "False", "false"):
        raise UsageError(f"--{key}: takes no value, not {text!r}")
    return text.lower() == "true"


def _plan_id(text: str) -> str:
    if not all(char.isalnum() or char == "-" for char in text) or not text:
        raise UsageError(f"{text!r} is no plan; plans look like 12-3fa9")
    return text.lower()
