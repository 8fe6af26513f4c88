"""Codec of messages: unique names, and MessageError for any malformed body."""

import msgpack
import pytest
from attrs import frozen

from arbutuslift.errors import MessageError
from arbutuslift.protocol import agreement, denials, gossip, messages, operators
from arbutuslift.protocol.messages import Message, decode, encode, register

CLASSES = {
    value
    for module in (agreement, denials, gossip, messages, operators)
    for value in vars(module).values()
    if isinstance(value, type) and issubclass(value, Message) and value is not Message
}


def test_a_second_class_of_the_same_name_is_refused():
    """Guards against a class that receives the messages of another one."""

    @frozen
    class OperatorPong(Message):
        pass

    with pytest.raises(MessageError, match="OperatorPong"):
        register(OperatorPong)
    pong = operators.OperatorPong()
    assert type(decode(encode(pong))) is operators.OperatorPong
    assert register(operators.OperatorPong) is operators.OperatorPong


@pytest.mark.parametrize("fields", [[], [[]], None, 1, "", "keys", b"\xff", True])
def test_fields_that_are_no_map_are_refused(fields):
    """Guards against a peer whose message ends its receiver with AttributeError."""
    for message_class in CLASSES:
        body = msgpack.packb([message_class.__name__, fields])
        with pytest.raises(MessageError):
            decode(body)
