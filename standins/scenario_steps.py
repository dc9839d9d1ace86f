"""The steps of the scenario language; docs/SCENARIOS.md lists them.

A step is a pattern and a function of the world. Any step may begin with
``at N s``: time passes until then first.
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
    """A step that can't be done or doesn't hold."""


@attrs.frozen
class Step:
    """One step of the language."""

    text: str
    pattern: parse.Parser
    act: Callable[..., None]


@attrs.define
class Context:
    """What steps share.

    :param confirmed_at: when the last plan was confirmed, seconds
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
    """Return the step that a line means, and its values.

    :raises StepError: when the line means none
    """
    for step in STEPS:
        found = step.pattern.parse(text)
        if found is not None:
            return step, found.named
    raise StepError(f"no such step: {text}")


def _world(ctx: Context) -> worlds.World:
    if ctx.world is None:
        raise StepError('begin with "Given the customer NAME with seed N"')
    return ctx.world


def _vm(ctx: Context, name: str) -> worlds.Vm:
    known = _world(ctx).vms
    if name not in known:
        raise StepError(f"no VM {name}; there are {', '.join(known)}")
    return known[name]


def _upstream(ctx: Context, name: str):
    known = _world(ctx).upstreams
    if name not in known:
        raise StepError(f"no upstream {name}; there are {', '.join(known)}")
    return known[name]


def _centre(ctx: Context, name: str) -> str:
    known = _world(ctx).centres()
    if name not in known:
        raise StepError(f"no data centre {name}; there are {known}")
    return name


def _service(ctx: Context, name: str) -> str:
    known = _world(ctx).customer.endpoints
    if name not in known:
        raise StepError(f"no service {name}; there are {', '.join(known)}")
    return name


# Setting out.


@_step("the customer {name} with seed {seed:d}")
def _customer(ctx: Context, name: str, seed: int) -> None:
    """Start the customer's VMs and upstreams and create its services."""
    if name not in worlds.deployment.CUSTOMERS:
        known = ", ".join(worlds.deployment.CUSTOMERS)
        raise StepError(f"no customer {name}; there are {known}")
    ctx.world = worlds.World(name, seed)
    _everyone_leased(ctx, 10.0)
    for service in ctx.world.customer.endpoints:
        made = view.Service(
            service,
            ctx.world.address(service),
            443,
            6,
            tuple(ctx.world.centres()),
        )
        _intend(ctx, plan_messages.CreateService(made))
    _all_announced(ctx, 10.0)


@_step("{count:d} open flows")
def _flows(ctx: Context, count: int) -> None:
    """Open flows that talk once a second from now on."""
    world = _world(ctx)
    world.requests.open_flows(count)
    world.run_until(world.now + 1.0)


@_step("requests at {load:d} percent load")
def _load(ctx: Context, load: int) -> None:
    """Offer requests to all services from now on."""
    _world(ctx).requests.offer(load / 100)


@_step("{seconds:g} s pass")
def _pass(ctx: Context, seconds: float) -> None:
    """Let time pass."""
    world = _world(ctx)
    world.run_until(world.now + seconds)


# Operators.


def _ask(ctx: Context, vm: str, request) -> list[plan_messages.Answer]:
    answers: list[plan_messages.Answer] = []
    _world(ctx).requests.operate(vm, request, answers.append)
    return answers


def _any_vm(ctx: Context) -> str:
    world = _world(ctx)
    names = [vm.cfg.name for vm in world.running()]
    leased = [
        name for name in names if world.vms[name].node.spread.leased(world.now)
    ]
    return world.rng.choice(leased or names)


def _wait(ctx: Context, answers: list) -> plan_messages.Answer:
    world = _world(ctx)
    world.run_while(lambda: not answers, ANSWER_LIMIT_S)
    if not answers:
        raise StepError("no answer to the operator")
    return answers[0]


def _state(ctx: Context, intent: plan_messages.Intent) -> None:
    ctx.intents += 1
    ctx.last_intent = intent
    name = f"intent-{ctx.intents}"
    request = intent_requests.StateIntent(OPERATORS[0], name, intent)
    answer = _wait(ctx, _ask(ctx, _any_vm(ctx), request))
    if answer.reason:
        raise StepError(f"refused, {answer.reason}: {answer.text}")
    ctx.plan = answer.plan


