"""The task that runs the decision module.  All other tasks reach it through its event queue."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import Protocol

from tansygw import Dispatcher
from tansygw.interface import (
    DEFAULT_POLICY,
    Action,
    AttemptEnded,
    AttemptProgress,
    Broadcast,
    Cancel,
    EarlierAttempt,
    Effect,
    Event,
    Fail,
    Log,
    Outcome,
    Probe,
    Refuse,
    RequestAbandoned,
    RequestArrived,
    RequestPolicy,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)

from .counters import RequestCounters
from .log import Log as EventLog
from .loop import Coroutine, Loop, Task, Wait
from .loop_delays import LoopDelays
from .request_ids import RequestIds
from .transaction import Answer, Branch, Job, Transaction, Verdict


class BranchSender(Protocol):
    """Sends branches and probes to next hops."""

    def start(self, branch: Branch) -> bool: ...

    def probe(self, worker: str) -> None: ...


class Decider:
    """Feeds events to the decision module once per tick and carries out its actions."""

    def __init__(
        self, loop: Loop, log: EventLog, dispatcher: Dispatcher, tick_us: int, max_attempts: int,
        on_failure: Callable[[], None], request_counters: RequestCounters, loop_delays: LoopDelays,
    ) -> None:
        self.loop = loop
        self.log = log
        self.dispatcher = dispatcher
        self.tick_us = tick_us
        self.max_attempts = max_attempts
        self.on_failure = on_failure  # the decision module raised: the node cannot go on
        self.request_counters = request_counters
        self.loop_delays = loop_delays
        self.branch_sender: BranchSender | None = None
        self.subscribe: Callable[[], None] = lambda: None
        self.broadcast: Callable[[str], None] = lambda text: None  # to the other nodes
        self.transactions: dict[int, Transaction] = {}
        self.ids = RequestIds(loop.now_us)  # in use: of transactions that are open or have open branches
        self.last_step_us = 0
        self.on_event: Callable[[Event], None] | None = None  # called with each event
        self.on_end: Callable[[Transaction], None] | None = None  # called at the end of each
        self._count = 0
        self._queue: deque[Event | Transaction] = deque()
        self._timers: list[tuple[int, int]] = []
        self._task: Task | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = self.loop.spawn(self._run())

    def put(self, event: Event) -> None:
        """Queue an event for the next step."""
        self._enqueue(event)

    def submit(
        self, name: str, job: Job, payload: object, received_us: int, deadline_us: int,
        on_answer: Callable[[], None], gate: Callable[[Branch], None] | None = None,
        earlier: tuple[EarlierAttempt, ...] = (), policy: RequestPolicy = DEFAULT_POLICY,
        permit: object = None,
    ) -> Transaction:
        """Create the transaction of a completely received request; its name must not be in use.

        Each branch is passed to ``gate`` where there is one, which calls ``begin`` once the branch may be
        sent, or ends it.  ``earlier``: attempts sent by an earlier process.  ``policy`` narrows what the
        decision module may do; ``permit`` belongs to the limiter that admitted the request.
        """
        self._count += 1
        self.ids.take(name, self.must_run_once(job.cls))
        self.request_counters.taken(job.cls)
        transaction = Transaction(
            self._count, name, job, payload, received_us, deadline_us, self.put, on_answer,
            self._on_transaction_end,
        )
        transaction.gate = gate
        transaction.earlier = earlier
        transaction.policy, transaction.permit = policy, permit
        self._enqueue(transaction)
        return transaction

    def must_run_once(self, cls: int) -> bool:
        """Whether a second run of a request of this class would do harm."""
        return self.dispatcher.settings.classes[cls].effect is not Effect.RETRYABLE

    def _on_transaction_end(self, transaction: Transaction) -> None:
        self.request_counters.on_end(transaction)
        if self.on_end is not None:
            self.on_end(transaction)

    def _enqueue(self, item: Event | Transaction) -> None:
        self._queue.append(item)
        if self._task is not None:
            self.loop.wake(self._task)

    def _run(self) -> Coroutine[None]:
        while True:
            now = self.loop.now_us()
            due = self._due(now)
            if due is None or due > now:
                yield Wait(until_us=due)
                continue
            try:
                self._step(now)
            except Exception as error:
                self.log.error("decision module failed", error)
                self.on_failure()
                return

    def _due(self, now: int) -> int | None:
        """Return the time of the next step: at once after an idle tick, else at the end of the tick."""
        if self._queue:
            return self.last_step_us + self.tick_us
        if self._timers:
            return max(self._timers[0][0], self.last_step_us + self.tick_us)
        return None

    def _step(self, now: int) -> None:
        self.last_step_us = now
        events: list[Event] = []
        affected: set[int] = set()
        while self._queue:
            item = self._queue.popleft()
            if isinstance(item, Transaction):
                self.transactions[item.number] = item
                item_event: Event = _arrival(item, now)
            else:
                item_event = item
            if isinstance(item_event, RequestArrived | AttemptEnded | AttemptProgress | RequestAbandoned):
                affected.add(item_event.request)
            if self.on_event is not None:
                self.on_event(item_event)
            events.append(item_event)
        while self._timers and self._timers[0][0] <= now:
            events.append(TimerFired(heapq.heappop(self._timers)[1]))
        actions = self.dispatcher.step(now, events)
        self.loop_delays.step(self.loop.now_us() - now, len(events))
        for action in actions:
            if isinstance(action, Refuse | Fail):
                affected.add(action.request)
            self._act(action, now)
        # The queue was empty, so no event can refer to an ended transaction without open branches any more.
        for number in affected:
            transaction = self.transactions.get(number)
            if transaction is not None and transaction.ended and not transaction.open_branches:
                del self.transactions[number]
                self.ids.release(transaction.name, transaction.may_have_run)

    def _act(self, action: Action, now: int) -> None:
        assert self.branch_sender is not None
        if isinstance(action, Send):
            self._send(action, now)
        elif isinstance(action, Refuse):
            busy = Answer(Verdict.BUSY, retry_after_us=action.retry_after_us, reason=action.reason)
            self._finish(action.request, busy)
        elif isinstance(action, Fail):
            transaction = self.transactions.get(action.request)
            late = transaction is not None and now >= transaction.deadline_us - 2 * self.tick_us
            request_rejected = transaction is not None and any(
                b.outcome is Outcome.REJECTED for b in transaction.branches
            )
            failed = Answer(
                Verdict.FAILED, late=late, request_rejected=request_rejected, reason=action.reason
            )
            self._finish(action.request, failed)
        elif isinstance(action, Cancel):
            transaction = self.transactions.get(action.request)
            if transaction is not None and 0 <= action.attempt < len(transaction.branches):
                transaction.branches[action.attempt].cancel()
        elif isinstance(action, Probe):
            self.branch_sender.probe(action.worker)
        elif isinstance(action, SetTimer):
            heapq.heappush(self._timers, (now + max(1, action.after_us), action.token))
        elif isinstance(action, Subscribe):
            self.subscribe()
        elif isinstance(action, Broadcast):
            self.broadcast(action.data)
        elif isinstance(action, Log):
            self.log.event("decisions", text=action.text)

    def _send(self, action: Send, now: int) -> None:
        transaction = self.transactions.get(action.request)
        if transaction is None:  # it has ended, and the decision module was notified of that
            self.log.event("send for an unknown request", request=action.request, worker=action.worker)
            return
        branch = transaction.branch(action.worker, action.timeout_us, now, action.begin_by_us)
        if branch.number >= self.max_attempts:
            branch.end(now, Outcome.NOT_SENT)
        elif transaction.gate is not None:
            transaction.gate(branch)
        else:
            self.begin(branch, now)

    def begin(self, branch: Branch, now: int) -> None:
        """Send a branch, or end it as never sent."""
        assert self.branch_sender is not None
        if not branch.may_begin(now) or branch.until_us <= now or not self.branch_sender.start(branch):
            branch.end(now, Outcome.NOT_SENT)

    def _finish(self, number: int, answer: Answer) -> None:
        transaction = self.transactions.get(number)
        if transaction is not None:
            transaction.finish(answer)


def _arrival(transaction: Transaction, now: int) -> RequestArrived:
    job = transaction.job
    return RequestArrived(
        transaction.number, job.cls, max(0, transaction.deadline_us - now), job.slots, job.memory,
        job.tenant, job.key,
        job.repeat, job.expected_us, transaction.earlier, transaction.policy, job.has_dedup_key,
    )
