"""Messages of operators: names that no other part uses."""

from arbutuslift.protocol import operators
from arbutuslift.protocol.messages import Message, decode, encode


def test_messages_come_back_as_their_own_class():
    # The codec finds classes by name; a class of that name elsewhere would replace one.
    assert decode(encode(operators.OperatorPong())) == operators.OperatorPong()
    for request in (
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
        copy = decode(encode(request))
        assert isinstance(copy, Message)
        assert copy == request