def _confirm(ctx: Context, operator: str, name: str) -> list:
    if ctx.plan is None:
        raise StepError("there is no plan to confirm")
    request = intent_requests.ConfirmPlan(operator, name, ctx.plan.id)
    return _ask(ctx, _any_vm(ctx), request)


def _intend(ctx: Context, intent: plan_messages.Intent) -> None:
    _state(ctx, intent)
    answers = _confirm(ctx, OPERATORS[0], f"confirm-{ctx.intents}")
    if isinstance(intent, plan_messages.BringBack):
        _world(ctx).set_out(intent.data_centre, False)
    answer = _wait(ctx, answers)
    if answer.reason:
        raise StepError(f"refused, {answer.reason}: {answer.text}")
    ctx.answers = [answer]
    _confirmed(ctx, intent)


def _confirmed(ctx: Context, intent: plan_messages.Intent) -> None:
    world = _world(ctx)
    ctx.confirmed_at = world.now
    if isinstance(intent, plan_messages.TakeOut):
        world.set_out(intent.data_centre, True)


@_step("data centre {name} is taken out")
def _out(ctx: Context, name: str) -> None:
    """State the intent, read the plan and confirm it."""
    _intend(ctx, plan_messages.TakeOut(_centre(ctx, name)))


@_step("data centre {name} is brought back")
def _back(ctx: Context, name: str) -> None:
    """State the intent, read the plan and confirm it."""
    _intend(ctx, plan_messages.BringBack(_centre(ctx, name)))


@_step("service {name} may queue {count:d} requests")
def _queue(ctx: Context, name: str, count: int) -> None:
    """Change a limit of a service, as one more configuration change."""
    service = _service(ctx, name)
    _intend(ctx, plan_messages.ChangeService(service, max_queue=count))


@_step("{count:d} changes are confirmed")
def _changes(ctx: Context, count: int) -> None:
    """Confirm that many changes of a limit, one after the other."""
    service = next(iter(_world(ctx).customer.endpoints))
    for index in range(count):
        _queue(ctx, service, 65 + index % 2)


@_step("an operator plans to take data centre {name} out")
def _plan_out(ctx: Context, name: str) -> None:
    """State the intent only."""
    _state(ctx, plan_messages.TakeOut(_centre(ctx, name)))


@_step("two operators confirm that plan at once with equal numbers")
def _race(ctx: Context) -> None:
    """Confirm by both operators at two VMs in the same moment."""
    both = [_confirm(ctx, name, "17") for name in OPERATORS]
    ctx.answers = [_wait(ctx, answers) for answers in both]
    if any(not answer.reason for answer in ctx.answers):
        _confirmed(ctx, ctx.last_intent)


@_step("the intent is resent at every VM")
def _resend(ctx: Context) -> None:
    """Resend the last intent; each answer must name the same plan."""
    world = _world(ctx)
    name = f"intent-{ctx.intents}"
    request = intent_requests.StateIntent(
        OPERATORS[0],
        name,
        ctx.last_intent,
    )
    for vm in world.running():
        answer = _wait(ctx, _ask(ctx, vm.cfg.name, request))
        if answer.plan is None or answer.plan.id != ctx.plan.id:
            raise StepError(f"{vm.cfg.name} gave another answer")


@_step("one of them is told that it is in force and one is refused")
def _one_refused(ctx: Context) -> None:
    """Check the answers to two confirmations."""
    refused = [answer for answer in ctx.answers if answer.reason]
    if len(ctx.answers) != 2 or len(refused) != 1:
        said = [answer.reason or "in force" for answer in ctx.answers]
        raise StepError(f"the answers were {said}")


# Faults of VMs and networks.


@_step("VM {name} is lost")
def _lost(ctx: Context, name: str) -> None:
    """End a VM at once; what it didn't sync is gone."""
    _vm(ctx, name)
    _world(ctx).lose(name)


