"""Guards against forged and malformed status reports that are accepted."""

import json

import pytest
from adapter.announcements import decode_announcement, upstream_number
from hypothesis import given, strategies as st

from arbutuslift.errors import AnnouncementError
from arbutuslift.state.starts import Phase

REPORT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "caerdydd",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
ID = "i-7f3a91c2"


def decode(identity=ID, **changes):
    return decode_announcement(identity, json.dumps(REPORT | changes).encode())


def test_the_report_in_the_platform_documentation():
    start = decode(state="draining", cold_left_ms=7)
    assert (start.upstream_id, start.number) == (ID, 0x7F3A91C2)
    assert start.address == ("10.128.0.9", 8080)
    assert (start.phase, start.data_centre) == (Phase.DRAINING, "caerdydd")
    assert (start.born_ms, start.sequence) == (1_700_000_000_000, 4)
    assert start.warm_up_left_ms == 7


@pytest.mark.parametrize(
    "changes",
    [
        {"service": 3},
        {"service": ""},
        {"service": None},
        {"address": "10.128.0.9"},
        {"address": "10.128.0.999:80"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:70000"},
        {"address": ["10.128.0.9:80"]},
        {"zone": {}},
        {"slots": "2"},
        {"slots": True},
        {"state": "gone"},
        {"state": 1},
        {"cold_left_ms": -1},
        {"cold_left_ms": 1.5},
        {"sequence": "4"},
        {"sequence": None},
        {"born": 1.5},
        {"born": "soon"},
    ],
)
def test_reports_with_invalid_fields_are_refused(changes):
    with pytest.raises(AnnouncementError):
        decode(**changes)


@pytest.mark.parametrize("identity", ["", "i-", "i-xyz", "i-" + "f" * 17, "ü-7f"])
def test_identities_without_a_number_are_refused(identity):
    with pytest.raises(AnnouncementError):
        upstream_number(identity)


@given(st.binary(max_size=200) | st.text().map(lambda t: json.dumps(t).encode()))
def test_any_bytes_are_decoded_or_refused(body):
    with pytest.raises(AnnouncementError):
        decode_announcement(ID, body)
