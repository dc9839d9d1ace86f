"""Steps of the scenario language; docs/SCENARIOS.md lists them.

A step is a pattern and a function that acts on the world. Any step may begin
with ``at N s``: virtual time passes until then first. N counts from the end
of the last step that started the customer, opened flows or offered requests.
"""

from collections.abc import Callable

import attrs
import parse

from ebonytally.agreement import control_state
from ebonytally.intents import intent_requests
from ebonytally.intents import plan_messages
from ebonytally import view
from standins import world as worlds

OPERATORS = ("mair", "gethin")
ANSWER_LIMIT_S = 12.0
DRAIN_LIMIT_S = 2.0


class StepError(Exception):
    """A step is unknown, can't be done or its expectation failed."""


@attrs.frozen
class Step:
    """A step of the language.

    :param text: pattern in the syntax of the `parse` library
    :param act: called with the context and the values of the pattern
    """

    text: str
    pattern: parse.Parser
    act: Callable[..., None]


@attrs.define
class Context:
    """State that the steps of a scenario share.

    :param plan: plan of the last intent
    :param confirmed_at: time of the last confirmation, seconds
    :param answers: answers to the last confirmations
    :param intents: number of intents stated so far
    """

    world: worlds.World | None = None
    plan: plan_messages.Plan | None = None
    confirmed_at: float = 0.0
    answers: list[plan_messages.Answer] = attrs.field(factory=list)
    intents: int = 0
    last_intent: plan_messages.Intent | None = None


STEPS: list[Step] = []


def _step(text: str) -> Callable:
    def register(act: Callable[..., None]) -> Callable[..., None]:
        STEPS.append(Step(text, parse.compile(text), act))
        return act

    return register


def find(text: str) -> tuple[Step, dict[str, object]]:
    """Return the step that a line matches, and the values in it.

    :raises StepError: if no step matches
    """
    for step in STEPS:
        match = step.pattern.parse(text)
        if match is not None:
            return step, match.named
    raise StepError(f"unknown step: {text}")


def _world(ctx: Context) -> worlds.World:
    if ctx.world is None:
        raise StepError('begin with "Given the customer NAME with seed N"')
    return ctx.world


def _vm(ctx: Context, name: str) -> worlds.Vm:
    known = _world(ctx).vms
    if name not in known:
        raise StepError(
            f"unknown VM {name}, expected one of {', '.join(known)}"
        )
    return known[name]


def _upstream(ctx: Context, name: str):
    known = _world(ctx).upstreams
    if name not in known:
        raise StepError(
            f"unknown upstream {name}, expected one of {', '.join(known)}"
        )
    return known[name]


def _centre(ctx: Context, name: str) -> str:
    known = _world(ctx).centres()
    if name not in known:
        raise StepError(
            f"unknown data centre {name}, expected one of {', '.join(known)}"
        )
    return name


def _service(ctx: Context, name: str) -> str:
    known = _world(ctx).customer.endpoints
    if name not in known:
        raise StepError(
            f"unknown service {name}, expected one of {', '.join(known)}"
        )
    return name


# Set-up and load.


@_step("the customer {name} with seed {seed:d}")
def _start_customer(ctx: Context, name: str, seed: int) -> None:
    """Start the customer's VMs and upstreams and create its services."""
    if name not in worlds.deployment.CUSTOMERS:
        known = ", ".join(worlds.deployment.CUSTOMERS)
        raise StepError(f"unknown customer {name}, expected one of {known}")
    ctx.world = worlds.World(name, seed)
    _check_all_leased(ctx, 10.0)
    for service in ctx.world.customer.endpoints:
        new_service = view.Service(
            service,
            ctx.world.address(service),
            443,
            6,
            tuple(ctx.world.centres()),
        )
        _carry_out_intent(ctx, plan_messages.CreateService(new_service))
    _check_all_announced(ctx, 10.0)


