"""Scheduler of deferred jobs: when a job is released for dispatch, and why one ends without being released.

No I/O, no clock, no threads: each call is given the time, in microseconds since the Unix epoch.  The release
order and its bound on overtaking are stated and proved in docs/design/waiting.md.

Submissions go in, Release and End actions come out.  ``JobScheduler.step`` moves jobs from the timers to the
ready set and releases them; ``_next_job`` defines the order.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, StrEnum

from .graph import SearchLimitExceeded, creates_cycle
from .pacing import ReleasePacer

MAX_OVERTAKES = 64  # jobs that became ready later and may be released before a ready one
MAX_CLASS_LAG_US = 2_000_000.0  # slot time by which a ready class may trail another
MAX_STEP_EVENTS = 1024  # timers, outcomes and releases in one step, so that the event loop is not blocked
DEADLINE_CHECK_INTERVAL_US = 100_000  # between searches for jobs that cannot finish in time
MAX_DEADLINE_CHECKS = 2048  # jobs per class examined in one search
# Jobs may take less than the expected duration: one is given up only with less than this share of it left.
MIN_DURATION_RATIO = 0.5
MIN_STALE_ENTRIES = 256  # fewer entries of ended jobs are not worth a compaction
DEFAULT_RETRY_AFTER_US = 1_000_000  # Retry-After while the release rate is unknown


class EndReason(StrEnum):
    """Why a job ended without a worker's answer; the values are texts of HTTP responses."""

    DEPENDENCY_FAILED = "what it waited for did not succeed"
    UNSATISFIABLE = "due after its give-up time, or it waits for itself"
    QUEUE_FULL = "no more room to wait"
    DEADLINE_UNREACHABLE = "it cannot end in time"
    TIMED_OUT = "its time was up"
    CANCELLED = "cancelled"
    SHUTTING_DOWN = "the node ends"


class State(Enum):
    """Life cycle of a job: waiting for its conditions, ready, released for dispatch, ended."""

    WAITING = 0
    READY = 1
    RELEASED = 2
    ENDED = 3


@dataclass(slots=True, frozen=True)
class Submission:
    """A job to be deferred.

    ``due_us`` and ``give_up_us`` are absolute times; ``after`` names jobs that must succeed first.  With
    ``awaiting_store`` the job is being written to the store and is not released before
    ``JobScheduler.mark_stored``.  ``context`` belongs to the caller and is not interpreted.
    """

    name: str
    cls: int
    due_us: int
    give_up_us: int
    after: tuple[str, ...] = ()
    slots: float = 1.0
    awaiting_store: bool = False
    context: object = None


@dataclass(slots=True)
class Release:
    """Submit the job for dispatch now."""

    job: Job


@dataclass(slots=True)
class End:
    """The job ended without being released; this is its only final answer."""

    job: Job
    reason: EndReason
    retry_after_us: int = 0


@dataclass(slots=True)
class DependencyMet:
    """Dependency ``name`` of a still deferred job has succeeded."""

    job: Job
    name: str


Action = Release | End | DependencyMet


NOT_RELEASED = (State.WAITING, State.READY)


class Job:
    """One deferred job; ``pending`` counts unmet conditions: dependencies, store record, due time."""

    __slots__ = ("after", "cls", "context", "due_us", "give_up_us", "name", "pending", "ready_seq",
                 "slots", "state", "timer")

    def __init__(self, given: Submission) -> None:
        self.name = given.name
        self.cls = given.cls
        self.due_us = given.due_us
        self.give_up_us = given.give_up_us
        self.after = given.after
        self.slots = given.slots
        self.context = given.context
        self.pending = 0
        self.ready_seq = -1  # jobs that became ready before it
        self.state = State.WAITING
        self.timer = 0  # number of its only valid timer entry


class Outcomes:
    """Outcomes of jobs, bounded in age and number; the oldest are evicted first."""

    def __init__(self, retention_us: int, max_entries: int) -> None:
        self.retention_us = retention_us
        self.max_entries = max_entries
        # In time order.  Removing from the front of a plain dict scans all entries deleted there before.
        self._entries: OrderedDict[str, tuple[int, bool]] = OrderedDict()

    def add(self, now: int, name: str, succeeded: bool) -> None:
        """Record an outcome, replacing an earlier one of the same name."""
        known = self._entries
        if name in known:
            del known[name]
        known[name] = (now, succeeded)
        while len(known) > self.max_entries:
            known.popitem(last=False)

    def get(self, now: int, name: str) -> bool | None:
        """Whether the job succeeded; None if its outcome is unknown or expired."""
        found = self._entries.get(name)
        return found[1] if found is not None and found[0] + self.retention_us > now else None

    def __len__(self) -> int:
        return len(self._entries)


