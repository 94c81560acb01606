"""Who makes room: crowds that say nothing or stop half way go before slow callers and usual ones."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from rushsaddle.net.eviction import LEAST, SHY_MOST, SHY_US, STOPPED_US, choose

NOW = 10_000_000


@dataclass(frozen=True, eq=False)
class Leg:
    heard_us: int
    said: bool = False
    proven: bool = False
    idle: bool = True


def test_a_slow_caller_outlives_a_crowd_of_any_kind() -> None:
    """It has connected before all of them, and its next piece is on the way."""
    slow = Leg(NOW - STOPPED_US + 1, said=True, idle=False)
    mute = [Leg(NOW - SHY_US - n) for n in range(25)]
    stopped = [Leg(NOW - STOPPED_US - n, said=True, idle=False) for n in range(25)]
    stayed = [Leg(NOW - SHY_US - n, said=True, proven=True) for n in range(25)]
    legs = [slow, *mute, *stopped, *stayed]
    while len(legs) > 1:
        chosen = choose(legs, NOW, 76)
        assert chosen and slow not in chosen and len(chosen) <= SHY_MOST
        legs = [leg for leg in legs if leg not in chosen]


def test_usual_callers_do_not_give_way_to_a_crowd_that_has_just_come() -> None:
    usual = [Leg(NOW - 5_000_000, said=True, proven=True) for _ in range(20)]
    crowd = [Leg(NOW - SHY_US + 1) for _ in range(56)]
    assert choose([*usual, *crowd], NOW, 76) == []


def test_a_usual_caller_whose_next_request_may_be_on_the_way_stays() -> None:
    usual = [Leg(NOW - SHY_US + 1 + n, said=True, proven=True) for n in range(76)]
    stayed = Leg(NOW - SHY_US, said=True, proven=True)
    assert choose([*usual, stayed], NOW, 76) == [stayed]


made = st.builds(Leg, st.integers(NOW - 3_000_000, NOW), st.booleans(), st.booleans(), st.booleans())


@given(st.lists(made, max_size=80), st.integers(1, 100))
def test_who_is_in_work_or_goes_on_sending_never_goes(legs: list[Leg], budget: int) -> None:
    chosen = choose(legs, NOW, budget)
    assert len(set(chosen)) == len(chosen) <= SHY_MOST
    few = sum(not leg.proven for leg in legs) <= budget // 4
    for leg in chosen:
        if leg.proven:
            assert leg.idle and few and leg.heard_us <= NOW - SHY_US
        else:
            assert leg.heard_us <= NOW - SHY_US
            assert not leg.said or leg.heard_us <= NOW - STOPPED_US or not few
    assert len(chosen) >= min(LEAST, sum(not g.proven and g.heard_us <= NOW - STOPPED_US for g in legs))
