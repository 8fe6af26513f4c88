"""Guards against an accepted order that is refused, lost or reverted."""

import pytest

from arbutuslift.state.agreedstate import (
    AgreedState,
    PutConfiguration,
    SetInService,
    apply_order,
)


def put(version, source=b"x"):
    return PutConfiguration(version=version, source=source)


def test_the_highest_version_takes_effect_in_any_order():
    state = AgreedState()
    for version in (3, 9, 5):
        state = apply_order(put(version, b"%d" % version), state)
    assert (state.version, state.source) == (9, b"9")


def test_other_content_under_the_current_version_changes_nothing():
    state = apply_order(put(3, b"first"), AgreedState())
    assert apply_order(put(3, b"second"), state) is state


def test_a_configuration_does_not_change_the_data_centres_out_of_service():
    out = SetInService(data_centre="dc-1", in_service=False)
    state = apply_order(put(1), apply_order(out, AgreedState()))
    assert state.out_of_service == ("dc-1",)
    back = SetInService(data_centre="dc-1", in_service=True)
    assert apply_order(back, state).out_of_service == ()


def test_a_repeated_order_gives_an_equal_state():
    out = SetInService(data_centre="dc-1", in_service=False)
    state = apply_order(out, AgreedState())
    assert apply_order(out, state) == state


def test_decoded_state_equals_the_encoded_one():
    state = AgreedState(version=2, source=b"\x00{}", out_of_service=("a", "b"))
    assert AgreedState.decode(state.encode()) == state


def test_a_value_that_is_not_an_order_is_refused():
    with pytest.raises(TypeError):
        apply_order("drop everything", AgreedState())
