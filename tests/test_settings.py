"""Tests of the settings: all faults of a file are listed together."""

import json

import pytest

from ebonytally import errors
from ebonytally import settings


def _seed(index: int, control: bool) -> dict:
    return {
        "name": f"vm-{index}",
        "address": f"127.0.0.{index}",
        "data_centre": f"dc-{index}",
        "region": "west",
        "control": control,
    }


def _valid() -> dict:
    return {
        "name": "vm-1",
        "address": "127.0.0.1",
        "data_centre": "dc-1",
        "region": "west",
        "control": True,
        "cluster_key": "ab" * 32,
        "data_folder": "data",
        "seeds": [_seed(1, True), _seed(2, True), _seed(3, True)],
        "operators": [{"name": "mair", "token_sha256": "cd" * 32}],
    }


def _faults(tmp_path, raw: dict) -> tuple[str, ...]:
    path = tmp_path / "vm.json"
    path.write_text(json.dumps(raw))
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(str(path))
    return caught.value.faults


def test_valid_settings_load(tmp_path):
    path = tmp_path / "vm.json"
    path.write_text(json.dumps(_valid()))
    cfg = settings.load(str(path))
    assert cfg.data_folder == str(tmp_path / "data")
    assert cfg.key == b"\xab" * 32


def test_five_value_faults_are_listed_together(tmp_path):
    raw = _valid()
    raw["seeds"][1]["name"] = "vm-1"
    raw["seeds"][2]["address"] = "127.0.0.1"
    raw["seeds"][2]["control"] = False
    raw["data_centre"] = "nowhere"
    raw["flows"] = {"idle_s": -1.0}
    faults = "\n".join(_faults(tmp_path, raw))
    assert "vm.json: seeds[1].name" in faults
    assert "vm.json: seeds[2].address" in faults
    assert "vm.json: seeds: 2 control VMs" in faults
    assert "vm.json: data_centre" in faults
    assert "vm.json: flows.idle_s" in faults


def test_structure_faults_are_listed_together(tmp_path):
    raw = _valid()
    raw["colour"] = 1
    raw["ports"] = {"packets": "x", "gate": 3}
    del raw["name"]
    raw["seeds"][0]["control"] = "yes"
    faults = "\n".join(_faults(tmp_path, raw))
    assert "vm.json: colour: is not known" in faults
    assert "vm.json: ports.packets: must be a whole number" in faults
    assert "vm.json: ports.gate: is not known" in faults
    assert "vm.json: name: is missing" in faults
    assert "vm.json: seeds[0].control: must be true or false" in faults


def test_unwritable_data_folder_is_a_fault(tmp_path):
    raw = _valid()
    (tmp_path / "file").write_text("")
    raw["data_folder"] = "file/data"
    assert "data_folder: can't be written" in _faults(tmp_path, raw)[0]
