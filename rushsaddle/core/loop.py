"""An event loop on epoll with generator-based coroutines and timers.

A coroutine waits by yielding a ``Wait``; it is resumed with the epoll mask of its descriptor, or
with 0 after its time-out or a wake-up by another coroutine.  Wake-ups may be spurious, so every
wait must be in a loop that tests its own condition.
"""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import TypeVar

T = TypeVar("T")

MAX_POLL_S = 60.0  # epoll rejects time-outs of years
MIN_STALE_TIMERS = 256  # fewer timers of waits that are over are kept until their time
BACKGROUND_US = 2_000  # of a turn, for tasks that have yielded to others


class Wait:
    """What a coroutine waits for: a descriptor, a time, or neither (only a wake-up)."""

    __slots__ = ("fd", "mask", "until_us")

    def __init__(self, fd: int = -1, mask: int = 0, until_us: int | None = None) -> None:
        self.fd = fd
        self.mask = mask
        self.until_us = until_us


# Waits for nothing: the task has much to do, and goes on once all others had their turn.
YIELD_TO_OTHERS = Wait()


Coroutine = Generator[Wait, int, T]


class Task:
    """One coroutine and what it waits for."""

    __slots__ = ("done", "fd", "generator", "has_timer", "queued", "urgent", "wait_number")

    def __init__(self, generator: Coroutine[None], urgent: bool) -> None:
        self.generator = generator
        self.urgent = urgent  # resumed before all others of a turn
        self.fd = -1
        self.wait_number = 0  # number of the current wait, to recognize timers of earlier ones
        self.has_timer = False  # a timer of the current wait is kept
        self.queued = False
        self.done = False


class Clock:
    """Microseconds since the Unix epoch, derived from the monotonic clock so that they never step back."""

    def __init__(self) -> None:
        self.offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now_us(self) -> int:
        """Return the current time."""
        return time.monotonic_ns() // 1000 + self.offset_us


class Loop:
    """Runs coroutines until ``stopped`` is set."""

    def __init__(self, clock: Clock, on_error: Callable[[BaseException], None]) -> None:
        self.now_us = clock.now_us
        self.on_error = on_error  # called with an exception that ended a coroutine
        # called with the largest delay of a turn's timers
        self.on_late_timers: Callable[[int], None] = lambda late_us: None
        self.stopped = False
        self._epoll = select.epoll()
        self._masks: dict[int, int] = {}  # registered descriptors and their masks
        self._waiting: dict[int, Task] = {}  # tasks by the descriptor they wait for
        self._timers: list[tuple[int, int, Task, int]] = []
        self._stale_timers = 0  # number of those whose wait is over
        self._count = 0
        self._runnable: deque[tuple[Task, int]] = deque()
        self._background: deque[tuple[Task, int]] = deque()  # tasks that yielded, numbers of their waits

    @property
    def timers(self) -> int:
        """Number of timers kept, those of waits that are over included."""
        return len(self._timers)

    def spawn(self, generator: Coroutine[None], urgent: bool = False) -> Task:
        """Start a coroutine in the next turn."""
        task = Task(generator, urgent)
        self.wake(task)
        return task

    def wake(self, task: Task, mask: int = 0) -> None:
        """Schedule a coroutine to be resumed; no effect where it is already scheduled."""
        if not task.queued and not task.done:
            task.queued = True
            if task.urgent:
                self._runnable.appendleft((task, mask))
            else:
                self._runnable.append((task, mask))

    def unregister(self, fd: int) -> None:
        """Stop watching a descriptor, before its owner closes it."""
        self._waiting.pop(fd, None)
        if self._masks.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def run(self) -> None:
        """Run turns until ``stopped`` is set, then close the epoll object."""
        try:
            while not self.stopped:
                self._turn()
        finally:
            self._epoll.close()

    def _turn(self) -> None:
        for fd, mask in self._epoll.poll(self._poll_timeout_s()):
            task = self._waiting.get(fd)
            if task is not None:
                self.wake(task, mask)
            elif self._masks.pop(fd, None) is not None:
                self._epoll.unregister(fd)  # without a waiting task it would be reported in each turn
        now = self.now_us()
        timers = self._timers
        late = 0
        while timers and timers[0][0] <= now:
            due, _, task, number = heapq.heappop(timers)
            if number == task.wait_number:
                task.has_timer = False
                late = max(late, now - due)
                self.wake(task)
            else:
                self._stale_timers -= 1
        if late:
            self.on_late_timers(late)
        runnable, self._runnable = self._runnable, deque()
        for task, mask in runnable:
            task.queued = False
            self._resume(task, mask)
        self._run_background()

    def _run_background(self) -> None:
        """Resume tasks that have yielded, for a bounded time, so that new events are never far off."""
        background = self._background
        until = self.now_us() + BACKGROUND_US if background else 0
        while background:
            task, number = background.popleft()
            if number != task.wait_number or task.queued:
                continue  # it was woken meanwhile
            self._resume(task, 0)
            if self.now_us() >= until:
                return

    def _poll_timeout_s(self) -> float:
        if self._runnable or self._background:
            return 0.0
        timers = self._timers
        while timers and timers[0][3] != timers[0][2].wait_number:
            heapq.heappop(timers)
            self._stale_timers -= 1
        if not timers:
            return -1.0
        return min(MAX_POLL_S, max(0.0, (timers[0][0] - self.now_us()) / 1e6))

    def _resume(self, task: Task, mask: int) -> None:
        if task.fd >= 0 and self._waiting.get(task.fd) is task:
            del self._waiting[task.fd]
        task.fd = -1
        task.wait_number += 1
        if task.has_timer:
            task.has_timer = False
            self._stale_timers += 1
            self._drop_stale_timers()
        try:
            wait = task.generator.send(mask) if task.wait_number > 1 else next(task.generator)
        except StopIteration:
            task.done = True
            return
        except Exception as error:
            task.done = True
            self.on_error(error)
            return
        if wait is YIELD_TO_OTHERS:
            self._background.append((task, task.wait_number))
            return
        if wait.fd >= 0:
            self._watch(task, wait.fd, wait.mask)
        if wait.until_us is not None:
            self._count += 1
            task.has_timer = True
            heapq.heappush(self._timers, (wait.until_us, self._count, task, task.wait_number))

    def _drop_stale_timers(self) -> None:
        """Rebuild the heap once most of it is stale, which costs each timer a constant on average."""
        if self._stale_timers < MIN_STALE_TIMERS or 2 * self._stale_timers < len(self._timers):
            return
        self._timers[:] = [timer for timer in self._timers if timer[3] == timer[2].wait_number]
        heapq.heapify(self._timers)
        self._stale_timers = 0

    def _watch(self, task: Task, fd: int, mask: int) -> None:
        known = self._masks.get(fd)
        if known is None:
            self._epoll.register(fd, mask)
        elif known != mask:
            self._epoll.modify(fd, mask)
        self._masks[fd] = mask
        self._waiting[fd] = task
        task.fd = fd
