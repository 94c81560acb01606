"""What nodes take for their parts of the work adds up to about 1, however little each has heard."""

from __future__ import annotations

import pytest

from tests.test_cold import COLD, SLOTS, Fleet
from tests.world import SECOND

MOST = 1.5  # of all that the slow-start budget is divided into


def parts(fleet: Fleet) -> float:
    """The sum of what each node takes for its part of the cold server's slots."""
    total = 0.0
    for node in fleet.dispatchers:
        slots = node.workers[COLD].total or node._slots_at_least()
        total += node.part * slots / SLOTS
    return total


# All nodes together send a server in slow start several times its budget where the fleet is full.
@pytest.mark.parametrize("restarted", [0.0, 0.7])
@pytest.mark.parametrize("load", [0.5, 0.9, 1.6])
@pytest.mark.parametrize("size", [4, 28, 100])
def test_the_parts_of_all_nodes_add_up_to_about_one(size: int, load: float, restarted: float) -> None:
    fleet = Fleet(size, load, seed=size)
    fleet.play(6 * SECOND, restart=2 * SECOND, part=restarted)
    assert 0.0 < parts(fleet) <= MOST