@_step("VM {name} stops")
def _stops(ctx: Context, name: str) -> None:
    """Stop a VM as planned."""
    _vm(ctx, name)
    _world(ctx).stop(name)


@_step("VM {name} starts")
def _starts(ctx: Context, name: str) -> None:
    """Start a VM on its data folder."""
    if _vm(ctx, name).node is not None:
        raise StepError(f"{name} runs already")
    _world(ctx).start(name)


@_step("VM {name} freezes for {seconds:g} s")
def _freezes(ctx: Context, name: str, seconds: float) -> None:
    """A VM does nothing for a while, then goes on where it was."""
    vm = _vm(ctx, name)
    vm.frozen_until = _world(ctx).now + seconds


@_step("VM {name} is slow by {delay:d} ms")
def _slow(ctx: Context, name: str, delay: int) -> None:
    """Delay all messages to and from a VM; 0 ms ends it."""
    _vm(ctx, name)
    _world(ctx).net.slow(name, delay / 1000)


@_step("VM {name} loses its disk")
def _wiped(ctx: Context, name: str) -> None:
    """Lose a VM together with its data folder."""
    vm = _vm(ctx, name)
    if vm.node is not None:
        _world(ctx).lose(name)
    vm.disk.wipe()
    vm.revision = 0
    vm.config_revision = 0


@_step("the disk of VM {name} is full")
def _full(ctx: Context, name: str) -> None:
    """Refuse every write from now on."""
    _vm(ctx, name).disk.full = True


@_step("the disk of VM {name} has room")
def _room(ctx: Context, name: str) -> None:
    """Take writes again."""
    _vm(ctx, name).disk.full = False


@_step("the log of VM {name} ends in a torn record")
def _torn(ctx: Context, name: str) -> None:
    """Leave a half-written record; the VM must be lost before."""
    vm = _vm(ctx, name)
    if vm.node is not None:
        raise StepError(f"{name} runs: lose it first")
    vm.disk.tear()


@_step("data centre {name} is lost")
def _centre_lost(ctx: Context, name: str) -> None:
    """Lose all VMs and upstreams of a data centre at once."""
    world = _world(ctx)
    centre = _centre(ctx, name)
    for vm in world.running():
        if vm.cfg.data_centre == centre:
            world.lose(vm.cfg.name)
    for one in world.upstreams.values():
        if one.data_centre == centre:
            _upstream_lost(ctx, one.name)


@_step("data centre {name} is cut off")
def _cut_off(ctx: Context, name: str) -> None:
    """Cut a data centre from all others, both ways."""
    world = _world(ctx)
    for other in world.centres():
        if other != _centre(ctx, name):
            world.net.cut(name, other, both=True)


@_step("data centres {one} and {two} are cut from each other")
def _cut_pair(ctx: Context, one: str, two: str) -> None:
    """Cut two data centres from each other, both ways."""
    world = _world(ctx)
    world.net.cut(_centre(ctx, one), _centre(ctx, two), both=True)


@_step("messages from {one} to {two} are lost")
def _cut_one_way(ctx: Context, one: str, two: str) -> None:
    """Cut one direction between two data centres."""
    world = _world(ctx)
    world.net.cut(_centre(ctx, one), _centre(ctx, two), both=False)


@_step("the network heals")
def _heal(ctx: Context) -> None:
    """End all cuts."""
    _world(ctx).net.heal()


@_step("{share:d} percent of messages are dropped")
def _drop(ctx: Context, share: int) -> None:
    """Lose a share of the messages between VMs."""
    _world(ctx).net.faults.drop = share / 100


@_step("{share:d} percent of messages are duplicated")
def _duplicate(ctx: Context, share: int) -> None:
    """Deliver a share of the messages between VMs twice."""
    _world(ctx).net.faults.duplicate = share / 100


@_step("messages are delayed by up to {delay:d} ms")
def _delayed(ctx: Context, delay: int) -> None:
    """Delay messages unevenly, so that they change places."""
    _world(ctx).net.faults.extra_s = delay / 1000


# Faults of upstreams.