@_step("{count:d} open flows")
def _open_flows(ctx: Context, count: int) -> None:
    """Open flows, each with about one packet a second from now on."""
    world = _world(ctx)
    world.requests.open_flows(count)
    world.run_until(world.now + 1.0)


@_step("requests at {load:d} percent load")
def _offer_requests(ctx: Context, load: int) -> None:
    """Offer requests to all services from now on."""
    _world(ctx).requests.offer(load / 100)


@_step("{seconds:g} s pass")
def _let_time_pass(ctx: Context, seconds: float) -> None:
    """Run the world for a span of virtual time."""
    world = _world(ctx)
    world.run_until(world.now + seconds)


# Operators and intents.


def _send_to_vm(ctx: Context, vm: str, request) -> list[plan_messages.Answer]:
    answers: list[plan_messages.Answer] = []
    _world(ctx).requests.send_operator_request(vm, request, answers.append)
    return answers


def _any_vm(ctx: Context) -> str:
    world = _world(ctx)
    names = [vm.cfg.name for vm in world.running()]
    leased = [
        name
        for name in names
        if world.vms[name].node.dissemination.is_leased(world.now)
    ]
    return world.rng.choice(leased or names)


def _wait_for_answer(ctx: Context, answers: list) -> plan_messages.Answer:
    world = _world(ctx)
    world.run_while(lambda: not answers, ANSWER_LIMIT_S)
    if not answers:
        raise StepError(
            f"the operator got no answer within {ANSWER_LIMIT_S:g} s"
        )
    return answers[0]


def _state_intent(ctx: Context, intent: plan_messages.Intent) -> None:
    ctx.intents += 1
    ctx.last_intent = intent
    name = f"intent-{ctx.intents}"
    request = intent_requests.StateIntent(OPERATORS[0], name, intent)
    answer = _wait_for_answer(ctx, _send_to_vm(ctx, _any_vm(ctx), request))
    if answer.reason:
        raise StepError(f"intent refused, {answer.reason}: {answer.text}")
    ctx.plan = answer.plan


def _confirm_plan(ctx: Context, operator: str, name: str) -> list:
    if ctx.plan is None:
        raise StepError("there is no plan to confirm")
    request = intent_requests.ConfirmPlan(operator, name, ctx.plan.id)
    return _send_to_vm(ctx, _any_vm(ctx), request)


def _carry_out_intent(ctx: Context, intent: plan_messages.Intent) -> None:
    _state_intent(ctx, intent)
    answers = _confirm_plan(ctx, OPERATORS[0], f"confirm-{ctx.intents}")
    if isinstance(intent, plan_messages.BringBack):
        _world(ctx).set_out(intent.data_centre, False)
    answer = _wait_for_answer(ctx, answers)
    if answer.reason:
        raise StepError(f"intent refused, {answer.reason}: {answer.text}")
    ctx.answers = [answer]
    _on_confirmed(ctx, intent)


def _on_confirmed(ctx: Context, intent: plan_messages.Intent) -> None:
    world = _world(ctx)
    ctx.confirmed_at = world.now
    if isinstance(intent, plan_messages.TakeOut):
        world.set_out(intent.data_centre, True)


@_step("data centre {name} is taken out")
def _take_out(ctx: Context, name: str) -> None:
    """State the intent, read the plan and confirm it."""
    _carry_out_intent(ctx, plan_messages.TakeOut(_centre(ctx, name)))


@_step("data centre {name} is brought back")
def _bring_back(ctx: Context, name: str) -> None:
    """State the intent, read the plan and confirm it."""
    _carry_out_intent(ctx, plan_messages.BringBack(_centre(ctx, name)))


@_step("service {name} may queue {count:d} requests")
def _set_max_queue(ctx: Context, name: str, count: int) -> None:
    """Change the queue limit of a service by an intent."""
    service = _service(ctx, name)
    _carry_out_intent(
        ctx, plan_messages.ChangeService(service, max_queue=count)
    )


