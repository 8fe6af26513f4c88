"""Codec of messages: unique names, and MessageError for any malformed body."""

import attrs
import msgpack
import pytest
from attrs import frozen

from arbutuslift.errors import MessageError
from arbutuslift.protocol import (
    agreement,
    denials,
    enrolment,
    feed,
    gossip,
    messages,
    operators,
    sharing,
    stopping,
)
from arbutuslift.protocol.messages import Message, decode, encode, register

MODULES = (
    agreement,
    denials,
    enrolment,
    feed,
    gossip,
    messages,
    operators,
    sharing,
    stopping,
)
CLASSES = {
    value
    for module in MODULES
    for value in vars(module).values()
    if isinstance(value, type) and issubclass(value, Message) and value is not Message
}


def test_a_second_class_of_the_same_name_is_refused():
    """Guards against messages that are decoded as another class of the same name."""

    @frozen
    class OperatorPong(Message):
        pass

    with pytest.raises(MessageError, match="OperatorPong"):
        register(OperatorPong)
    pong = operators.OperatorPong()
    assert type(decode(encode(pong))) is operators.OperatorPong
    assert register(operators.OperatorPong) is operators.OperatorPong


@pytest.mark.parametrize("row", [{}, {"a": 1}, None, 1, "", "keys", b"\xff", True])
def test_a_body_that_holds_no_row_is_refused(row):
    """Guards against a body that raises AttributeError in the receiver."""
    for message_class in CLASSES:
        body = msgpack.packb([message_class.__name__, row])
        with pytest.raises(MessageError):
            decode(body)


def test_a_row_with_too_many_or_too_few_values_is_refused():
    """Guards against a message of another version that is decoded as valid."""
    for message_class in CLASSES:
        fields = attrs.fields(message_class)
        needed = [field for field in fields if field.default is attrs.NOTHING]
        for count in (*range(len(needed)), len(fields) + 1, len(fields) + 7):
            body = msgpack.packb([message_class.__name__, [0] * count])
            with pytest.raises(MessageError):
                decode(body)
