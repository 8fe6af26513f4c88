"""Messages of operators: their class names are unique."""

from arbutuslift.protocol import operators
from arbutuslift.protocol.messages import Message, decode, encode


def test_messages_are_decoded_as_their_own_class():
    # The codec finds classes by name, so another class of the same name would be used.
    assert decode(encode(operators.OperatorPong())) == operators.OperatorPong()
    for message in (
        operators.OperatorPing(timeout_s=1.0),
        operators.ShowMembers(timeout_s=1.0),
        operators.ShowHistory(timeout_s=1.0, limit=1),
        operators.RevisionShown(entry=None, document=b"\xff"),
        operators.OutcomeUndecided(reason="r"),
        operators.MembersShown(members=()),
        operators.DocumentRejected(
            faults=(operators.DocumentFault(path="p", reason="r"),)
        ),
    ):
        decoded = decode(encode(message))
        assert isinstance(decoded, Message)
        assert decoded == message
