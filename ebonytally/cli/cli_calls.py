"""The commands of the command line, in the form that fire parses.

Each command returns a typed call, which `cli.run` then executes. Names of
methods and parameters are the commands and options that users type.
"""

import attrs
from fire import decorators

Fields = dict[str, object]


class UsageError(Exception):
    """The arguments on the command line are invalid."""


@attrs.frozen
class Run:
    """Run the daemon with a settings file, given its path."""

    settings: str


@attrs.frozen
class Check:
    """Validate a settings file, given its path."""

    settings: str


@attrs.frozen
class Repair:
    """Empty the data folder of a settings file, or describe its contents.

    :param yes: whether to do it, instead of describing
    """

    settings: str
    yes: bool


@attrs.frozen
class Recover:
    """Form the control VMs anew from a data folder, or describe it.

    :param yes: whether to do it, instead of describing
    """

    settings: str
    yes: bool


@attrs.frozen
class Version:
    """Show the version."""


@attrs.frozen
class StateIntent:
    """Send an intent; the answer is a plan.

    :param intent: JSON object of the intent
    :param id: the operator's own id, "" to generate one
    """

    intent: Fields
    id: str


@attrs.frozen
class ClosePlan:
    """Confirm or discard a plan.

    :param verb: "confirm" or "discard"
    :param plan: id of the plan
    :param id: the operator's own id, "" to derive one from the plan
    """

    verb: str
    plan: str
    id: str


@attrs.frozen
class Get:
    """Read a resource of the operators' API.

    :param path: path of its URL
    """

    path: str


@attrs.frozen
class Explain:
    """Ask an entry VM where a new flow would go.

    :param caller: address and port of the caller
    :param route: address and port that it connects to
    """

    caller: str
    route: str


Call = (
    Run
    | Check
    | Repair
    | Recover
    | Version
    | StateIntent
    | ClosePlan
    | Get
    | Explain
)


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
            "port": _parse_number("port", port),
            "data_centres": _parse_names(data_centres),
            "protocol": protocol,
        }
        intent.update(
            _parse_numbers(
                max_connections=max_connections,
                max_queue=max_queue,
                max_request_bytes=max_request_bytes,
                slots=slots,
            )
        )
        return StateIntent(intent, id)

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
            intent["data_centres"] = _parse_names(data_centres)
        intent.update(
            _parse_numbers(
                max_connections=max_connections,
                max_queue=max_queue,
                max_request_bytes=max_request_bytes,
            )
        )
        return StateIntent(intent, id)

    @decorators.SetParseFn(str)
    def remove(self, name, *, id=""):
        """Remove a service."""
        return StateIntent({"kind": "remove_service", "name": name}, id)

    def list(self):
        """List the services."""
        return Get("/v1/services")


class _DataCentres:
    """Commands on data centres."""

    @decorators.SetParseFn(str)
    def out(self, name, *, id=""):
        """Take a data centre out."""
        return StateIntent(
            {"kind": "data_centre_out", "data_centre": name}, id
        )

    @decorators.SetParseFn(str)
    def back(self, name, *, id=""):
        """Bring a data centre back."""
        return StateIntent(
            {"kind": "data_centre_back", "data_centre": name}, id
        )


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
        """Add an entry VM or control VM."""
        intent = {
            "kind": "add_vm",
            "name": name,
            "address": address,
            "data_centre": data_centre,
            "region": region,
            "control": _parse_flag("control", control),
        }
        return StateIntent(intent, id)

    @decorators.SetParseFn(str)
    def replace(self, name, *, address, id=""):
        """Replace a lost VM by another machine of the same name."""
        intent = {"kind": "replace_vm", "name": name, "address": address}
        return StateIntent(intent, id)

    @decorators.SetParseFn(str)
    def retire(self, name, *, id=""):
        """Remove a VM permanently."""
        return StateIntent({"kind": "retire_vm", "name": name}, id)


class _Plans:
    """Commands on plans."""

    @decorators.SetParseFn(str)
    def show(self, plan):
        """Show a plan."""
        return Get(f"/v1/plans/{_parse_plan_id(plan)}")

    @decorators.SetParseFn(str)
    def confirm(self, plan, *, id=""):
        """Apply the changes of a plan."""
        return ClosePlan("confirm", _parse_plan_id(plan), id)

    @decorators.SetParseFn(str)
    def discard(self, plan, *, id=""):
        """Close a plan without applying it."""
        return ClosePlan("discard", _parse_plan_id(plan), id)

    def list(self):
        """List the open plans."""
        return Get("/v1/plans")


class Commands:
    """All commands; attributes are groups of commands."""

    def __init__(self) -> None:
        """Create the groups of commands."""
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
        return Repair(settings, _parse_flag("yes", yes))

    @decorators.SetParseFn(str)
    def recover(self, settings, *, yes=""):
        """Form the control VMs anew from one copy of the data."""
        return Recover(settings, _parse_flag("yes", yes))

    def status(self):
        """Show the status of the system."""
        return Get("/v1/status")

    @decorators.SetParseFn(str)
    def explain(self, caller, route):
        """Show where a new flow would go now, and why."""
        return Explain(caller, route)

    def version(self):
        """Show the version."""
        return Version()


def _parse_number(key: str, text: str) -> int:
    if not text.isascii() or not text.isdigit():
        option = key.replace("_", "-")
        raise UsageError(f"--{option}: {text!r} is not a whole number")
    return int(text)


def _parse_numbers(**given: str) -> Fields:
    return {
        key: _parse_number(key, text) for key, text in given.items() if text
    }


def _parse_names(text: str) -> list[str]:
    """Return the names of a comma-separated list.

    Surrounding brackets, and quotes around names, are removed.
    """
    listed = text.strip("[]() ")
    return [name.strip(" '\"") for name in listed.split(",") if name.strip()]


def _parse_flag(key: str, text: str) -> bool:
    if text not in ("", "True", "true", "False", "false"):
        raise UsageError(f"--{key}: takes no value, got {text!r}")
    return text.lower() == "true"


def _parse_plan_id(text: str) -> str:
    if not all(char.isalnum() or char == "-" for char in text) or not text:
        raise UsageError(
            f"{text!r} is not the id of a plan; ids look like 12-3fa9"
        )
    return text.lower()
