"""Intents, plans, and the commands and answers that carry them.

Present time is in each command, in seconds since 1970 by the clock of
the VM that proposed it: applying stays deterministic.
"""

import enum

import attrs

from ebonytally import view
from ebonytally import wire


@wire.message(520)
@attrs.frozen
class CreateService:
    """Intent: create a service."""

    service: view.Service


@wire.message(521)
@attrs.frozen
class ChangeService:
    """Intent: change a service; what is None stays as it is."""

    name: str
    data_centres: tuple[str, ...] | None = None
    max_connections: int | None = None
    max_queue: int | None = None
    max_request_bytes: int | None = None


@wire.message(522)
@attrs.frozen
class RemoveService:
    """Intent: remove a service."""

    name: str


@wire.message(523)
@attrs.frozen
class TakeOut:
    """Intent: take a data centre out."""

    data_centre: str


@wire.message(524)
@attrs.frozen
class BringBack:
    """Intent: bring a data centre back."""

    data_centre: str


@wire.message(525)
@attrs.frozen
class AddVm:
    """Intent: admit an entry VM or control VM."""

    name: str
    address: str
    data_centre: str
    region: str
    control: bool = False


@wire.message(526)
@attrs.frozen
class ReplaceVm:
    """Intent: let another machine take the place of a lost VM."""

    name: str
    address: str


@wire.message(527)
@attrs.frozen
class RetireVm:
    """Intent: remove a VM for good."""

    name: str


Intent = (
    CreateService
    | ChangeService
    | RemoveService
    | TakeOut
    | BringBack
    | AddVm
    | ReplaceVm
    | RetireVm
)
wire.union(Intent)


@attrs.frozen
class UpstreamLoad:
    """What an upstream bears at the moment.

    :param upstream: upstream id
    :param open_flows: flows that keepers know to be open
    :param running: requests that run on it, -1 when not known
    """

    upstream: int
    open_flows: int
    running: int = -1


@attrs.frozen
class Facts:
    """What the proposing VM knows beyond the view.

    :param counted_by: entry VMs whose counts are in `loads`
    :param silent_vms: names of VMs that aren't heard from
    """

    loads: tuple[UpstreamLoad, ...] = ()
    counted_by: int = 0
    silent_vms: tuple[str, ...] = ()


class Caution(enum.StrEnum):
    """Kinds of warning in a plan."""

    LAST_DATA_CENTRE = "last_data_centre"
    NO_UPSTREAM_LEFT = "no_upstream_left"
    CAPACITY_BELOW_LOAD = "capacity_below_load"
    ONE_DATA_CENTRE_LEFT = "one_data_centre_left"
    NO_ENTRY_VM_LEFT = "no_entry_vm_left"
    CONTROL_MAJORITY = "control_majority"
    OTHER_PLAN_OPEN = "other_plan_open"
    VMS_NOT_HEARD = "vms_not_heard"
    COUNTS_PARTIAL = "counts_partial"


@attrs.frozen
class Warn:
    """One warning in a plan.

    :param text: one sentence for the operator
    """

    caution: Caution
    text: str


@attrs.frozen
class Capacity:
    """What a service has before and after a plan.

    :param upstreams: back ends that take new work
    :param slots: requests that they run at the same time
    :param connections: open flows that they bear
    :param open_flows: open flows now, -1 when not known
    :param running: requests that run now, -1 when not known
    """

    service: str
    data_centres_before: int
    data_centres_after: int
    upstreams_before: int
    upstreams_after: int
    slots_before: int
    slots_after: int
    connections_before: int
    connections_after: int
    open_flows: int = -1
    running: int = -1


@attrs.frozen
class Draft:
    """What an intent would do, as found from one view.

    :param changes: sentences on what changes
    :param vms: names of the VMs concerned
    :param flows_ending: open flows that end, -1 when not known
    """

    changes: tuple[str, ...]
    vms: tuple[str, ...]
    flows_ending: int
    capacities: tuple[Capacity, ...]
    warnings: tuple[Warn, ...]


class PlanState(enum.StrEnum):
    """Where a plan is in its life."""

    OPEN = "open"
    CONFIRMED = "confirmed"
    DISCARDED = "discarded"
    EXPIRED = "expired"
    BASIS_MOVED = "basis_moved"


@attrs.frozen
class Plan:
    """What will change once an operator confirms it.

    :param id: number and check digits, as operators type it
    :param operator: who stated the intent
    :param intent_id: the operator's own id for the intent
    :param basis: config revision that the plan was made from
    :param made_at: seconds since 1970
    :param expires_at: seconds since 1970
    :param closed_by: operator who confirmed or discarded it
    :param revision: revision at which it is in force, 0 before
    """

    id: str
    operator: str
    intent_id: str
    intent: Intent
    basis: int
    made_at: float
    expires_at: float
    draft: Draft
    state: PlanState = PlanState.OPEN
    closed_by: str = ""
    closed_at: float = 0.0
    revision: int = 0


@wire.message(530)
@attrs.frozen
class IntentStated:
    """Command: make a plan for an intent.

    :param id: the operator's own id for it
    :param wall: present time, seconds since 1970
    :param plan_s: how long the plan may be confirmed
    """

    operator: str
    id: str
    intent: Intent
    facts: Facts
    wall: float
    plan_s: float


@wire.message(531)
@attrs.frozen
class PlanConfirmed:
    """Command: put a plan in force, if its basis still holds."""

    operator: str
    id: str
    plan: str
    facts: Facts
    wall: float


@wire.message(532)
@attrs.frozen
class PlanDiscarded:
    """Command: close a plan so that nobody confirms it."""

    operator: str
    id: str
    plan: str
    wall: float


@wire.message(533)
@attrs.frozen
class PlanRead:
    """Command: read a plan in the order of the log; changes nothing."""

    plan: str
    wall: float


@wire.message(534)
@attrs.frozen
class OpenPlansRead:
    """Command: list the open plans in the order of the log."""

    wall: float


@wire.message(540)
@attrs.frozen
class Answer:
    """Answer to an operator.

    :param reason: value of the refusal, "" when done
    :param text: one or two sentences for the operator
    :param plan: plan concerned, or a fresh one to look at
    """

    reason: str = ""
    text: str = ""
    plan: Plan | None = None


@wire.message(541)
@attrs.frozen
class Applied:
    """Result of a command that gave a revision."""

    revision: int


@wire.message(542)
@attrs.frozen
class OpenPlans:
    """Open plans, oldest first."""

    plans: tuple[Plan, ...] = ()