@_step("{count:d} changes are confirmed")
def _confirm_changes(ctx: Context, count: int) -> None:
    """Confirm `count` changes of a queue limit, one after another."""
    service = next(iter(_world(ctx).customer.endpoints))
    for index in range(count):
        _set_max_queue(ctx, service, 65 + index % 2)


@_step("an operator plans to take data centre {name} out")
def _plan_out(ctx: Context, name: str) -> None:
    """State the intent and leave its plan unconfirmed."""
    _state_intent(ctx, plan_messages.TakeOut(_centre(ctx, name)))


@_step("two operators confirm that plan at once with equal numbers")
def _confirm_by_both(ctx: Context) -> None:
    """Confirm by both operators at the same moment, with equal ids."""
    pending = [_confirm_plan(ctx, name, "17") for name in OPERATORS]
    ctx.answers = [_wait_for_answer(ctx, answers) for answers in pending]
    if any(not answer.reason for answer in ctx.answers):
        _on_confirmed(ctx, ctx.last_intent)


@_step("the intent is resent at every VM")
def _resend_intent(ctx: Context) -> None:
    """Resend the last intent to each VM; the answer must be idempotent."""
    world = _world(ctx)
    name = f"intent-{ctx.intents}"
    request = intent_requests.StateIntent(
        OPERATORS[0],
        name,
        ctx.last_intent,
    )
    for vm in world.running():
        answer = _wait_for_answer(ctx, _send_to_vm(ctx, vm.cfg.name, request))
        if answer.plan is None or answer.plan.id != ctx.plan.id:
            raise StepError(
                f"{vm.cfg.name} answered the resent intent with another plan"
            )


@_step("one of them is told that it is in force and one is refused")
def _check_one_refused(ctx: Context) -> None:
    """Check that one of two confirmations was refused."""
    refused = [answer for answer in ctx.answers if answer.reason]
    if len(ctx.answers) != 2 or len(refused) != 1:
        results = [answer.reason or "in force" for answer in ctx.answers]
        raise StepError(
            f"expected one confirmation in force and one refused, "
            f"got {results}"
        )


# Faults of VMs, disks and networks.


@_step("VM {name} is lost")
def _crash_vm(ctx: Context, name: str) -> None:
    """End a VM at once; unsynced writes are lost."""
    _vm(ctx, name)
    _world(ctx).crash_vm(name)


@_step("VM {name} stops")
def _stop_vm(ctx: Context, name: str) -> None:
    """Shut a VM down gracefully."""
    _vm(ctx, name)
    _world(ctx).stop_vm(name)


@_step("VM {name} starts")
def _start_vm(ctx: Context, name: str) -> None:
    """Start a VM on what its disk holds."""
    if _vm(ctx, name).node is not None:
        raise StepError(f"VM {name} runs already")
    _world(ctx).start_vm(name)


@_step("VM {name} freezes for {seconds:g} s")
def _freeze_vm(ctx: Context, name: str, seconds: float) -> None:
    """Suspend a VM for a while; then it continues where it was."""
    vm = _vm(ctx, name)
    vm.frozen_until = _world(ctx).now + seconds


@_step("VM {name} is slow by {delay:d} ms")
def _delay_vm(ctx: Context, name: str, delay: int) -> None:
    """Add a delay to all messages from and to a VM; 0 ms ends it."""
    _vm(ctx, name)
    _world(ctx).net.set_delay(name, delay / 1000)


@_step("VM {name} loses its disk")
def _wipe_disk(ctx: Context, name: str) -> None:
    """End a VM at once and wipe its disk."""
    vm = _vm(ctx, name)
    if vm.node is not None:
        _world(ctx).crash_vm(name)
    vm.disk.wipe()
    vm.revision = 0
    vm.config_revision = 0


@_step("the disk of VM {name} is full")
def _fill_disk(ctx: Context, name: str) -> None:
    """Fail every write from now on."""
    _vm(ctx, name).disk.is_full = True


@_step("the disk of VM {name} has room")
def _free_disk(ctx: Context, name: str) -> None:
    """Let writes succeed again."""
    _vm(ctx, name).disk.is_full = False


