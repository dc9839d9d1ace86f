"""Lease, configuration and reachable peers of one entry VM."""

import attrs

from ebonytally.flows import flow_owners
from ebonytally import view

MAX_REMEMBERED_UPSTREAMS = 10_000


@attrs.define
class Environment:
    """What flow decisions at one entry VM depend on besides records.

    :param peers: names of the other entry VMs that are heard from
    :param leased: this VM's configuration lease has not expired
    :param state: the configuration
    :param owners: owners of slot groups by `state`
    :param data_centre_by_upstream: also of upstreams that are gone, by id
    """

    local_vm: str
    data_centre: str
    peers: frozenset[str] = frozenset()
    leased: bool = False
    state: view.View = attrs.field(factory=view.View)
    owners: flow_owners.Owners = attrs.field(factory=flow_owners.Owners)
    data_centre_by_upstream: dict[int, str] = attrs.field(factory=dict)

    @property
    def epoch(self) -> int:
        """Return the owner epoch: the revision of the latest owners."""
        return self.state.owner_epoch

    def is_reachable(self, name: str) -> bool:
        """Return whether packets may be forwarded to this entry VM."""
        return name == self.local_vm or name in self.peers

    def peer_in(self, data_centre: str) -> str:
        """Return a reachable entry VM of a data centre, "" for none."""
        for vm in self.state.vms:
            if vm.data_centre == data_centre and vm.name in self.peers:
                return vm.name
        return ""

    def is_fully_connected(self) -> bool:
        """Return whether no entry VM is down or unreachable."""
        return all(
            vm.state is not view.VmState.DOWN and self.is_reachable(vm.name)
            for vm in self.state.vms
        )

    def is_taken_out(self, upstream: int) -> bool:
        """Return whether the upstream's data centre is taken out."""
        return self.data_centre_by_upstream.get(upstream) in self.state.out

    def may_be_alive(self, upstream: int) -> bool:
        """Return whether a removed upstream may still be alive.

        It may be when no entry VM of its data centre is heard from, as in
        a partition, or when its data centre isn't known.
        """
        data_centre = self.data_centre_by_upstream.get(upstream)
        if data_centre is None:
            return True
        return data_centre != self.data_centre and not self.peer_in(
            data_centre
        )

    def record_data_centres(self) -> None:
        """Store the data centres of the configuration's upstreams."""
        for upstream in self.state.upstreams:
            self.data_centre_by_upstream[upstream.id] = upstream.data_centre
        while len(self.data_centre_by_upstream) > MAX_REMEMBERED_UPSTREAMS:
            del self.data_centre_by_upstream[
                next(iter(self.data_centre_by_upstream))
            ]
