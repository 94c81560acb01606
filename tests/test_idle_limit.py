"""The idle limit for reusing connections adapts to resets of idle connections."""

from __future__ import annotations

from rushsaddle.net.idle_limit import IdleLimit

SECOND = 1_000_000


def test_resets_at_two_next_hops_lower_the_idle_limit() -> None:
    idle_limit = IdleLimit(30 * SECOND)
    assert not idle_limit.connection_reset("s-1", 160_000, SECOND)
    assert not idle_limit.connection_reset("s-1", 140_000, SECOND)  # one host: it may have died
    assert idle_limit.limit(SECOND) == 30 * SECOND
    assert idle_limit.connection_reset("s-2", 240_000, 2 * SECOND)
    assert idle_limit.limit(2 * SECOND) == 70_000
    # Resets with another cause must not make every request open a new connection.
    assert idle_limit.connection_reset("s-1", 0, 2 * SECOND)
    assert idle_limit.limit(2 * SECOND) == 50_000
    assert not idle_limit.connection_reset("s-2", 90_000, 2 * SECOND)
    # The limit is doubled again over time, up to that of the settings.
    assert idle_limit.limit(13 * SECOND) == 100_000
    for tried in range(20):
        longest = idle_limit.limit((24 + 11 * tried) * SECOND)
    assert longest == 30 * SECOND


def test_resets_far_apart_leave_the_idle_limit_unchanged() -> None:
    idle_limit = IdleLimit(30 * SECOND)
    assert not idle_limit.connection_reset("s-1", 160_000, SECOND)
    assert not idle_limit.connection_reset("s-2", 160_000, 9 * SECOND)
    assert idle_limit.limit(9 * SECOND) == 30 * SECOND