@_step("the log of VM {name} ends in a torn record")
def _tear_log(ctx: Context, name: str) -> None:
    """Append a torn record to the log; the VM must not run."""
    vm = _vm(ctx, name)
    if vm.node is not None:
        raise StepError(f"VM {name} runs, expected it to be lost before")
    vm.disk.tear_logs()


@_step("data centre {name} is lost")
def _crash_data_centre(ctx: Context, name: str) -> None:
    """End all VMs and upstreams of a data centre at once."""
    world = _world(ctx)
    centre = _centre(ctx, name)
    for vm in world.running():
        if vm.cfg.data_centre == centre:
            world.crash_vm(vm.cfg.name)
    for upstream in world.upstreams.values():
        if upstream.data_centre == centre:
            _crash_upstream(ctx, upstream.name)


@_step("data centre {name} is cut off")
def _cut_off_data_centre(ctx: Context, name: str) -> None:
    """Partition a data centre from all others, both ways."""
    world = _world(ctx)
    for other in world.centres():
        if other != _centre(ctx, name):
            world.net.cut(name, other, both=True)


@_step("data centres {one} and {two} are cut from each other")
def _cut_pair(ctx: Context, one: str, two: str) -> None:
    """Partition two data centres from each other, both ways."""
    world = _world(ctx)
    world.net.cut(_centre(ctx, one), _centre(ctx, two), both=True)


@_step("messages from {one} to {two} are lost")
def _cut_one_way(ctx: Context, one: str, two: str) -> None:
    """Drop messages in one direction between two data centres."""
    world = _world(ctx)
    world.net.cut(_centre(ctx, one), _centre(ctx, two), both=False)


@_step("the network heals")
def _heal_network(ctx: Context) -> None:
    """End all partitions."""
    _world(ctx).net.heal()


@_step("{share:d} percent of messages are dropped")
def _drop_messages(ctx: Context, share: int) -> None:
    """Drop a share of the messages between VMs."""
    _world(ctx).net.faults.drop = share / 100


@_step("{share:d} percent of messages are duplicated")
def _duplicate_messages(ctx: Context, share: int) -> None:
    """Deliver a share of the messages between VMs twice."""
    _world(ctx).net.faults.duplicate = share / 100


@_step("messages are delayed by up to {delay:d} ms")
def _delay_messages(ctx: Context, delay: int) -> None:
    """Add a random delay to each message, which reorders them."""
    _world(ctx).net.faults.extra_s = delay / 1000


# Faults of upstreams.


@_step("upstream {name} drains")
def _drain_upstream(ctx: Context, name: str) -> None:
    """Announce draining; running requests and flows continue."""
    upstream = _upstream(ctx, name)
    upstream.state = "draining"
    _world(ctx).announce(upstream)


@_step("upstream {name} is lost")
def _crash_upstream(ctx: Context, name: str) -> None:
    """End an upstream at once; its flows and requests are lost."""
    upstream = _upstream(ctx, name)
    upstream.state = "gone"
    upstream.running = []
    _exempt_flows(ctx, name)


@_step("upstream {name} starts cold")
def _restart_upstream(ctx: Context, name: str) -> None:
    """Restart an upstream as a cold one with a new incarnation."""
    upstream = _upstream(ctx, name)
    _exempt_flows(ctx, name)
    upstream.restart(upstream.incarnation + 1)
    _world(ctx).announce(upstream)


@_step("all upstreams of {service} start cold")
def _restart_service(ctx: Context, service: str) -> None:
    """Restart every upstream of a service cold."""
    _service(ctx, service)
    for upstream in _world(ctx).upstreams.values():
        if upstream.service == service:
            _restart_upstream(ctx, upstream.name)


@_step("upstream {name} takes over the address of {other}")
def _reuse_address(ctx: Context, name: str, other: str) -> None:
    """Restart an upstream on the address of another that is gone."""
    upstream = _upstream(ctx, name)
    gone = _upstream(ctx, other)
    if gone.state != "gone":
        raise StepError(
            f"upstream {other} is {gone.state}, expected it to be lost before"
        )
    _exempt_flows(ctx, name)
    upstream.address, gone.address = gone.address, upstream.address
    upstream.restart(upstream.incarnation + 1)
    _world(ctx).announce(upstream)


