"""Guards against forged and malformed status reports that are accepted."""

import json
from contextlib import suppress

import pytest
from adapter.announcements import (
    decode_announcement,
    decode_departure,
    upstream_number,
)
from hypothesis import given, strategies as st

from arbutuslift.errors import AnnouncementError
from arbutuslift.protocol.feed import StartNews
from arbutuslift.protocol.messages import decode as decode_message, encode
from arbutuslift.protocol.sharing import StartUpdate
from arbutuslift.state.codec import decode_value, encode_value
from arbutuslift.state.flowtags import tag_of
from arbutuslift.state.startdigests import StartDigests
from arbutuslift.state.starts import Phase
from arbutuslift.state.startstore import SavedStarts

from ..builders import json_values, mutated

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
        {"address": "10.128.0.9:080"},
        {"address": "١٠.128.0.9:80"},
        {"address": "0.0.0.0:80"},
        {"address": "255.255.255.255:80"},
        {"zone": "dc\nevent=started"},
        {"zone": "z" * 129},
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


@pytest.mark.parametrize(
    "changes",
    [
        {"sequence": 20261205004512345678},
        {"sequence": 2**63},
        {"born": 2**63},
        {"slots": 2**64},
        {"cold_left_ms": 2**64},
        {"cold_left_ms": 10**400},
        {"zone": "\ud800"},
        {"service": "\ud800"},
    ],
)
def test_values_that_no_codec_takes_are_refused(changes):
    """Guards against control processes that end by a report of another writer."""
    with pytest.raises(AnnouncementError):
        decode(**changes)


@given(
    st.dictionaries(st.sampled_from(sorted(REPORT)), json_values | st.integers()),
    st.from_regex(r"[A-Za-z0-9_.]{0,32}-?[0-9a-f]{1,16}", fullmatch=True),
)
def test_what_is_accepted_passes_every_codec(changes, identity):
    """Guards against control and entry processes that end by an accepted report."""
    try:
        start = decode(identity, **changes)
    except AnnouncementError:
        return
    update = StartUpdate(news=(StartNews(start=start, is_silent=False),), heard=())
    assert decode_message(encode(update)) == update
    saved = SavedStarts(starts=(start,))
    assert decode_value(encode_value(saved), SavedStarts) == saved
    assert 0 < tag_of(start) < 2**32
    StartDigests().put(start)


@given(mutated(json.dumps(REPORT).encode()))
def test_mutated_reports_are_decoded_or_refused(body):
    """Guards against an error that the API answers with 500."""
    for decode_body in (decode_announcement, decode_departure):
        with suppress(AnnouncementError):
            decode_body(ID, body)


@pytest.mark.parametrize("born", ["", [], {}, False])
def test_a_report_of_leaving_with_an_empty_birth_of_another_type_is_refused(born):
    """Guards against a report that ends a start which it doesn't name."""
    with pytest.raises(AnnouncementError):
        decode_departure(ID, json.dumps({"born": born}).encode())


@pytest.mark.parametrize("opening", ["[", '{"a":'])
def test_deeply_nested_reports_are_refused(opening):
    with pytest.raises(AnnouncementError, match="nested|JSON"):
        decode_announcement(ID, (opening * 5000).encode())
    closing = "]" if opening == "[" else "}"
    nested = f"{opening * 40}1{closing * 40}"
    body = json.dumps(REPORT)[:-1] + f',"more":{nested}}}'
    with pytest.raises(AnnouncementError, match="nested"):
        decode_announcement(ID, body.encode())


def test_brackets_in_texts_do_not_nest():
    assert decode(more="[{" * 100).sequence == REPORT["sequence"]
