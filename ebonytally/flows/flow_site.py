"""What one entry VM knows about itself and its peers."""

import attrs

from ebonytally.flows import flow_keepers
from ebonytally import view

MAX_FORMER = 10_000


@attrs.define
class Site:
    """The surroundings of the flow decision at one entry VM.

    :param peers: names of the entry VMs that are heard from
    :param leased: the configuration lease holds
    :param state: the configuration
    :param former: data centre of each upstream ever seen, by id
    """

    me: str
    data_centre: str
    peers: frozenset[str] = frozenset()
    leased: bool = False
    state: view.View = attrs.field(factory=view.View)
    keepers: flow_keepers.Keepers = attrs.field(factory=flow_keepers.Keepers)
    former: dict[int, str] = attrs.field(factory=dict)

    @property
    def epoch(self) -> int:
        """Return the revision at which the keepers last changed."""
        return self.state.keeper_epoch

    def heard(self, name: str) -> bool:
        """Tell whether a packet may be handed to this entry VM."""
        return name == self.me or name in self.peers

    def peer_in(self, data_centre: str) -> str:
        """Return a heard entry VM of a data centre, "" for none."""
        for vm in self.state.vms:
            if vm.data_centre == data_centre and vm.name in self.peers:
                return vm.name
        return ""

    def whole(self) -> bool:
        """Tell whether every entry VM is up and heard from."""
        return all(
            vm.state is not view.VmState.DOWN and self.heard(vm.name)
            for vm in self.state.vms
        )

    def is_out(self, upstream: int) -> bool:
        """Tell whether the upstream's data centre is taken out."""
        return self.former.get(upstream) in self.state.out

    def is_lost(self, upstream: int) -> bool:
        """Tell whether the upstream is gone though it may be alive.

        So it is when no entry VM of its data centre is heard from.
        """
        data_centre = self.former.get(upstream)
        if data_centre is None:
            return True
        return data_centre != self.data_centre and not self.peer_in(
            data_centre
        )

    def remember(self) -> None:
        """Note the data centres of the view's upstreams."""
        for upstream in self.state.upstreams:
            self.former[upstream.id] = upstream.data_centre
        while len(self.former) > MAX_FORMER:
            del self.former[next(iter(self.former))]
