"""Tests of the configuration state machine."""

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


def _apply_all(*steps: object) -> view.View:
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


def test_each_command_adds_one_revision_even_if_it_changes_nothing():
    cfg = _apply_all(*_START)
    assert (cfg.revision, cfg.config_revision) == (4, 2)
    again = _apply_all(*_START, *_START)
    assert again == attrs.evolve(cfg, revision=8)


def test_new_incarnation_gets_a_new_id_and_ids_are_never_reused():
    cfg = _apply_all(
        *_START,
        commands.UpstreamSeen(_upstream(1, "north", incarnation=2)),
        commands.UpstreamGone(3, 2),
        commands.UpstreamSeen(_upstream(1, "north", incarnation=2)),
    )
    assert sorted(up.id for up in cfg.upstreams) == [2, 4]
    late = config.apply(cfg, commands.UpstreamSeen(_upstream(1, "north")))
    assert late == attrs.evolve(cfg, revision=cfg.revision + 1)


def test_share_proposed_before_a_drain_does_not_undo_it():
    up = view.UpstreamState.UP
    draining = view.UpstreamState.DRAINING
    cfg = _apply_all(
        *_START,
        commands.UpstreamMarked(1, 1, draining, 1000),
        commands.UpstreamMarked(1, 1, up, 500),
    )
    assert cfg.upstreams[0].state is draining


def test_owner_epoch_changes_only_with_the_vms_that_are_up():
    cfg = _apply_all(*_START)
    assert cfg.owner_epoch == 1
    cfg = config.apply(cfg, commands.VmMarked("a", view.VmState.DOWN, 0))
    assert cfg.owner_epoch == 5
    cfg = config.apply(cfg, commands.VmMarked("a", view.VmState.DOWN, 0))
    assert cfg.owner_epoch == 5
    cfg = config.apply(cfg, commands.VmMarked("a", view.VmState.UP, 1))
    assert cfg.owner_epoch == 7
    stale = config.apply(cfg, commands.VmMarked("a", view.VmState.DOWN, 0))
    assert stale.vms == cfg.vms


def test_data_centre_out_and_back_replan_tables_and_are_config_changes():
    cfg = _apply_all(*_START, commands.DataCentreOut("north"))
    assert cfg.out == ("north",)
    assert cfg.config_revision == cfg.revision == 5
    table = cfg.tables[0]
    targets = set(table.bases) - {1}
    targets.update(state.target for state in table.tracked)
    assert targets == {2}
    cfg = config.apply(cfg, commands.DataCentreBack("north"))
    assert cfg.out == ()


def test_services_have_distinct_addresses_and_keep_their_slots():
    cfg = _apply_all(*_START)
    unchanged = config.apply(cfg, commands.ServiceSet(_service("store")))
    assert unchanged.services == cfg.services
    changed = attrs.evolve(_service(), slots=64, max_queue=9)
    cfg = config.apply(cfg, commands.ServiceSet(changed))
    assert (cfg.services[0].slots, cfg.services[0].max_queue) == (1024, 9)


def test_removing_a_service_removes_its_upstreams_and_table():
    cfg = _apply_all(*_START, commands.ServiceRemoved("desk"))
    assert (cfg.services, cfg.upstreams, cfg.tables) == ((), (), ())
    assert cfg.next_upstream_id == 3


def test_unknown_command_type_is_an_error():
    with pytest.raises(TypeError):
        config.apply(view.View(), "genesis")


def test_a_data_centre_without_entry_vms_gets_no_new_flows():
    """Its upstreams can't announce themselves; open flows stay there."""
    vms = tuple(
        view.Vm(f"vm-{name}", f"127.0.0.{index}", name, "west", False)
        for index, name in enumerate(("one", "two"), start=1)
    )
    service = view.Service("desk", "10.0.0.1", 443, 6, ("one", "two"))
    cfg = config.apply(view.View(), commands.Genesis(vms))
    cfg = config.apply(cfg, commands.ServiceSet(service))
    for index, name in enumerate(("one", "two"), start=1):
        up = view.Upstream(
            0, "desk", f"127.0.1.{index}", 1, 2, name, 2, 2000, 1
        )
        cfg = config.apply(cfg, commands.UpstreamSeen(up))
    mark_down = commands.VmMarked("vm-two", view.VmState.DOWN, 0)
    down = config.apply(cfg, mark_down)
    targets = _new_flow_targets(down)
    assert targets == {1}
    back = config.apply(down, attrs.evolve(mark_down, state=view.VmState.UP))
    assert _new_flow_targets(back) == {1, 2}


def _new_flow_targets(cfg):
    table = cfg.tables[0]
    targets = dict(enumerate(table.bases))
    targets.update({state.slot: state.target for state in table.tracked})
    return set(targets.values())
