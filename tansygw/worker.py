"""State of one worker at a dispatcher: list entry, newest load report, own traffic, health.

This module keeps state only; decide.py chooses the worker of each request.
"""

from __future__ import annotations

from collections import deque
from math import isfinite
from typing import Any

from .interface import Report, Settings
from .peers import worker_key
from .relative_run_time import RelativeRunTime

Attempt = Any  # decide.Attempt, which refers to Worker itself

REPORT_LAG = 1.0  # assumed age of a report that changed, as a share of the usual interval of reports
RUN_TIME_DECAY = 0.9  # averages about the last ten requests, since a worker's slowness comes and goes
# No machine has more slots.  A false larger report would persist in total_slots and inflate the
# slow-start budget.
MAX_SLOTS = 10_000.0


def non_negative_number(value: Any) -> float | None:
    """Return a value of a load report as a float, or None where it is not a finite number of at least 0."""
    if isinstance(value, (int, float)) and isfinite(value) and value >= 0:
        return float(value)
    return None


class Worker:
    """Everything that this dispatcher knows about one worker."""

    __slots__ = (
        "blocked_until",
        "capacity_hint",
        "cell",
        "connection_failures",
        "credit_updated_at",
        "ejected_until",
        "ejections",
        "error_rate",
        "fragile_ejected_until",
        "free_memory",
        "free_slots",
        "key",
        "kind",
        "last_report",
        "listed",
        "live",
        "max_concurrent",
        "maybe_restarted",
        "name",
        "own_slots",
        "past_ejections",
        "probe_pending",
        "probe_scheduled",
        "ready",
        "recovered_at",
        "relative_run_time",
        "report_changed_at",
        "reported_at",
        "slot_changes",
        "slots_since_report",
        "slow_start_credit",
        "slow_start_since",
        "started_us",
        "successes_needed",
        "total_slots",
        "trial_attempt",
        "unreachable_since",
        "unstarted",
        "zone",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.key = worker_key(name)
        self.zone = self.kind = self.cell = 0
        self.capacity_hint = 1.0
        self.ready = False
        self.listed = False  # in the discovery service's list, ready or not
        self.live = True
        self.started_us = 0
        self.slow_start_since: int | None = None  # start of its slow start; None at full capacity
        self.slow_start_credit = 0.0  # slot time that may still be sent during the slow start
        self.credit_updated_at: int | None = None  # time up to which the credit has accrued
        # newest load report
        self.last_report: Report | None = None
        self.reported_at: int | None = None  # arrival of the newest report
        self.report_changed_at: int | None = None  # arrival of the first report with its values
        self.free_slots = 0.0  # below 0: minus the slots that its queued requests need
        self.blocked_until = 0  # no request before this time, since it rejected one as overloaded
        self.free_memory: float | None = None
        self.total_slots = 0.0  # T_j: the largest free-slot value it has reported
        self.max_concurrent = 0.0  # largest sum of requests held and free slots: more requests queue
        self.probe_pending = False  # a probe is in flight
        self.probe_scheduled = False  # a probe is in flight or due
        # own traffic
        self.own_slots = 0.0  # slots of own attempts in flight
        self.slot_changes: deque[tuple[int, float]] = deque()  # (time, slots taken or released)
        self.slots_since_report = 0.0  # sum of the changes that the report may not include yet
        self.unstarted: dict[Attempt, None] = {}  # own attempts without a start notification, oldest first
        # health
        self.relative_run_time = RelativeRunTime(RUN_TIME_DECAY)
        self.ejections = 0  # consecutive
        self.past_ejections = 0  # consecutive ejections before the last recovery
        self.recovered_at = 0
        self.successes_needed = 0  # successes still needed to end the ejection
        self.error_rate = 0.0  # errors per second, from its newest report
        self.ejected_until = 0  # no request before this time
        self.fragile_ejected_until = 0  # no request that must not run twice before this time
        self.connection_failures = 0  # broken or refused connections since the last success
        self.unreachable_since: int | None = None  # first failure to connect of the current series
        self.maybe_restarted = False  # unreachable long enough to have restarted, so it may need a slow start
        self.trial_attempt: Attempt | None = None  # in flight at an ejected worker

    def apply_report(self, report: Report, now: int, spacing: float) -> bool:
        """Store a load report; return True where it differs from the previous one.

        ``spacing`` is the usual interval of changed reports in microseconds.
        """
        self.error_rate = non_negative_number(report.get("eps")) or 0.0
        if report == self.last_report:
            self.reported_at = now
            return False
        free, util = non_negative_number(report.get("free_slots")), non_negative_number(report.get("util"))
        if free is not None and free > MAX_SLOTS:
            free = None
        if free is None and util is None:
            return False
        self.last_report = report
        self.reported_at = self.report_changed_at = now
        if free is not None:
            self.total_slots = max(self.total_slots, free)
            held, queued = (
                non_negative_number(report.get("inflight")), non_negative_number(report.get("queue"))
            )
            if held is not None and free >= 1.0:
                self.max_concurrent = max(self.max_concurrent, held + free)
            if queued is None and held is not None:
                queued = held - max(self.max_concurrent, self.total_slots)
            self.free_slots = free - queued if free < 0.5 and queued is not None and queued > 0 else free
        else:  # no slot counts: use a share of the most requests it was seen to hold
            self.total_slots = max(
                self.total_slots, self.own_slots, non_negative_number(report.get("inflight")) or 0.0, 1.0
            )
            self.free_slots = (1.0 - min(util or 0.0, 1.0)) * self.total_slots
        self.free_memory = non_negative_number(report.get("free_memory"))
        measured_at = now - REPORT_LAG * spacing
        changes = self.slot_changes
        while changes and changes[0][0] < measured_at:
            self.slots_since_report -= changes.popleft()[1]
        return True

    def add_slots(self, now: int, slots: float) -> None:
        """Record own slots taken, or released where negative."""
        self.own_slots += slots
        self.slot_changes.append((now, slots))
        self.slots_since_report += slots
        if len(self.slot_changes) > 256:
            self.slots_since_report -= self.slot_changes.popleft()[1]

    def forget(self) -> None:
        """Reset what is known of the worker after a restart: old reports and failures no longer apply."""
        self.last_report = None
        self.reported_at = self.report_changed_at = None
        self.free_memory = None
        self.ejections = self.past_ejections = self.successes_needed = self.connection_failures = 0
        self.unreachable_since = None
        self.error_rate = 0.0
        self.maybe_restarted = False
        self.trial_attempt = None

    def capacity_share(self, now: int, settings: Settings) -> float:
        """Return the least share of its full capacity that it has by now in its slow start."""
        rules = settings.rules
        if self.slow_start_since is None or rules.slow_start_us <= 0:
            return 1.0
        share = (
            rules.slow_start_share
            + (1.0 - rules.slow_start_share) * max(0, now - self.slow_start_since) / rules.slow_start_us
        )
        if share >= 1.0:
            self.slow_start_since = None
            return 1.0
        return share
