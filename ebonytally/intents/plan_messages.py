"""Messages about intents and plans: log commands, results and answers.

Each command carries the present time, in seconds since 1970 by the clock
of the VM that proposed it, so that applying it is deterministic.
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
    """Intent: change a service; fields that are None stay unchanged."""

    name: str
    data_centres: tuple[str, ...] | None = None
    max_connections: int | None = None
    max_queue: int | None = None
    max_request_bytes: int | None = None


@wire.message(522)
@attrs.frozen
class RemoveService:
    """Intent: remove a service with its upstreams."""

    name: str


@wire.message(523)
@attrs.frozen
class TakeOut:
    """Intent: stop sending flows and requests to a data centre."""

    data_centre: str


@wire.message(524)
@attrs.frozen
class BringBack:
    """Intent: send flows and requests to a data centre again."""

    data_centre: str


@wire.message(525)
@attrs.frozen
class AddVm:
    """Intent: add an entry VM, or a control VM with `control`."""

    name: str
    address: str
    data_centre: str
    region: str
    control: bool = False


@wire.message(526)
@attrs.frozen
class ReplaceVm:
    """Intent: replace a lost VM by another machine of the same name."""

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
wire.register_union(Intent)


@attrs.frozen
class UpstreamLoad:
    """Present load of an upstream.

    :param upstream: upstream id
    :param open_flows: open flows that their owners have recorded
    :param running: requests in progress on it, -1 if unknown
    """

    upstream: int
    open_flows: int
    running: int = -1


@attrs.frozen
class VmFacts:
    """State of the proposing VM that isn't in the replicated view.

    :param counted_by: number of entry VMs whose counts are in `loads`
    :param silent_vms: names of VMs that the failure detector finds silent
    """

    loads: tuple[UpstreamLoad, ...] = ()
    counted_by: int = 0
    silent_vms: tuple[str, ...] = ()


class WarningKind(enum.StrEnum):
    """Kinds of warning in a plan, the most severe first."""

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
class PlanWarning:
    """One warning in a plan.

    :param text: one sentence for the operator
    """

    caution: WarningKind
    text: str


@attrs.frozen
class Capacity:
    """Capacity of a service before and after a plan.

    :param upstreams: upstreams that get new flows and requests
    :param slots: sum of their concurrency limits for requests
    :param connections: sum of their limits of open flows
    :param open_flows: open flows now, -1 if unknown
    :param running: requests in progress now, -1 if unknown
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
    """Effects of an intent, computed from one view.

    :param changes: sentences for the operator, one for each change
    :param vms: names of the affected VMs
    :param flows_ending: open flows that will be ended, -1 if unknown
    """

    changes: tuple[str, ...]
    vms: tuple[str, ...]
    flows_ending: int
    capacities: tuple[Capacity, ...]
    warnings: tuple[PlanWarning, ...]


class PlanState(enum.StrEnum):
    """Life cycle state of a plan."""

    OPEN = "open"
    CONFIRMED = "confirmed"
    DISCARDED = "discarded"
    EXPIRED = "expired"
    BASIS_MOVED = "basis_moved"


@attrs.frozen
class Plan:
    """Changes that are applied once an operator confirms them.

    :param id: number and check digits, as operators type it
    :param operator: who stated the intent
    :param intent_id: the operator's own id for the intent
    :param basis: config revision that the plan was made from
    :param made_at: seconds since 1970
    :param expires_at: seconds since 1970
    :param closed_by: operator who confirmed or discarded it
    :param closed_at: seconds since 1970, 0 while it is open
    :param revision: revision that contains its changes, 0 before
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

    :param id: the operator's own id for the intent
    :param wall: present time, seconds since 1970
    :param plan_s: seconds until the plan expires
    """

    operator: str
    id: str
    intent: Intent
    facts: VmFacts
    wall: float
    plan_s: float


@wire.message(531)
@attrs.frozen
class PlanConfirmed:
    """Command: apply a plan, unless its configuration basis is outdated.

    :param id: the operator's own id for the confirmation
    :param plan: id of the plan
    """

    operator: str
    id: str
    plan: str
    facts: VmFacts
    wall: float


@wire.message(532)
@attrs.frozen
class PlanDiscarded:
    """Command: close a plan so that it can't be confirmed.

    :param id: the operator's own id for the discard
    :param plan: id of the plan
    """

    operator: str
    id: str
    plan: str
    wall: float


@wire.message(533)
@attrs.frozen
class PlanRead:
    """Command: read a plan through the log, for a linearizable read."""

    plan: str
    wall: float


@wire.message(534)
@attrs.frozen
class OpenPlansRead:
    """Command: list the open plans through the log, like `PlanRead`."""

    wall: float


@wire.message(540)
@attrs.frozen
class Answer:
    """Answer to an operator.

    :param reason: value of the `reasons.Refusal`, "" on success
    :param text: one or two sentences for the operator
    :param plan: the requested plan, or the new one that replaces it
    """

    reason: str = ""
    text: str = ""
    plan: Plan | None = None


@wire.message(541)
@attrs.frozen
class Applied:
    """Result of a configuration command.

    :param revision: revision that the command created
    """

    revision: int


@wire.message(542)
@attrs.frozen
class OpenPlans:
    """Result of `OpenPlansRead`, oldest plan first."""

    plans: tuple[Plan, ...] = ()
