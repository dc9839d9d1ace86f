"""Entry VMs and control VMs that exchange messages without sockets."""

import attrs

from ebonytally import actions
from ebonytally.configuration import machine as machines
from ebonytally.configuration import model
from ebonytally.echo import forwarder
from ebonytally.echo import packets
from ebonytally.echo import placing
from ebonytally.feed import follower
from ebonytally.feed import messages
from ebonytally.feed import server
from ebonytally.load import capacity
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally.registry import registry as registries

LIMITS = registries.Limits(silent_s=3.0, keep_s=60.0)
ROUTE = model.Route(
    "r-1",
    "198.18.0.1",
    443,
    (model.Target("desk", 1),),
    True,
    2.5,
    0.15,
    2,
)
SERVICES = (
    model.Service("desk", 2000, 2.0, 0.0),
    model.Service("store", 2000, 2.0, 0.0),
)
CONTENT = model.Content((ROUTE,), SERVICES, 15.0)
SERVICE_ADDRESS = forwarder.service_address_of(ROUTE)
DATA_CENTRES = ("north", "south", "east", "west")


def announcement(number, **change):
    """Return the announcement of upstream `number`."""
    default = records.Announcement(
        id=f"i-{number:08x}",
        born_ms=1000,
        sequence=1,
        service="desk",
        address=f"10.128.0.{number}",
        port=8080,
        data_centre="north",
        slots=2,
        draining=False,
        cold_for_s=0.0,
    )
    return attrs.evolve(default, **change)


def packet(caller, is_opening=False, cookie=0, **change):
    """Return a packet of a caller's flow."""
    key = caller.to_bytes(6, "big") + SERVICE_ADDRESS
    default = packets.Packet(
        key, SERVICE_ADDRESS, is_opening, False, cookie, 0, 0, b"raw"
    )
    return attrs.evolve(default, **change)


class ControlVm:
    """The parts of a control VM that entry VMs depend on."""

    def __init__(self, name, start=1):
        self.name = name
        self.registry = registries.Registry(
            name,
            LIMITS,
            recorders.MemoryRecorder(),
        )
        self.machine = machines.Machine()
        self.source = server.FeedServer(
            name, start, self.registry, self.machine, (), 0.0
        )
        self.in_touch = True
        self.followers = 1
        self.names = (name,)

    def apply_configuration(self, version, content=CONTENT):
        """Apply a configuration as `version`."""
        configuration = model.configuration(version, content, b"{}")
        self.machine.apply(configuration)
        self.registry.use_services(configuration.service_names())

    def handle(self, peer, msg, now):
        """Handle a message of an entry VM; return the replies."""
        if isinstance(msg, messages.Poll):
            return self.source.handle_poll(
                peer, msg, self.names, self.in_touch, self.followers, now
            )
        if isinstance(msg, messages.RecordsWanted):
            return self.source.handle_records_wanted(peer, msg, now)
        return self.source.handle_part_wanted(peer, msg)


class EntryVm:
    """An entry VM that follows some control VMs.

    `unreachable` names the control VMs whose messages are lost.
    """

    def __init__(self, name, control_vms, seed=1, home="north", shared=None):
        self.name = name
        self.recorder = recorders.MemoryRecorder()
        self.control_vms = {
            control_vm.name: control_vm for control_vm in control_vms
        }
        self.unreachable = set()
        self.registry = registries.Registry(name, LIMITS, self.recorder)
        self.follower = follower.Follower(
            tuple(self.control_vms),
            self.registry,
            self.recorder,
        )
        self.capacity = capacity.Capacity(self.registry, self.recorder, shared)
        self.placing = placing.Placing(
            self.registry, self.follower, 5.0, home, seed, self.capacity
        )
        self.forwarder = forwarder.Forwarder(
            self.registry,
            self.follower,
            self.placing,
            self.recorder,
            (self.capacity,),
        )
        self.now = 0.0
        self.sent = []

    def run(self, seconds):
        """Advance the clock by ticks of 20 ms."""
        for _ in range(round(seconds / 0.02)):
            self.now += 0.02
            self.capacity.tick(self.now)
            self.sent += self.forwarder.tick(self.now)
            self.deliver(self.follower.tick(self.now))

    def deliver(self, out):
        """Deliver messages to control VMs, and their replies."""
        for action in out:
            assert isinstance(action, actions.Send)
            if action.peer in self.unreachable:
                continue
            peer = self.control_vms[action.peer]
            for reply in peer.handle(self.name, action.msg, self.now):
                out = self.follower.handle(peer.name, reply.msg, self.now)
                self.forwarder.on_update()
                self.deliver(out)

    def packet(self, caller, **change):
        """Return what the forwarder sends for a packet."""
        return self.forwarder.handle_packet(packet(caller, **change), self.now)

    def open(self, caller):
        """Open a flow; return its upstream's id and its cookie."""
        (out,) = self.packet(caller, is_opening=True)
        self.packet(caller, cookie=out.cookie)
        return out.id, out.cookie

    def refused(self):
        """Return the reason of each refused flow."""
        return [
            fields["reason"]
            for event, fields in self.recorder.events
            if event.name == "FLOW_REFUSED"
        ]


def make_harness(upstreams=3, **change):
    """Return a control VM with upstreams, and a synchronised entry VM."""
    control = ControlVm("c1")
    control.apply_configuration(2)
    for number in range(1, upstreams + 1):
        control.registry.on_announcement(announcement(number, **change), 0.0)
    entry = EntryVm("e1", [control])
    entry.run(1.0)
    assert entry.follower.is_complete()
    return control, entry


def make_fleet_harness(upstreams):
    """Return a control VM, and an entry VM in the first data centre.

    Both know so many upstreams, which are spread over `DATA_CENTRES`.
    """
    control = ControlVm("c1")
    control.apply_configuration(2)
    for number in range(1, upstreams + 1):
        fields = {
            "address": f"10.0.{number // 256}.{number % 256}",
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
        }
        control.registry.on_announcement(announcement(number, **fields), 0.0)
    entry = EntryVm("e1", [control], home=DATA_CENTRES[0])
    entry.run(1.0)
    assert len(entry.registry) == upstreams
    return control, entry