@_step("upstream {name} drains")
def _drains(ctx: Context, name: str) -> None:
    """Announce draining; the upstream goes on with its work."""
    one = _upstream(ctx, name)
    one.state = "draining"
    _world(ctx).announce(one)


@_step("upstream {name} is lost")
def _upstream_lost(ctx: Context, name: str) -> None:
    """End an upstream at once; its flows and runs are gone."""
    one = _upstream(ctx, name)
    one.state = "gone"
    one.running = []
    _give_up_flows(ctx, name)


@_step("upstream {name} starts cold")
def _cold(ctx: Context, name: str) -> None:
    """Restart an upstream: a new incarnation that bears little."""
    one = _upstream(ctx, name)
    _give_up_flows(ctx, name)
    one.restart(one.incarnation + 1)
    _world(ctx).announce(one)


@_step("all upstreams of {service} start cold")
def _all_cold(ctx: Context, service: str) -> None:
    """Restart every upstream of a service."""
    _service(ctx, service)
    for one in _world(ctx).upstreams.values():
        if one.service == service:
            _cold(ctx, one.name)


@_step("upstream {name} takes over the address of {other}")
def _reuse(ctx: Context, name: str, other: str) -> None:
    """Start an upstream on the address of another that is gone."""
    one = _upstream(ctx, name)
    gone = _upstream(ctx, other)
    if gone.state != "gone":
        raise StepError(f"{other} still has its address")
    _give_up_flows(ctx, name)
    one.address, gone.address = gone.address, one.address
    one.restart(one.incarnation + 1)
    _world(ctx).announce(one)


@_step("health and load of {service} lie")
def _lie(ctx: Context, service: str) -> None:
    """Its pages say that all is well from now on."""
    _service(ctx, service)
    for one in _world(ctx).upstreams.values():
        one.lies = one.lies or one.service == service


@_step("open connections from VM {vm} to {service} go silent")
def _silent(ctx: Context, vm: str, service: str) -> None:
    """Open connections swallow everything; new ones work."""
    _vm(ctx, vm)
    _service(ctx, service)
    for one in _world(ctx).upstreams.values():
        if one.service == service:
            one.silent_from.add(vm)


@_step("{share:d} percent of the answers of {service} are lost")
def _answers_lost(ctx: Context, share: int, service: str) -> None:
    """The request runs, its answer doesn't come."""
    _service(ctx, service)
    for one in _world(ctx).upstreams.values():
        if one.service == service:
            one.lose_answers = share / 100


def _give_up_flows(ctx: Context, name: str) -> None:
    for flow in _world(ctx).judge.flows.values():
        if flow.first == name:
            flow.given_up = True


# Expectations.


def check_promises(ctx: Context) -> None:
    """Check everything that must always hold; done after each step.

    :raises StepError: with the promises that were broken
    """
    world = _world(ctx)
    if world.broken:
        raise StepError("; ".join(world.broken[:5]))


@_step("no promise is broken")
def _kept(ctx: Context) -> None:
    """Check everything that must always hold."""
    check_promises(ctx)


@_step("within {limit:g} s no packet reaches {name}")
def _no_packet(ctx: Context, limit: float, name: str) -> None:
    """Nothing gets into a data centre after the limit."""
    world = _world(ctx)
    since = ctx.confirmed_at
    world.run_until(max(world.now, since + limit + 2.0))
    late = world.last_into(_centre(ctx, name)) - since
    if late > limit:
        raise StepError(f"the last came after {late:.2f} s")


@_step("within {limit:g} s the configuration is in force everywhere")
def _in_force(ctx: Context, limit: float) -> None:
    """Every VM that runs has applied what was confirmed last."""
    world = _world(ctx)
    if ctx.plan is None:
        raise StepError("nothing was confirmed")
    wanted = _revision_in_force(ctx)

    def unmet() -> bool:
        return any(
            vm.node.present.config_revision < wanted for vm in world.running()
        )

    if not world.run_while(unmet, ctx.confirmed_at + limit - world.now):
        raise StepError(f"not everywhere at revision {wanted}")


