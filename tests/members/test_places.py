"""The addresses that the rig draws for members: those of one fleet never collide."""

from __future__ import annotations

import random

import pytest

from measure import link
from measure.link import NETS, free_places, net_of


def test_places_are_apart_from_those_drawn_before_that_nobody_has_bound_yet() -> None:
    """A second draw could not see the first one's addresses, whose sockets are closed: 1 in 104 collided."""
    random.seed(7)
    for _ in range(300):
        own = free_places(5)
        public = free_places(5, taken=own)
        assert not {net_of(place) for place in own} & {net_of(place) for place in public}


def test_the_last_free_net_is_found_and_none_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    first = NETS[0]
    monkeypatch.setattr(link, "NETS", range(first, first + 2))
    own = free_places(2)
    public = free_places(2, taken=own)
    assert {net_of(place) for place in own + public} == {first, first + 1}
    with pytest.raises(ValueError, match="no net is left"):
        free_places(1, taken=own + public)
