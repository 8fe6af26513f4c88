"""Guards against misread settings and a folder that hides a standard module."""

import json
import subprocess
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

import pytest
from adapter.settings import PATH_VARIABLE, read_settings, settings_path
from hypothesis import given

from arbutuslift.errors import SettingsError
from arbutuslift.rolesettings import LoadSettings

from ..builders import mutated

ROOT = Path(__file__).parents[2]
SETTINGS = {
    "node_name": "core-1",
    "ip": "10.1.0.13",
    "zone": "uy-sur-a",
    "zones": {"uy-sur-a": "uy-sur", "uy-sur-b": "uy-sur"},
    "listen": {"control": "10.1.0.13:8166"},
    "port_range": [7720, 7735],
    "seeds": ["10.1.0.13:8166", "10.2.0.43:8166", "10.3.0.9:8166"],
    "bootstrap": True,
    "data_dir": "/data/core",
    "heartbeat_ms": 1200,
    "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
    "bounds": {"grace_s": 6.0},
    "a_field_of_tomorrow": {"x": 1},
}
FRONT = SETTINGS | {
    "listen": {"datagram_addr": "10.1.0.10:8172", "ready": "10.1.0.10:8167"},
    "data_dir": None,
}


def read(tmp_path, content):
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(content))
    return read_settings(path)


def test_settings_of_a_control_instance(tmp_path):
    control = read(tmp_path, SETTINGS).control_settings()
    assert control.name == "10.1.0.13:7721"
    assert control.seeds[0] == control.name
    assert (control.voter_count, control.announcement_interval_s) == (5, 1.2)
    assert control.is_bootstrap


def test_settings_of_an_entry_instance(tmp_path):
    settings = read(tmp_path, FRONT)
    entry = settings.entry_settings()
    assert (entry.listen_ip, entry.listen_port) == ("10.1.0.10", 8172)
    assert entry.seeds == ("10.1.0.13:7721", "10.2.0.43:7721", "10.3.0.9:7721")
    with pytest.raises(SettingsError):
        settings.control_settings()


def load_settings(tmp_path, **changes):
    return read(tmp_path, FRONT | changes).entry_settings().load


def test_load_features_are_off_unless_the_settings_ask_for_them(tmp_path):
    """Guards against a deployment whose decisions change without its settings."""
    by_observation = LoadSettings(may_use_restored_starts=True, are_syns_hedged=True)
    assert load_settings(tmp_path) == by_observation
    assert load_settings(tmp_path, contracts=["base", "flows"]) == by_observation


def test_a_table_of_the_settings_switches_off_what_is_on_everywhere(tmp_path):
    off = {"may_use_restored_starts": False, "are_syns_hedged": False}
    assert load_settings(tmp_path, load=off) == LoadSettings()


def test_a_table_of_the_settings_switches_load_features(tmp_path):
    load = load_settings(
        tmp_path, contracts=["health"], load={"is_admission_limited": False}
    )
    assert load.is_load_reported
    assert not load.is_admission_limited


def test_a_price_may_be_a_whole_number(tmp_path):
    """Guards against an instance that doesn't start for want of a decimal point."""
    load = load_settings(tmp_path, load={"remote_price_per_gb": 5})
    assert load.remote_price_per_gb == 5.0


@pytest.mark.parametrize("load", [{"is_admission_limited": 1}, {"unknown": True}, 3])
def test_unusable_load_settings_are_refused(tmp_path, load):
    with pytest.raises(SettingsError):
        read(tmp_path, FRONT | {"load": load})


def test_a_control_machine_has_no_settings_of_an_entry_instance(tmp_path):
    with pytest.raises(SettingsError):
        read(tmp_path, SETTINGS).entry_settings()


@pytest.mark.parametrize(
    "changes",
    [
        {"seeds": None},
        {"port_range": [7720]},
        {"port_range": [7720, 7720]},
        {"listen": {"control": "10.1.0.13"}},
        {"heartbeat_ms": "often"},
        {"fault_tolerance": None},
        {"bounds": {}},
    ],
)
def test_malformed_settings_are_refused(tmp_path, changes):
    with pytest.raises(SettingsError):
        read(tmp_path, SETTINGS | changes)


def test_missing_settings_are_refused(tmp_path, monkeypatch):
    with pytest.raises(SettingsError):
        read_settings(tmp_path / "none.json")
    monkeypatch.delenv(PATH_VARIABLE, raising=False)
    with pytest.raises(SettingsError):
        settings_path()


def test_the_folder_does_not_hide_the_standard_module():
    code = "import platform; print(platform.python_implementation())"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert done.stdout.strip() == "CPython"


@pytest.mark.parametrize(
    ("limits", "bytes_per_s"),
    [({"link_mbps": 2.0}, 250_000.0), ({"link_mbps": None}, 0.0), ({}, 0.0)],
)
def test_the_bandwidth_of_the_link(tmp_path, limits, bytes_per_s):
    entry = read(tmp_path, FRONT | {"limits": limits}).entry_settings()
    assert entry.link_bytes_per_s == bytes_per_s


@pytest.mark.parametrize("link_mbps", [-1, float("inf"), float("nan"), "fast"])
def test_an_unusable_bandwidth_is_refused(tmp_path, link_mbps):
    with pytest.raises(SettingsError):
        read(tmp_path, FRONT | {"limits": {"link_mbps": link_mbps}})


@pytest.mark.parametrize(
    "changes",
    [
        {"ip": "1.2.3.4.5"},
        {"zone": "\ud800"},
        {"zones": ["a" * 200]},
        {"listen": {"control": "10.1.0.13:70000"}},
        {"port_range": [7720, 70000]},
        {"port_range": [7720.5, 7735]},
        {"seeds": ["10.1.0.13:٨٠"]},
        {"heartbeat_ms": 0},
        {"heartbeat_ms": 10**400},
        {"bounds": {"grace_s": -1}},
        {"fault_tolerance": {"machines": 10**20}},
        {"limits": {"link_mbps": "fast"}},
    ],
)
def test_settings_out_of_range_are_refused(tmp_path, changes):
    """Guards against a reload that ends, or changes a process to what can't be."""
    with pytest.raises(SettingsError):
        read(tmp_path, SETTINGS | changes)


@given(mutated(json.dumps(SETTINGS).encode()))
def test_a_mutated_settings_file_is_read_or_refused(body):
    """Guards against a reload whose task ends, so that later ones are lost."""
    with tempfile.NamedTemporaryFile() as file, suppress(SettingsError):
        file.write(body)
        file.flush()
        read_settings(file.name)


@pytest.mark.parametrize("body", [b"[" * 5000, b"\xff", b"[]", b'{"ip": NaN}', b""])
def test_a_settings_file_that_is_no_object_is_refused(tmp_path, body):
    path = tmp_path / "boot.json"
    path.write_bytes(body)
    with pytest.raises(SettingsError):
        read_settings(path)
