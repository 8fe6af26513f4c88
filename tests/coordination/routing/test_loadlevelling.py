"""Guards against transfers that overload the data centre that receives them."""

from collections import Counter

import pytest
from hypothesis import given, strategies as st

from arbutuslift.coordination.routing.loadlevelling import (
    displaced_shares,
    level_loads,
)

from ...builders import centre_load

COST_S = 0.05
MAX_WAIT_S = 0.25


def loads(*rates_per_s):
    return [
        centre_load(data_centre=f"dc-{number}", rate_per_s=rate)
        for number, rate in enumerate(rates_per_s, 1)
    ]


@given(st.lists(st.floats(0, 3000), min_size=1, max_size=6))
def test_no_data_centre_gets_more_than_its_room_or_sends_and_receives(rates_per_s):
    centres = {centre.data_centre: centre for centre in loads(*rates_per_s)}
    transfers = level_loads(list(centres.values()), COST_S, MAX_WAIT_S)
    received_per_s = Counter()
    for transfer in transfers:
        origin = centres[transfer.origin]
        assert origin.wait_s >= COST_S
        received_per_s[transfer.destination] += transfer.fraction * origin.rate_per_s
    assert not {t.origin for t in transfers} & set(received_per_s)
    for name, rate_per_s in received_per_s.items():
        room_per_s = centres[name].capacity_per_s - centres[name].rate_per_s
        assert rate_per_s <= room_per_s


def test_waits_here_and_there_differ_by_the_cost():
    centres = loads(900.0, 300.0)
    (transfer,) = level_loads(centres, COST_S, MAX_WAIT_S)
    sent_per_s = transfer.fraction * 900.0
    waits_s = [c.wait_s for c in loads(900.0 - sent_per_s, 300.0 + sent_per_s)]
    assert waits_s[0] - waits_s[1] == pytest.approx(COST_S, abs=0.005)


def test_senders_share_the_room_by_their_excess():
    transfers = level_loads(loads(1500.0, 1000.0, 300.0), COST_S, MAX_WAIT_S)
    sent_per_s = {t.origin: t.fraction for t in transfers}
    assert sent_per_s["dc-1"] * 1500 > 2 * sent_per_s["dc-2"] * 1000


def test_nothing_is_sent_if_all_data_centres_are_full():
    assert level_loads(loads(900.0, 900.0, 900.0), COST_S, MAX_WAIT_S) == ()


def test_demand_of_a_data_centre_without_upstreams_takes_room_first():
    centres = loads(900.0, 300.0)
    lost = centre_load(data_centre="dc-3", rate_per_s=300.0, capacity_per_s=0.0)
    (alone,) = level_loads(centres, COST_S, MAX_WAIT_S)
    (beside,) = level_loads([*centres, lost], COST_S, MAX_WAIT_S)
    assert beside.fraction < alone.fraction / 2


def test_displaced_flows_go_where_room_is():
    assert displaced_shares(loads(527.0, 627.0, 900.0)) == pytest.approx(
        {"dc-1": 2 / 3, "dc-2": 1 / 3}
    )
    assert displaced_shares(loads(900.0, 900.0)) == {"dc-1": 0.5, "dc-2": 0.5}


def test_less_room_is_used_by_older_figures():
    new, old = (
        level_loads(
            [*loads(900.0), centre_load(data_centre="dc-2", trust=trust)], 0.05, 0.25
        )
        for trust in (1.0, 0.5)
    )
    assert old[0].fraction < new[0].fraction