@_step("health and load of {service} lie")
def _report_healthy(ctx: Context, service: str) -> None:
    """Let health and load pages report that all is well."""
    _service(ctx, service)
    for upstream in _world(ctx).upstreams.values():
        upstream.reports_healthy = (
            upstream.reports_healthy or upstream.service == service
        )


@_step("open connections from VM {vm} to {service} go silent")
def _silence_connections(ctx: Context, vm: str, service: str) -> None:
    """Let open connections drop everything; new ones work."""
    _vm(ctx, vm)
    _service(ctx, service)
    for upstream in _world(ctx).upstreams.values():
        if upstream.service == service:
            upstream.silent_from.add(vm)


@_step("{share:d} percent of the answers of {service} are lost")
def _lose_answers(ctx: Context, share: int, service: str) -> None:
    """Lose a share of the answers of requests that ran."""
    _service(ctx, service)
    for upstream in _world(ctx).upstreams.values():
        if upstream.service == service:
            upstream.lost_answer_share = share / 100


def _exempt_flows(ctx: Context, name: str) -> None:
    """Let the flows of an upstream break without a violation."""
    for flow in _world(ctx).judge.flows.values():
        if flow.first_upstream == name:
            flow.is_exempt = True


# Expectations.


def check_guarantees(ctx: Context) -> None:
    """Check that no guarantee was violated; called after each step.

    :raises StepError: with up to 5 violations
    """
    world = _world(ctx)
    if world.violations:
        raise StepError("; ".join(world.violations[:5]))


@_step("no promise is broken")
def _check_no_violation(ctx: Context) -> None:
    """Check that no guarantee was violated."""
    check_guarantees(ctx)


@_step("within {limit:g} s no packet reaches {name}")
def _check_no_packet(ctx: Context, limit: float, name: str) -> None:
    """Check that no packet reaches a data centre after the limit.

    The limit counts from the last confirmation.
    """
    world = _world(ctx)
    since = ctx.confirmed_at
    world.run_until(max(world.now, since + limit + 2.0))
    late = world.last_arrival_at(_centre(ctx, name)) - since
    if late > limit:
        raise StepError(
            f"the last packet came after {late:.2f} s, allowed {limit:g} s"
        )


@_step("within {limit:g} s the configuration is in force everywhere")
def _check_in_force(ctx: Context, limit: float) -> None:
    """Check that every running VM applies the latest configuration.

    The limit counts from the last confirmation.
    """
    world = _world(ctx)
    if ctx.plan is None:
        raise StepError("no plan was made, expected an intent before")
    wanted = _revision_in_force(ctx)

    def unmet() -> bool:
        return any(
            vm.node.current_view.config_revision < wanted
            for vm in world.running()
        )

    if not world.run_while(unmet, ctx.confirmed_at + limit - world.now):
        raise StepError(
            f"not every VM is at configuration revision {wanted} "
            f"{limit:g} s after the confirmation"
        )


def _revision_in_force(ctx: Context) -> int:
    machines: list[control_state.Machine] = [
        vm.node.machine
        for vm in _world(ctx).running()
        if vm.node.machine is not None
    ]
    return max(machine.view.config_revision for machine in machines)


@_step("within {limit:g} s every VM that runs has a lease")
def _check_all_leased(ctx: Context, limit: float) -> None:
    """Check that no running VM is cut off."""
    world = _world(ctx)

    def unmet() -> bool:
        return not all(
            vm.node.dissemination.is_leased(world.now)
            for vm in world.running()
        )

    if not world.run_while(unmet, limit):
        raise StepError(f"a VM has no lease after {limit:g} s")


