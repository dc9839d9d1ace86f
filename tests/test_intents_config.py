"""Tests of the configuration state machine, one command a revision."""

import attrs
import pytest

from ebonytally import commands
from ebonytally import config
from ebonytally import view


def _vm(name: str, last: int, control: bool = True) -> view.Vm:
    return view.Vm(name, f"127.0.0.{last}", "north", "west", control)


def _service(name: str = "desk", port: int = 80) -> view.Service:
    return view.Service(name, "10.9.0.1", port, 6, ("north", "south"))


def _upstream(last: int, centre: str, incarnation: int = 1) -> view.Upstream:
    address = f"127.1.0.{last}"
    return view.Upstream(
        0, "desk", address, 9000, 9001, centre, 2, 2000, incarnation
    )


def _applied(*steps: object) -> view.View:
    cfg = view.View()
    for step in steps:
        cfg = config.apply(cfg, step)
    return cfg


_START = (
    commands.Genesis((_vm("a", 1), _vm("b", 2), _vm("c", 3))),
    commands.ServiceSet(_service()),
    commands.UpstreamSeen(_upstream(1, "north")),
    commands.UpstreamSeen(_upstream(2, "south")),
)


def test_each_command_is_one_revision_also_when_it_changes_nothing():
    cfg = _applied(*_START)
    assert (cfg.revision, cfg.config_revision) == (4, 2)
    again = _applied(*_START, *_START)
    assert again == attrs.evolve(cfg, revision=8)


def test_new_incarnation_gets_a_new_id_and_old_ids_never_come_back():
    cfg = _applied(
        *_START,
        commands.UpstreamSeen(_upstream(1, "north", incarnation=2)),
        commands.UpstreamGone(3, 2),
        commands.UpstreamSeen(_upstream(1, "north", incarnation=2)),
    )
    assert sorted(up.id for up in cfg.upstreams) == [2, 4]
    late = config.apply(cfg, commands.UpstreamSeen(_upstream(1, "north")))
    assert late == attrs.evolve(cfg, revision=cfg.revision + 1)


def test_late_share_does_not_undo_a_drain():
    up = view.UpstreamState.UP
    draining = view.UpstreamState.DRAINING
    cfg = _applied(
        *_START,
        commands.UpstreamMarked(1, 1, draining, 1000),
        commands.UpstreamMarked(1, 1, up, 500),
    )
    assert cfg.upstreams[0].state is draining


def test_keeper_epoch_moves_only_with_the_vms_that_are_up():
    cfg = _applied(*_START)
    assert cfg.keeper_epoch == 1
    cfg = config.apply(cfg, commands.VmMarked("a", view.VmState.DOWN, 0))
    assert cfg.keeper_epoch == 5
    cfg = config.apply(cfg, commands.VmMarked("a", view.VmState.DOWN, 0))
    assert cfg.keeper_epoch == 5
    cfg = config.apply(cfg, commands.VmMarked("a", view.VmState.UP, 1))
    assert cfg.keeper_epoch == 7
    stale = config.apply(cfg, commands.VmMarked("a", view.VmState.DOWN, 0))
    assert stale.vms == cfg.vms


def test_out_and_back_replan_and_count_as_operators_changes():
    cfg = _applied(*_START, commands.DataCentreOut("north"))
    assert cfg.out == ("north",)
    assert cfg.config_revision == cfg.revision == 5
    table = cfg.tables[0]
    targets = set(table.bases) - {1}
    targets.update(state.next for state in table.kept)
    assert targets == {2}
    cfg = config.apply(cfg, commands.DataCentreBack("north"))
    assert cfg.out == ()


def test_services_do_not_share_an_address_and_keep_their_slots():
    cfg = _applied(*_START)
    taken = config.apply(cfg, commands.ServiceSet(_service("store")))
    assert taken.services == cfg.services
    other = attrs.evolve(_service(), slots=64, max_queue=9)
    cfg = config.apply(cfg, commands.ServiceSet(other))
    assert (cfg.services[0].slots, cfg.services[0].max_queue) == (1024, 9)


def test_removed_service_takes_its_upstreams_and_table_along():
    cfg = _applied(*_START, commands.ServiceRemoved("desk"))
    assert (cfg.services, cfg.upstreams, cfg.tables) == ((), (), ())
    assert cfg.next_upstream_id == 3


def test_what_is_no_command_is_refused():
    with pytest.raises(TypeError):
        config.apply(view.View(), "genesis")


def test_a_data_centre_without_entry_vms_gets_no_new_flows():
    """Nobody hears its upstreams; open flows stay where they are."""
    vms = tuple(
        view.Vm(f"vm-{name}", f"127.0.0.{index}", name, "west", False)
        for index, name in enumerate(("one", "two"), start=1)
    )
    service = view.Service("desk", "10.0.0.1", 443, 6, ("one", "two"))
    state = config.apply(view.View(), commands.Genesis(vms))
    state = config.apply(state, commands.ServiceSet(service))
    for index, name in enumerate(("one", "two"), start=1):
        up = view.Upstream(
            0, "desk", f"127.0.1.{index}", 1, 2, name, 2, 2000, 1
        )
        state = config.apply(state, commands.UpstreamSeen(up))
    down = commands.VmMarked("vm-two", view.VmState.DOWN, 0)
    dark = config.apply(state, down)
    targets = _targets(dark)
    assert targets == {1}
    back = config.apply(dark, attrs.evolve(down, state=view.VmState.UP))
    assert _targets(back) == {1, 2}


def _targets(state):
    table = state.tables[0]
    targets = dict(enumerate(table.bases))
    targets.update({one.slot: one.next for one in table.kept})
    return set(targets.values())
