"""Settings: flags, environment variables and faults."""

from pathlib import Path

import pytest
from absl import flags
from attrs import fields

from arbutuslift import settingspage
from arbutuslift.errors import SettingsError
from arbutuslift.settings import (
    SETTING_FLAGS,
    Seed,
    Settings,
    define_flags,
    read_settings,
)
from arbutuslift.transport.fabric import Address

PAGE = Path(__file__).parents[1] / "docs" / "settings.md"


@pytest.fixture
def given(tmp_path):
    (tmp_path / "document.yaml").write_text("{}")
    (tmp_path / "key").write_text("0" * 40)
    return {
        "name": "dc-1-1",
        "data_centre": "dc-1",
        "listen": "127.0.0.1:7100",
        "fabric": "127.0.0.1:7400",
        "announcements": "127.0.0.1:7200",
        "document": str(tmp_path / "document.yaml"),
    }


def read(given: dict, environment: dict | None = None) -> Settings:
    values = flags.FlagValues()
    define_flags(values)
    values(["arbutusliftd", *(f"--{name}={value}" for name, value in given.items())])
    return read_settings(values, environment or {})


def faults_of(given: dict) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        read(given)
    return [str(fault) for fault in caught.value.faults]


def test_flags_match_the_settings_and_their_defaults(given):
    names = [attribute.name for attribute in fields(Settings)]
    assert sorted(names) == sorted(flag.name for flag in SETTING_FLAGS)
    settings = read(given)
    for attribute in fields(Settings):
        if attribute.name not in given:
            assert getattr(settings, attribute.name) == attribute.default


def test_a_flag_takes_precedence_over_its_variable(given):
    environment = {"ARBUTUSLIFT_NAME": "other", "ARBUTUSLIFT_DRAIN_S": "7"}
    settings = read(given, environment)
    assert (settings.name, settings.drain_s) == ("dc-1-1", 7.0)


def test_a_member(given, tmp_path):
    del given["document"]
    given["bus"] = "127.0.0.1:7300"
    given["members"] = "dc-1-1, dc-2-1"
    given["seeds"] = "dc-1-1=127.0.0.1:7300,dc-2-1=127.0.0.1:7301"
    given["data_folder"] = str(tmp_path / "data")
    settings = read(given)
    assert settings.is_member
    assert settings.seeds == (Seed("dc-2-1", Address("127.0.0.1", 7301)),)
    assert not settings.uses_curve


def test_all_faults_are_reported_at_once(given):
    del given["name"], given["fabric"]
    given |= {"drain_s": "x", "log_level": "loud", "statsd": "here"}
    assert len(faults_of(given)) == 5


REMOTE = {"bus": "10.0.0.1:7300", "seeds": "a=10.0.0.2:7300"}
FAULTY = [
    ({"name": "a b"}, "--name=a b: must be letters"),
    ({"name": "operator-1"}, "operators'"),
    ({"listen": "localhost:1"}, "dotted IPv4"),
    ({"listen": "127.0.0.1"}, "dotted IPv4"),
    ({"listen": "127.0.0.1:0"}, "from 1 to 65535"),
    ({"listen": "127.0.0.1:65536"}, "from 1 to 65535"),
    ({"listen": "127.0.0.1:0000070000"}, "from 1 to 65535"),
    ({"bus": "127.0.0.1:7200"}, "must differ from --announcements"),
    ({"seeds": "a"}, "must be name=ip:port"),
    ({"seeds": "a=127.0.0.1:1,a=127.0.0.1:2"}, "a is given twice"),
    ({"seeds": "dc-1-1=127.0.0.1:9", "bus": "127.0.0.1:8"}, "the address of --bus"),
    ({"seeds": "a=127.0.0.1:1"}, "--bus: missing"),
    ({"members": "a,a"}, "a is given twice"),
    ({"members": "a"}, "--seeds: missing"),
    ({"members": "dc-1-1", "bus": "127.0.0.1:8"}, "--data_folder: missing"),
    ({"members": "a"}, "can't be given with --members"),
    ({"document": ""}, "there is no document"),
    ({"document": "/none"}, "readable file"),
    ({"data_folder": "/none/none"}, "can be written"),
    ({"data_folder": "/dev/null"}, "must be a folder"),
    ({"bus": "127.0.0.1:8"}, "--document: can't be given with --bus"),
    ({"curve": "maybe"}, "one of auto, on, off"),
    (REMOTE, "--curve_key_file: missing; the bus uses CURVE"),
    ({"bus": "127.0.0.1:8", "curve": "on"}, "--authorized_keys_folder: missing"),
    ({"announcement_key_file": "/dev/null"}, "readable file"),
    ({"authorized_keys_folder": "/none"}, "must be a folder"),
    ({"drain_s": "-1"}, "from 0.0 to 3600.0"),
    ({"drain_s": "nan"}, "from 0.0 to 3600.0"),
    ({"max_flows": "0"}, "from 1 to"),
    ({"max_flows": "1.5"}, "whole number"),
    ({"trace": "on"}, "off, console or file:PATH"),
    ({"trace": "file:"}, "off, console or file:PATH"),
    ({"trace": "file:/none/a"}, "existing folder"),
    ({"trace_ratio": "1.1"}, "from 0.0 to 1.0"),
    ({"log_level": "INFO"}, "must be one of debug"),
]


@pytest.mark.parametrize(("changes", "reason"), FAULTY)
def test_faulty_settings(given, changes, reason):
    assert any(reason in fault for fault in faults_of(given | changes))


def test_curve_is_on_unless_the_bus_is_on_loopback_or_it_is_turned_off(given):
    folder = str(Path(given.pop("document")).parent)
    given |= REMOTE
    assert not read(given | {"curve": "off"}).uses_curve
    given |= {"curve_key_file": f"{folder}/key", "authorized_keys_folder": folder}
    assert read(given).uses_curve


def test_the_page_of_settings_is_current():
    assert PAGE.read_text() == settingspage.render()