@_step("within {limit:g} s every upstream is announced everywhere")
def _check_all_announced(ctx: Context, limit: float) -> None:
    """Check that every running VM knows each upstream that is up."""
    world = _world(ctx)
    wanted = {
        (upstream.address, upstream.incarnation)
        for upstream in world.upstreams.values()
        if upstream.state == "up"
    }

    def unmet() -> bool:
        return any(
            not wanted
            <= {
                (upstream.address, upstream.incarnation)
                for upstream in vm.node.current_view.upstreams
            }
            for vm in world.running()
        )

    if not world.run_while(unmet, limit):
        raise StepError(f"a VM doesn't know every upstream after {limit:g} s")


@_step("in the next {span:g} s at least {share:g} percent are answered")
def _check_answered_share(ctx: Context, span: float, share: float) -> None:
    """Check the share of answers among the requests that end."""
    world = _world(ctx)
    begin = world.now
    world.run_until(begin + span)
    ends = [outcome for at, outcome in world.requests.outcomes if at >= begin]
    if not ends:
        raise StepError(f"no request ended within {span:g} s")
    percent = 100 * ends.count("answered") / len(ends)
    world.add_trace(f"{percent:.2f} percent of {len(ends)} answered")
    if percent < share:
        raise StepError(
            f"{percent:.2f} percent of {len(ends)} requests were answered, "
            f"expected at least {share:g}"
        )


@_step("{name} gets no new work after {limit:g} s")
def _check_no_new_work(ctx: Context, name: str, limit: float) -> None:
    """Check that an upstream gets no request or flow after the limit."""
    world = _world(ctx)
    upstream = _upstream(ctx, name)
    world.run_until(world.now + limit)
    start_count = len(upstream.run_starts)
    flows = _flows_of_upstream(ctx, name)
    world.run_until(world.now + 3.0)
    late_starts = [at for at in upstream.run_starts if at > world.now - 3.0]
    if late_starts:
        raise StepError(
            f"{len(late_starts)} requests began later, {start_count} before"
        )
    if _flows_of_upstream(ctx, name) - flows:
        raise StepError(f"a flow of {name} began later than {limit:g} s")


def _flows_of_upstream(ctx: Context, name: str) -> set[int]:
    return {
        flow.number
        for flow in _world(ctx).judge.flows.values()
        if flow.first_upstream == name
    }


@_step("VM {name} says that it is cut off")
def _check_cut_off(ctx: Context, name: str) -> None:
    """Check that a VM would report in its status that it is cut off."""
    vm = _vm(ctx, name)
    world = _world(ctx)
    facts = vm.node.facts(world.now, world.wall())
    if facts.has_lease:
        raise StepError(f"VM {name} has a lease, expected it to be cut off")


@_step("VM {name} refuses to start or knows that its disk is empty")
def _check_empty_disk(ctx: Context, name: str) -> None:
    """Check that a VM with an empty disk does not lead.

    It has forgotten its votes, so it must not count as a voter.
    """
    vm = _vm(ctx, name)
    if vm.node is None or vm.node.agreement is None:
        return
    if vm.node.agreement.is_leader:
        raise StepError(f"VM {name} is leader, but its disk was empty")


@_step("{count:d} more flows open and are served")
def _check_new_flows(ctx: Context, count: int) -> None:
    """Open flows and check that each reaches an upstream."""
    world = _world(ctx)
    before = set(world.judge.flows)
    world.requests.open_flows(count)
    world.run_until(world.now + 8.0)
    new = set(world.judge.flows) - before
    unserved = [
        number
        for number in new
        if not world.judge.flows[number].first_upstream
    ]
    if unserved:
        raise StepError(
            f"{len(unserved)} of {len(new)} new flows reached no upstream"
        )


@_step("every open flow is still served")
def _check_still_served(ctx: Context) -> None:
    """Check that the latest packets of each live flow are delivered."""
    world = _world(ctx)
    world.run_until(world.now + 8.0)
    lost = world.judge.lost_flows(world.now)
    if lost:
        raise StepError(f"{lost} flows lost all of their latest packets")