def _revision_in_force(ctx: Context) -> int:
    machines: list[control_state.Machine] = [
        vm.node.machine
        for vm in _world(ctx).running()
        if vm.node.machine is not None
    ]
    return max(machine.view.config_revision for machine in machines)


@_step("within {limit:g} s every VM that runs has a lease")
def _everyone_leased(ctx: Context, limit: float) -> None:
    """No VM is cut off."""
    world = _world(ctx)

    def unmet() -> bool:
        return not all(
            vm.node.spread.leased(world.now) for vm in world.running()
        )

    if not world.run_while(unmet, limit):
        raise StepError("a VM has no lease")


@_step("within {limit:g} s every upstream is announced everywhere")
def _all_announced(ctx: Context, limit: float) -> None:
    """Every VM knows each upstream that isn't gone."""
    world = _world(ctx)
    wanted = {
        (one.address, one.incarnation)
        for one in world.upstreams.values()
        if one.state == "up"
    }

    def unmet() -> bool:
        return any(
            not wanted
            <= {
                (one.address, one.incarnation)
                for one in vm.node.present.upstreams
            }
            for vm in world.running()
        )

    if not world.run_while(unmet, limit):
        raise StepError("an upstream isn't known everywhere")


@_step("in the next {span:g} s at least {share:g} percent are answered")
def _answered(ctx: Context, span: float, share: float) -> None:
    """Count answers among the ends of requests in a span of time."""
    world = _world(ctx)
    begin = world.now
    world.run_until(begin + span)
    ends = [what for at, what in world.requests.outcomes if at >= begin]
    if not ends:
        raise StepError("no request ended")
    got = 100 * ends.count("answered") / len(ends)
    world.note(f"{got:.2f} percent of {len(ends)} answered")
    if got < share:
        raise StepError(f"{got:.2f} percent of {len(ends)} were answered")


@_step("{name} gets no new work after {limit:g} s")
def _no_new_work(ctx: Context, name: str, limit: float) -> None:
    """A leaving upstream begins nothing new after the limit."""
    world = _world(ctx)
    one = _upstream(ctx, name)
    world.run_until(world.now + limit)
    begun = len(one.starts)
    flows = _flows_of(ctx, name)
    world.run_until(world.now + 3.0)
    latest = [at for at in one.starts if at > world.now - 3.0]
    if latest:
        raise StepError(f"{len(latest)} requests began later, of {begun}")
    if _flows_of(ctx, name) - flows:
        raise StepError("a flow began later")


def _flows_of(ctx: Context, name: str) -> set[int]:
    return {
        flow.number
        for flow in _world(ctx).judge.flows.values()
        if flow.first == name
    }


@_step("VM {name} says that it is cut off")
def _says_cut_off(ctx: Context, name: str) -> None:
    """Check what status would show at a VM."""
    vm = _vm(ctx, name)
    world = _world(ctx)
    facts = vm.node.facts(world.now, world.wall())
    if facts.leased:
        raise StepError(f"{name} says that it is in touch")


@_step("VM {name} refuses to start or knows that its disk is empty")
def _no_vote(ctx: Context, name: str) -> None:
    """An empty data folder never counts as a voter that remembers."""
    vm = _vm(ctx, name)
    if vm.node is None or vm.node.agreement is None:
        return
    if vm.node.agreement.is_leader:
        raise StepError(f"{name} leads with an empty disk")


@_step("{count:d} more flows open and are served")
def _new_flows(ctx: Context, count: int) -> None:
    """Open flows and see that each gets through to an upstream."""
    world = _world(ctx)
    before = set(world.judge.flows)
    world.requests.open_flows(count)
    world.run_until(world.now + 8.0)
    new = set(world.judge.flows) - before
    unserved = [
        number for number in new if not world.judge.flows[number].first
    ]
    if unserved:
        raise StepError(f"{len(unserved)} of {len(new)} got nowhere")


@_step("every open flow is still served")
def _still_served(ctx: Context) -> None:
    """Each flow whose upstream stands gets its packets through."""
    world = _world(ctx)
    world.run_until(world.now + 8.0)
    lost = world.judge.lost_flows(world.now)
    if lost:
        raise StepError(f"{lost} flows get nothing through")
