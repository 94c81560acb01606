"""Release pacing: how many more slots released jobs may use now.  No I/O, clock or threads.

Load reports tell, with a delay, what all other work holds at the workers: total slots, less free slots, less
what this node's released jobs held when the reports were made.  The rest, less a reserve for new requests, is
available to released jobs.  How fast it is filled is limited by this node's share of the nodes, since all of
them see the same free slots.  On top lies an AIMD window that grows with served jobs and halves on refused
ones: reports can be stale, and hung workers keep claiming free slots.  Without reports the window alone
applies.

Times are in microseconds; slots are in the workers' own units.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

INITIAL_WINDOW = 4.0  # slots that released jobs may use before anything is known
MIN_WINDOW = 2.0  # slots; a job of two slots must always be able to run
SLOW_START_GROWTH = 1.0  # slots added per slot served, until the first refusal
REFUSAL_FACTOR = 0.5  # on the window after a refused job
FAILURE_FACTOR = 0.9  # on the window after a failed job: a hung worker is no sign of overload
SMOOTHING = 0.1  # weight of the newest observation in running means
DECREASE_SMOOTHING = 0.2  # factor on the weight while the slots of other work decrease
STALE_INTERVALS = 4.0  # report intervals without a report after which a worker is ignored
INITIAL_REPORT_INTERVAL_US = 1_000_000.0  # assumed before any interval is measured
SAMPLE_INTERVAL_US = 50_000  # between samples of the slots in flight
MAX_SAMPLES = 64
INCREASE_SMOOTHING = 0.25  # factor on the weight of durations above the mean: often a worker in trouble
PEAK_DECAY = 0.98  # factor on the peak rate once per PEAK_DECAY_INTERVAL_US
PEAK_DECAY_INTERVAL_US = 2_000_000
EXPIRY_INTERVAL_US = 500_000  # between searches for workers without recent reports


class WorkerReport:
    """The newest load report of one worker."""

    __slots__ = ("at", "free", "total")

    def __init__(self) -> None:
        self.free = 0.0
        self.total = 0.0
        self.at = -1  # no valid report


class ReleasePacer:
    """The slots that one node may use for released jobs.

    ``initial_duration_us`` is the expected duration per class before any is observed, ``reserve`` the share
    of all slots left to new requests, ``node_count`` the number of nodes that share the workers.
    """

    def __init__(self, initial_duration_us: Sequence[float], reserve: float, node_count: int) -> None:
        self.reserve = reserve
        self.node_count = max(1, node_count)
        self.in_flight_slots = 0.0  # slots of released jobs without an answer
        self.open_slots = 0.0  # slots of all unanswered requests of this node
        self.window = INITIAL_WINDOW
        self._duration_us = list(initial_duration_us)
        self._slow_start = True
        self._last_decrease_us = 0
        self._workers: dict[str, WorkerReport] = {}
        self._total_slots = 0.0  # of all workers with a valid report
        self._free_slots = 0.0
        self._other_slots = 0.0  # running mean of slots held by other work
        self._report_interval_us = INITIAL_REPORT_INTERVAL_US
        self._samples: deque[tuple[int, float]] = deque([(0, 0.0)], MAX_SAMPLES)
        self._allowance = 0.0  # slots that may be taken before the next reports
        self._peak_slots = 0.0
        self._peak_at = 0
        self._expired_at = 0

    # ------------------------------------------------------------ observations

    def set_workers(self, workers: Iterable[str], complete: bool) -> None:
        """Add workers that take new work; with ``complete`` all others are removed."""
        names = set(workers)
        for name in names:
            self._workers.setdefault(name, WorkerReport())
        if complete:
            for name in [n for n in self._workers if n not in names]:
                self.remove_worker(name)

    def remove_worker(self, worker: str) -> None:
        """Remove a worker that drains or has left; its slots no longer count."""
        report = self._workers.pop(worker, None)
        if report is not None:
            self._total_slots -= report.total if report.at >= 0 else 0.0
            self._free_slots -= report.free if report.at >= 0 else 0.0

    def report(self, now: int, worker: str, free: float) -> None:
        """Take over the free slots of a worker's newest load report."""
        report = self._workers.get(worker)
        if report is None or not 0.0 <= free < 1e9:
            return
        if report.at >= 0:
            self._total_slots -= report.total
            self._free_slots -= report.free
            self._report_interval_us += SMOOTHING * (
                min(now - report.at, 8 * INITIAL_REPORT_INTERVAL_US) - self._report_interval_us
            )
        report.at, report.free = now, free
        report.total = max(report.total, free)
        self._total_slots += report.total
        self._free_slots += report.free
        # Released jobs that no worker has started yet leave no free slots: this node's own new requests are
        # counted directly, not inferred from reports.
        others = max(
            self.open_slots - self.in_flight_slots,
            self._total_slots - self._free_slots - self._slots_held_at_report(now),
        )
        step = min(1.0, SMOOTHING * 10 / max(1, len(self._workers)))
        if others < self._other_slots:
            step *= DECREASE_SMOOTHING
        self._other_slots += step * (others - self._other_slots)
        # This node's share of the free slots becomes available step by step as reports arrive.
        node_share = self._free_slots / self.node_count
        self._allowance = min(node_share, self._allowance + node_share / max(1, len(self._workers)))

    def observe_duration(self, cls: int, duration_us: float) -> None:
        """Update the expected duration of a class after a served job."""
        step = SMOOTHING if duration_us < self._duration_us[cls] else SMOOTHING * INCREASE_SMOOTHING
        self._duration_us[cls] += step * (
            min(duration_us, 2.0 * self._duration_us[cls]) - self._duration_us[cls]
        )

    def served(self, now: int, slots: float) -> None:
        """A released job was served: the window grows."""
        self._release(now, slots)
        if self.in_flight_slots + slots >= self.window / 2:  # an unused window proves nothing
            self.window += SLOW_START_GROWTH * slots if self._slow_start else slots / max(1.0, self.window)
        if self._total_slots:
            self.window = min(self.window, max(INITIAL_WINDOW, self._total_slots))

    def refused(self, now: int, slots: float) -> None:
        """A released job was rejected for lack of capacity: the rate was too high."""
        self._decrease(now, slots, REFUSAL_FACTOR)
        self._slow_start = False

    def failed(self, now: int, slots: float) -> None:
        """A released job failed or timed out; its worker may have been unresponsive."""
        self._decrease(now, slots, FAILURE_FACTOR)

    # ------------------------------------------------------------ queries

    def expected_duration_us(self, cls: int) -> float:
        """The expected duration of a job of this class."""
        return self._duration_us[cls]

    def fits(self, now: int, slots: float) -> bool:
        """Whether a job of this size may be released; with nothing in flight any size may."""
        return self.in_flight_slots <= 0.0 or self.in_flight_slots + slots <= self._limit(now)

    def take(self, now: int, slots: float) -> None:
        """Count the slots of a job that is being released."""
        self._record_sample(now)
        self.in_flight_slots += slots
        self._allowance -= slots

    def return_unused(self, now: int, slots: float) -> None:
        """Return the slots of a released job that was not dispatched; the window is unchanged."""
        self._release(now, slots)

    def peak_slots(self, now: int) -> float:
        """Decaying maximum of the slots that released jobs could use at once; 0 while unknown."""
        while self._peak_at + PEAK_DECAY_INTERVAL_US < now and self._peak_slots > 0.0:
            if self._peak_at + 100 * PEAK_DECAY_INTERVAL_US < now:
                self._peak_at, self._peak_slots = now, 0.0
                break
            self._peak_at += PEAK_DECAY_INTERVAL_US
            self._peak_slots *= PEAK_DECAY
        current = (
            max(self.in_flight_slots, self._total_slots - self._other_slots) if self._total_slots else 0.0
        )
        if current > self._peak_slots:
            self._peak_slots, self._peak_at = current, now
        return self._peak_slots

    def snapshot(self) -> dict[str, float]:
        """Figures for the jobs API: total, free, held by other work, in flight, window and allowance."""
        figures = {
            "total": self._total_slots, "free": self._free_slots, "others": self._other_slots,
            "out": self.in_flight_slots, "bound": self.window, "fill": self._allowance,
        }
        return {name: round(value, 1) for name, value in figures.items()}

    def _limit(self, now: int) -> float:
        if now - self._expired_at > EXPIRY_INTERVAL_US:
            self._expire_reports(now)
        if self._total_slots <= 0.0:
            return self.window
        available = self._total_slots * (1.0 - self.reserve) - self._other_slots
        return max(MIN_WINDOW, min(self.window, available, self.in_flight_slots + max(0.0, self._allowance)))

    # ------------------------------------------------------------ internals

    def _expire_reports(self, now: int) -> None:
        self._expired_at = now
        before = now - STALE_INTERVALS * self._report_interval_us
        for report in self._workers.values():
            if 0 <= report.at < before:
                self._total_slots -= report.total
                self._free_slots -= report.free
                report.at = -1

    def _release(self, now: int, slots: float) -> None:
        self._record_sample(now)
        self.in_flight_slots = max(0.0, self.in_flight_slots - slots)
        self._allowance += slots  # may be reused before reports show them as free

    def _decrease(self, now: int, slots: float, factor: float) -> None:
        """Shrink the window once per report interval: jobs released together are also refused together."""
        self._release(now, slots)
        if now - self._last_decrease_us > self._report_interval_us:
            self._last_decrease_us = now
            self.window = max(MIN_WINDOW, self.window * factor)

    def _record_sample(self, now: int) -> None:
        if now - self._samples[-1][0] >= SAMPLE_INTERVAL_US:
            self._samples.append((now, self.in_flight_slots))

    def _slots_held_at_report(self, now: int) -> float:
        """Slots in flight when the reports arriving now were made, half a report interval ago."""
        report_time = now - self._report_interval_us / 2
        held = 0.0
        for at, slots in reversed(self._samples):
            held = slots
            if at <= report_time:
                break
        return (
            min(held, self.in_flight_slots) if now - self._samples[-1][0] > self._report_interval_us else held
        )