class JobScheduler:
    """All deferred jobs of one node.

    ``classes`` is the number of job classes; ``max_retry_after_us`` limits the Retry-After of rejected
    callers (0: none is given).
    """

    def __init__(
        self, classes: int, pacer: ReleasePacer, max_jobs: int, outcome_retention_us: int,
        max_outcomes: int, max_retry_after_us: int, paced: bool = True,
    ) -> None:
        self.pacer = pacer
        self.max_jobs = max_jobs
        self.max_retry_after_us = max_retry_after_us
        self.paced = paced
        self.outcomes = Outcomes(outcome_retention_us, max_outcomes)
        self.jobs: dict[str, Job] = {}
        self.ready_count = 0  # jobs that wait only for capacity
        self._dependents: dict[str, list[Job]] = {}  # by dependency; may hold ended jobs
        self._dependency_count = 0
        self._stale_dependencies = 0  # upper bound on entries of ended jobs
        self._pending_outcomes: deque[tuple[str, list[Job], bool]] = deque()  # not yet propagated
        self._timers: list[tuple[int, int, Job]] = []
        self._stale_timers = 0  # timer entries of ended jobs
        self._timer_count = 0
        self._heaps: list[list[tuple[int, int, Job]]] = [[] for _ in range(classes)]
        self._ready_by_class = [0] * classes  # ready jobs per class
        self._class_slot_us = [0.0] * classes  # slot time used; raised when an idle class returns
        self._ready_order: deque[Job] = deque()  # ready jobs, oldest first
        self._ready_total = 0  # jobs that ever became ready
        self._left_ready_total = 0  # of these, jobs no longer ready
        self._next_deadline_check_us = 0
        self._ends: list[End] = []
        self._met_dependencies: list[DependencyMet] = []

    # ------------------------------------------------------------ events

    def submit(self, now: int, given: Submission, stored: bool = False) -> EndReason | None:
        """Add a job, or return the reason for its rejection; its name must not be in ``jobs``.

        A ``stored`` job was accepted by an earlier process and is not rejected for a full queue.
        """
        if given.due_us >= given.give_up_us:
            return EndReason.UNSATISFIABLE
        if now >= given.give_up_us:
            return EndReason.TIMED_OUT
        waits_for = []
        for name in dict.fromkeys(given.after):
            succeeded = self.outcomes.get(now, name)
            if succeeded is False:
                return EndReason.DEPENDENCY_FAILED
            if succeeded is None:
                waits_for.append(name)
        if given.name in self._dependents or given.name in given.after:
            try:
                if creates_cycle(given.name, waits_for, self._dependencies_of, self._dependents_of):
                    return EndReason.UNSATISFIABLE
            except SearchLimitExceeded:
                return EndReason.QUEUE_FULL
        if len(self.jobs) >= self.max_jobs and not stored:
            return EndReason.QUEUE_FULL
        job = Job(given)
        self.jobs[job.name] = job
        for name in waits_for:
            self._dependents.setdefault(name, []).append(job)
        self._dependency_count += len(waits_for)
        later = given.due_us > now
        job.pending = len(waits_for) + given.awaiting_store + later
        self._set_timer(given.due_us if later else given.give_up_us, job)
        if not job.pending:
            self._make_ready(job)
        return None

    def add_released(self, given: Submission) -> Job:
        """Add a job that an earlier process released; it is in flight again."""
        job = self.jobs[given.name] = Job(given)
        job.state = State.RELEASED
        return job

    def defer(self, job: Job, at: int) -> None:
        """Defer a released job, which an admission limit rejected, until ``at``."""
        job.state = State.WAITING
        job.pending = 1
        self._set_timer(min(at, job.give_up_us), job)

    def mark_stored(self, name: str) -> None:
        """The job is stored and may be released from now on."""
        job = self.jobs.get(name)
        if job is not None and job.state is State.WAITING:
            self._resolve_one(job)

    def record_outcome(self, now: int, name: str, succeeded: bool) -> None:
        """Record the final outcome of any job; its dependents are updated in the next steps."""
        job = self.jobs.pop(name, None)
        if job is not None:
            self._remove(job)
        self._add_outcome(now, name, succeeded)

    def cancel(self, now: int, name: str) -> bool:
        """Cancel a job that is not released yet; False where there is no such job."""
        job = self.jobs.get(name)
        if job is None or job.state is State.RELEASED:
            return False
        self._end(now, job, EndReason.CANCELLED)
        return True

    def withdraw(self, now: int, name: str) -> bool:
        """Drop a job that needs no answer: its caller left or storing failed; False once it is released."""
        job = self.jobs.get(name)
        if job is None or job.state is State.RELEASED:
            return False
        self._remove(self.jobs.pop(name))
        self._add_outcome(now, name, False)
        return True

    def end_all(self, now: int, jobs: Iterable[Job]) -> None:
        """End these jobs at shutdown, where they have not been released: none of them has run."""
        for job in jobs:
            if job.state in NOT_RELEASED:
                self._end(now, job, EndReason.SHUTTING_DOWN)

    def take_ended(self) -> list[End]:
        """Return and clear the jobs ended since the last step, so that they are answered before the next."""
        ends, self._ends = self._ends, []
        return ends

    # ------------------------------------------------------------ the step

    def next_step_us(self, now: int) -> int | None:
        """Time of the next step due to timers; capacity freed earlier is signalled by worker reports."""
        if self._pending_outcomes or self._ends:
            return now
        timers = self._timers
        # Skip the timers of ended jobs and those replaced by a newer one.
        while timers and (timers[0][2].state not in NOT_RELEASED or timers[0][2].timer != timers[0][1]):
            heapq.heappop(timers)
            self._stale_timers -= 1
        due = timers[0][0] if timers else None
        if not self.ready_count:
            return due
        look = max(now, self._next_deadline_check_us) if self.paced else now
        return look if due is None else min(due, look)

    def step(self, now: int) -> list[Action]:
        """Actions due now, in order; work is bounded, ``next_step_us`` returns ``now`` while some is left."""
        budget = self._fire_timers(now, MAX_STEP_EVENTS)
        if self._pending_outcomes:
            self._propagate_outcomes(now, max(1, budget))
        if self.paced and self.ready_count and now >= self._next_deadline_check_us:
            self._next_deadline_check_us = now + DEADLINE_CHECK_INTERVAL_US
            self._end_unreachable(now)
        actions: list[Action] = []
        if self._met_dependencies or self._ends:
            actions = [*self._met_dependencies, *self.take_ended()]
            self._met_dependencies.clear()
        for _ in range(min(MAX_STEP_EVENTS, self.ready_count)):
            job = self._next_job()
            if self.paced and not self.pacer.fits(now, job.slots):
                break
            self.pacer.take(now, job.slots)
            self._class_slot_us[job.cls] += job.slots * self.pacer.expected_duration_us(job.cls)
            self._remove(job)
            job.state = State.RELEASED
            actions.append(Release(job))
        return actions

    def _set_timer(self, when: int, job: Job) -> None:
        self._timer_count = job.timer = self._timer_count + 1
        heapq.heappush(self._timers, (when, self._timer_count, job))

    def _fire_timers(self, now: int, budget: int) -> int:
        while budget and (timers := self._timers) and timers[0][0] <= now:
            _, count, job = timers[0]
            budget -= 1
            live = job.timer == count and job.state in NOT_RELEASED
            if live and now < job.give_up_us:
                heapq.heapreplace(timers, (job.give_up_us, count, job))  # due: its next timer is give-up
                self._resolve_one(job)
                continue
            heapq.heappop(timers)
            self._stale_timers -= 1
            if live:
                self._end(now, job, EndReason.TIMED_OUT)
        return budget

    def _propagate_outcomes(self, now: int, budget: int) -> None:
        """Propagate outcomes to dependents.

        Jobs ended here are appended to the queue, so long chains and wide fans need no recursion.
        """
        while self._pending_outcomes and budget:
            name, waiting, succeeded = self._pending_outcomes[0]
            while waiting and budget:
                job = waiting.pop()
                budget -= 1
                if job.state is not State.WAITING:
                    continue
                if succeeded:
                    self._resolve_one(job)
                    if job.pending:
                        self._met_dependencies.append(DependencyMet(job, name))
                else:
                    self._end(now, job, EndReason.DEPENDENCY_FAILED)
            if not waiting:
                self._pending_outcomes.popleft()

    def _resolve_one(self, job: Job) -> None:
        job.pending -= 1
        if job.pending == 0:
            self._make_ready(job)

    def _make_ready(self, job: Job) -> None:
        job.state = State.READY
        job.ready_seq = self._ready_total
        self._ready_total += 1
        self.ready_count += 1
        cls = job.cls
        if not self._ready_by_class[cls]:  # a class gets no credit for time in which it had nothing ready
            others = [self._class_slot_us[c] for c, size in enumerate(self._ready_by_class) if size]
            if others:
                self._class_slot_us[cls] = max(self._class_slot_us[cls], min(others))
        self._ready_by_class[cls] += 1
        self._ready_order.append(job)
        heapq.heappush(self._heaps[cls], (job.give_up_us, job.ready_seq, job))

    def _remove(self, job: Job) -> None:
        """Take the job out of the waiting or ready set; its heap entries are skipped when they come up."""
        state, job.state = job.state, State.ENDED
        if state is State.READY:
            self.ready_count -= 1
            self._ready_by_class[job.cls] -= 1
            self._left_ready_total += 1
        elif state is not State.WAITING:
            return  # released before: no entries are left
        elif job.after:
            self._stale_dependencies += len(job.after)
            if (
                self._stale_dependencies > MIN_STALE_ENTRIES
                and self._stale_dependencies > self._dependency_count // 2
            ):
                self._compact_dependents()
        self._stale_timers += 1
        if self._stale_timers > MIN_STALE_ENTRIES and self._stale_timers > len(self._timers) // 2:
            self._timers = [t for t in self._timers if t[2].timer == t[1] and t[2].state in NOT_RELEASED]
            heapq.heapify(self._timers)
            self._stale_timers = 0

    def _compact_dependents(self) -> None:
        """Remove ended jobs from the dependents lists.

        Removal one by one would be quadratic for a fan of thousands; this has constant amortized cost.
        """
        kept = {}
        for name, waiting in self._dependents.items():
            if live := [job for job in waiting if job.state is State.WAITING]:
                kept[name] = live
        self._dependents = kept
        self._dependency_count = sum(map(len, kept.values()))
        self._stale_dependencies = 0

    def _end(self, now: int, job: Job, reason: EndReason) -> None:
        del self.jobs[job.name]
        self._remove(job)
        back = 0
        if reason in (EndReason.DEADLINE_UNREACHABLE, EndReason.SHUTTING_DOWN):
            back = self.retry_after_us(now)
        self._ends.append(End(job, reason, back))
        self._add_outcome(now, job.name, False)

    def _add_outcome(self, now: int, name: str, succeeded: bool) -> None:
        self.outcomes.add(now, name, succeeded)
        waiting = self._dependents.pop(name, None)
        if waiting:
            self._pending_outcomes.append((name, waiting, succeeded))

    # ------------------------------------------------------------ release order and deadlines

    def _next_job(self) -> Job:
        """The next job to release: the oldest ready one once it was overtaken MAX_OVERTAKES times, else one
        of a class that trails by more than MAX_CLASS_LAG_US, else the one with the earliest give-up time.
        At least one job must be ready.
        """
        order = self._ready_order
        while order[0].state is not State.READY:
            order.popleft()
        oldest = order[0]
        if self._left_ready_total - oldest.ready_seq >= MAX_OVERTAKES:
            return oldest
        first = least = None
        for cls, heap in enumerate(self._heaps):
            while heap and heap[0][2].state is not State.READY:
                heapq.heappop(heap)
            if heap:
                if first is None or heap[0] < first:
                    first = heap[0]
                if least is None or self._class_slot_us[cls] < self._class_slot_us[least[2].cls]:
                    least = heap[0]
        assert first is not None and least is not None
        if self._class_slot_us[least[2].cls] + MAX_CLASS_LAG_US < self._class_slot_us[first[2].cls]:
            return least[2]
        return first[2]

    def _end_unreachable(self, now: int) -> None:
        """End jobs that cannot finish in time even at the peak rate, in the order of give-up times.

        Only the front of each heap is examined, so the work ahead is underestimated, never overestimated:
        each job ended here would have been late.
        """
        best = self.pacer.peak_slots(now)
        front = sorted(
            entry
            for heap in self._heaps
            for entry in heap[:MAX_DEADLINE_CHECKS]
            if entry[2].state is State.READY
        )
        ahead = 0.0
        for give_up, _, job in front:
            run = self.pacer.expected_duration_us(job.cls)
            if now + (ahead / best if best else 0.0) + MIN_DURATION_RATIO * run > give_up:
                self._end(now, job, EndReason.DEADLINE_UNREACHABLE)
            else:
                ahead += job.slots * run

    def retry_after_us(self, now: int) -> int:
        """Retry-After of a rejected caller: the time to release all ready jobs at the peak rate."""
        if not self.max_retry_after_us:
            return 0
        best = self.pacer.peak_slots(now)
        work = sum(size * self.pacer.expected_duration_us(c) for c, size in enumerate(self._ready_by_class))
        wait = int(work / best) if best > 0.0 else DEFAULT_RETRY_AFTER_US
        return min(self.max_retry_after_us, max(DEFAULT_RETRY_AFTER_US // 4, wait))

    def _dependencies_of(self, name: str) -> Sequence[str]:
        job = self.jobs.get(name)
        return job.after if job is not None and job.state is State.WAITING else ()

    def _dependents_of(self, name: str) -> list[str]:
        return [job.name for job in self._dependents.get(name, ()) if job.state is State.WAITING]
