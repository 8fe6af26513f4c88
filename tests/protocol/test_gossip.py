"""Decoders of gossip return a message or raise MessageError, whatever the bytes."""

import attrs
import cattrs
import msgpack
import pytest
from hypothesis import given, settings, strategies as st

from arbutuslift.errors import MessageError
from arbutuslift.protocol import gossip
from arbutuslift.protocol.messages import Message, decode, encode
from arbutuslift.protocol.records import decode_record, encode_record
from arbutuslift.state.instances import InstanceRecord, RevisionMark
from arbutuslift.state.upstreams import UpstreamRecord

from ..builders import upstream

MESSAGES = [
    value
    for value in vars(gossip).values()
    if isinstance(value, type) and issubclass(value, Message) and value is not Message
]
RECORDS = [InstanceRecord, RevisionMark, UpstreamRecord]

plain_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=10,
)


def _decode_or_refuse(decoder, body):
    try:
        return decoder(body)
    except MessageError:
        return None


@pytest.mark.parametrize("message_class", MESSAGES)
def test_any_field_values_are_decoded_or_refused(message_class):
    count = len(attrs.fields(message_class))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(plain_values, min_size=count, max_size=count))
    def check(row):
        body = msgpack.packb([message_class.__name__, row])
        message = _decode_or_refuse(decode, body)
        if message is not None:
            _decode_or_refuse(decode, encode(message))

    check()


@pytest.mark.parametrize("record_class", RECORDS)
def test_any_record_values_are_decoded_or_refused(record_class):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(plain_values, max_size=16))
    def check(values):
        body = msgpack.packb(values)
        _decode_or_refuse(lambda each: decode_record(each, record_class), body)

    check()


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=60))
def test_any_bytes_are_decoded_or_refused(body):
    _decode_or_refuse(decode, body)
    for record_class in RECORDS:
        _decode_or_refuse(lambda each, c=record_class: decode_record(each, c), body)


def test_record_of_a_newer_version_is_decoded():
    """Guards against old instances that refuse new records in a rolling upgrade."""
    values = [*cattrs.unstructure(upstream(1)).values(), "a new field"]
    assert decode_record(msgpack.packb(values), UpstreamRecord) == upstream(1)
    assert decode_record(encode_record(upstream(2)), UpstreamRecord) == upstream(2)
