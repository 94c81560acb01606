"""Calculates loads at the planned size from measured values and the limits in the code.

The results are calculated, not measured; there is no I/O and no clock.  Each function names the module whose
limits it uses.
"""

from __future__ import annotations

from dataclasses import dataclass

from rushsaddle.net.list_retry import LIST_CALL_TIMEOUT_US
from tansygw.decide import MIN_WORK_SHARE_RATIO
from tansygw.interface import Settings
from tansygw.lists import LIST_CALL_COST_US, LIST_QUEUE_TIMEOUT_US, ListSubscription

DAY_S = 86_400.0
KEEPALIVE_BYTES = 6  # an empty line in its own chunk, every 2 s on a watch
KEEPALIVE_S = 2.0


@dataclass(slots=True, frozen=True)
class Plan:
    """The size that the operators plan for: numbers of nodes, workers, jobs and changes."""

    nodes: int = 5_000
    workers: int = 5_000
    zone: int = 312
    jobs_a_day: int = 47_000
    running: int = 98_000
    teams: int = 56
    settings_a_day: int = 21_000  # configuration changes
    changes_a_day: int = 485  # worker changes: 85 failures, 400 restarts or replacements
    force_s: float = 10.0  # time within which a configuration change must be in force everywhere


def lists(plan: Plan, settings: Settings, whole_bytes: float, change_bytes: float) -> dict[str, float]:
    """Calls of all nodes to one list service, and the bytes that it sends them.

    Limits: ``tansygw.lists`` (``LIST_CALL_COST_US``, ``LIST_QUEUE_TIMEOUT_US``, ``ListSubscription``) and
    ``rushsaddle.net.list_retry`` (``LIST_CALL_TIMEOUT_US``).
    """
    subscription = ListSubscription(settings)
    spread_s = subscription.startup_spread_us / 1e6
    call_s = LIST_CALL_COST_US / 1e6
    # Mean delay before the next call after the first to the fifth failure in a row.
    retry_s = [sum(subscription.on_failure(draw) for draw in (0.0, 1.0)) / 2e6 for _ in range(5)]
    quiet = plan.changes_a_day * change_bytes / DAY_S + KEEPALIVE_BYTES / KEEPALIVE_S
    return {
        "cold_spread_s": spread_s,
        "cold_calls_a_second": plan.nodes / spread_s,
        "cold_bytes": plan.nodes * whole_bytes,
        "cold_bytes_a_second": plan.nodes * whole_bytes / spread_s,
        "cold_node_bytes": whole_bytes,
        "assumed_calls_a_second": 1.0 / call_s,
        "assumed_all_s": plan.nodes * call_s,
        "patience_s": LIST_QUEUE_TIMEOUT_US / 1e6, "answer_s": LIST_CALL_TIMEOUT_US / 1e6,
        "again_first_s": retry_s[0], "again_last_s": retry_s[-1],
        "again_calls_a_second": plan.nodes / retry_s[-1],
        "quiet_node_bytes_a_second": quiet,
        "quiet_service_bytes_a_second": plan.nodes * quiet,
        "quiet_whole_node_bytes_a_second": plan.changes_a_day * whole_bytes / DAY_S,
        "zone_node_bytes": plan.zone * change_bytes,
        "zone_service_bytes": plan.nodes * plan.zone * change_bytes,
    }


def configuration(plan: Plan, cost_ms: float) -> dict[str, float]:
    """Load of configuration changes, each of which costs every node ``cost_ms`` of processor time.

    Nodes do not forward a change: each process needs the file and a signal (``rushsaddle.node``,
    SIGHUP), and reads the latest file as a whole.
    """
    apart_s = DAY_S / plan.settings_a_day
    return {
        "apart_s": apart_s, "percent": 100 * cost_ms / 1e3 / apart_s,
        "signals_a_second": plan.nodes / apart_s, "signals_a_day": float(plan.nodes * plan.settings_a_day),
    }


def quotas(plan: Plan) -> dict[str, float]:
    """Shares of a team's quota at all nodes and at one: each node counts only its own part.

    Limits: ``tansygw.decide`` (``Dispatcher.tenant_tokens`` start full at every node and refill by
    ``own_share``, which is measured over all teams' work, at least ``MIN_WORK_SHARE_RATIO`` of an equal one).
    """
    return {
        "at_once_at_all_nodes": float(plan.nodes),  # each node may first spend the quota of a whole second
        "all_jobs_at_one_node_least": MIN_WORK_SHARE_RATIO / plan.nodes,
        "all_jobs_at_one_node_equal": 1 / plan.nodes,
    }


def checks(plan: Plan, per_node: float, check_bytes: float, check_ms: float) -> dict[str, float]:
    """Processor time and bytes of one node's probes, and the probes that a worker gets from all nodes."""
    return {
        "percent": per_node * check_ms / 10, "bytes_a_second": per_node * check_bytes,
        "worker_gets_a_second": per_node * plan.nodes / plan.workers,
    }


def running(plan: Plan, each_bytes: float) -> dict[str, float]:
    """Memory for running jobs: at one node with its own share, and at a node that knows all of them."""
    each = plan.running / plan.nodes
    mb = each_bytes / 2**20
    return {"a_node": each, "a_node_mb": each * mb, "all_mb": plan.running * mb}
