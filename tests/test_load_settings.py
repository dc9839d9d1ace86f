"""Settings of the decisions under load, as the settings file has them."""

import tomllib

import pytest

from ebonytally.load import settings
from ebonytally.platform import decode
from ebonytally.platform import node_settings
from tests import test_platform_wire


def _load(tables):
    text = test_platform_wire.SETTINGS + tables
    return node_settings.to_deployment(tomllib.loads(text))


def test_link_and_load_are_read():
    """A unit read wrongly would refuse all flows, or none."""
    deployed = _load(
        "[limits]\nlink-mbps = 2.48\ncpu-share = 0.6\n"
        "[load]\nadmission = false\nspill = false\nreserved-share = 0.2\n"
    )
    assert deployed.link_bytes_s == 310_000
    assert deployed.load == settings.Load(False, False, 0.2)


def test_file_without_the_tables_has_no_limit():
    """A file of an earlier release must start as before."""
    deployed = _load("")
    assert deployed.link_bytes_s == 0
    assert deployed.load == settings.Load(True, True, 0.1)


@pytest.mark.parametrize(
    ("tables", "field"),
    [
        ("[load]\nreserved-share = 0.6", "load.reserved-share"),
        ("[load]\nreserved-share = -0.1", "load.reserved-share"),
        ("[load]\nreserved-share = nan", "load.reserved-share"),
        ("[load]\nadmission = 1", "load.admission"),
        ("[load]\nspill = 'no'", "load.spill"),
        ("[limits]\nlink-mbps = -1", "limits.link-mbps"),
        ("[limits]\nlink-mbps = true", "limits.link-mbps"),
        ("[[load]]\nspill = true", "load"),
    ],
)
def test_error_names_the_field(tables, field):
    """An operator can't correct a field that the error doesn't name."""
    with pytest.raises(decode.DecodeError) as caught:
        _load(tables)
    assert caught.value.peer == field
