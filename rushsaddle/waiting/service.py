"""Deferred jobs of a node: connects the scheduler with the front ends, the decider and the store.

A front end submits a job with ``submit_attached`` (bound to its caller) or ``submit_stored`` (durable) and is
notified through the handle's ``on_change``.  A released job is an ordinary transaction of the decider.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import islice

from tansygw.interface import (
    DEFAULT_POLICY,
    AttemptEnded,
    EarlierAttempt,
    Effect,
    Event,
    ListKind,
    Outcome,
    ProbeResult,
    RequestArrived,
    Settings,
    WorkerList,
    WorkerState,
)

from ..core.admission import Admission, Limiter
from ..core.decider import Decider
from ..core.log import Log
from ..core.loop import Coroutine, Loop, Task, Wait
from ..core.transaction import Answer, Branch, Job, Transaction, Verdict
from .handle import DeferralOptions, JobCodec, JobHandle, describe_job, final_answer, handle_of, no_op
from .pacing import ReleasePacer
from .records import AttemptRecord, FinalAnswer, StoredJob
from .recovery import FailJob, Resume, recovery_action
from .scheduler import End, EndReason, JobScheduler, Release, State, Submission
from .scheduler import Job as ScheduledJob
from .store import Store, StoreFailure

MIN_LIMIT_DELAY_US = 20_000  # before a released job that a limit rejected is released again
MAX_ATTEMPT_WRITE_US = 100_000  # an attempt whose record takes longer to write is not sent
CLEANUP_INTERVAL_US = 30_000_000  # between deletions of expired answers
MAX_LISTED_JOBS = 1000


class DeferredJobs:
    """The deferred jobs of one node; without ``store`` only attached jobs are accepted."""

    def __init__(
        self, loop: Loop, log: Log, decider: Decider, settings: Settings, options: DeferralOptions,
        codec: JobCodec, store: Store | None,
    ) -> None:
        self.loop = loop
        self.log = log
        self.decider = decider
        self.settings = settings
        self.options = options
        self.codec = codec
        self.store = store
        self.limiter: Limiter | None = None
        self.draining = False
        self.legs = 0  # waiting caller legs, counted by the front end
        self.classes = {c.name: n for n, c in enumerate(settings.classes)}
        self.pacer = ReleasePacer(
            [float(c.latency_target_us) for c in settings.classes], options.reserve, settings.group_size
        )
        back_us = settings.limits.max_retry_after_us or 2_000_000
        self.scheduler = JobScheduler(
            len(settings.classes), self.pacer, options.max_jobs, options.outcome_retention_us,
            options.max_outcomes, back_us if settings.limits.retry_after else 0, options.pace,
        )
        self.answers: dict[str, int] = {}  # stored answers and their times, oldest first
        self._watchers: dict[str, list[Callable[[], None]]] = {}
        self._worker_places: dict[str, tuple[int, int]] = {}  # zone and cell by worker
        self._task: Task | None = None
        self._last_step_us = 0
        self._step_pending = False  # state has changed since the last step
        self._next_cleanup_us = 0
        decider.on_event = self._on_event
        decider.on_end = self._on_transaction_end

    def is_known(self, name: str) -> bool:
        """Whether the id is in use: by a deferred or released job or a stored answer."""
        return name in self.scheduler.jobs or name in self.answers

    def submit_attached(
        self, name: str, job: Job, payload: object, due_us: int, give_up_us: int, after: tuple[str, ...],
        on_change: Callable[[], None],
    ) -> JobHandle | EndReason:
        """Defer a job that ends with its caller's connection."""
        if self.draining:
            return EndReason.SHUTTING_DOWN
        handle = JobHandle(on_change, durable=False)
        handle.job, handle.payload = job, payload
        reason = self.scheduler.submit(
            self.loop.now_us(),
            Submission(name, job.cls, due_us, give_up_us, after, job.slots, context=handle),
        )
        self._wake()
        return handle if reason is None else reason

    def submit_stored(
        self, name: str, job: Job, packed: bytes, due_us: int, give_up_us: int, after: tuple[str, ...],
        on_change: Callable[[], None],
    ) -> JobHandle | EndReason:
        """Defer a durable job; at the next change the handle is ``stored`` or has its ``final`` answer."""
        store = self.store
        if store is None or store.full or len(self.answers) + len(self.scheduler.jobs) >= self._max_stored:
            return EndReason.QUEUE_FULL
        now = self.loop.now_us()
        after = tuple(other for other in after if self.scheduler.outcomes.get(now, other) is not True)
        handle = JobHandle(on_change, durable=True)
        stored = StoredJob(
            name, self.settings.classes[job.cls].name, due_us, give_up_us, after, job.slots, job.memory,
            job.tenant, job.key, job.repeat, job.expected_us, job.has_dedup_key,
        )
        reason = self.scheduler.submit(now, Submission(
            name, job.cls, due_us, give_up_us, after, job.slots, awaiting_store=True, context=handle
        ))
        if reason is not None:
            return reason
        store.add_job(stored, packed, lambda result: self._on_stored(name, handle, result))
        return handle

    @property
    def _max_stored(self) -> int:
        return self.options.max_jobs + self.options.max_stored_answers

    def caller_left(self, name: str, handle: JobHandle) -> None:
        """The caller of an attached job has disconnected."""
        if handle.transaction is not None:
            handle.transaction.abandon()
        else:
            self.scheduler.withdraw(self.loop.now_us(), name)
            self._wake()

    def cancel(self, name: str) -> bool | None:
        """Cancel a job.  None: no such job; False: already released or answered."""
        job = self.scheduler.jobs.get(name)
        if job is None:
            return False if name in self.answers else None
        if not self.scheduler.cancel(self.loop.now_us(), name):
            return False
        self._flush_ended()
        return True

    def watch(self, name: str, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` once, at the next change of a job."""
        self._watchers.setdefault(name, []).append(on_change)

    def unwatch(self, name: str, on_change: Callable[[], None]) -> None:
        watching = self._watchers.get(name, [])
        if on_change in watching:
            watching.remove(on_change)
        if not watching:
            self._watchers.pop(name, None)

    def describe(self, name: str) -> dict[str, object] | None:
        """The JSON form of a job without an answer; None if there is no such job."""
        job = self.scheduler.jobs.get(name)
        return describe_job(job) if job is not None else None

    def list_jobs(self, start: int, most: int) -> Iterator[dict[str, object]]:
        """The JSON form of jobs without an answer, in order of arrival."""
        for job in islice(self.scheduler.jobs.values(), start, start + min(most, MAX_LISTED_JOBS)):
            yield describe_job(job)

    def counts(self) -> dict[str, object]:
        store = self.store
        return {
            "jobs": len(self.scheduler.jobs), "ready": self.scheduler.ready_count,
            "answers": len(self.answers), "room": self.pacer.snapshot(),
            "store": None if store is None else {"queued": store.queued, "trouble": store.last_error},
        }

    def retry_after_us(self) -> int:
        return self.scheduler.retry_after_us(self.loop.now_us())

    def start(self) -> None:
        if self.store is not None:
            self._recover(self.store)
            self.store.start()
        self._task = self.loop.spawn(self._run())

    def _recover(self, store: Store) -> None:
        """Take over the jobs and answers that an earlier process stored."""
        now = self.loop.now_us()
        found = store.load()
        by_name = {c.name: c for c in self.settings.classes}
        counts = {"waiting": 0, "again": 0, "given_up": 0}
        for name, (at, succeeded) in sorted(found.answers.items(), key=lambda item: item[1][0]):
            self.answers[name] = at
            self.scheduler.outcomes.add(at, name, succeeded)
        for name, reason in found.corrupt.items():
            self.log.event("stored job cannot be read", id=name, why=reason)
            self._write_answer(name, FinalAnswer("failed", 502, now, reason="its record is damaged"))
            counts["given_up"] += 1
        for name, stored in found.jobs.items():
            sent = found.attempts.get(name, [])
            action = recovery_action(now, stored, sent, by_name, self.settings.limits.max_attempts)
            handle = JobHandle(no_op, durable=True)
            handle.stored = True
            if isinstance(action, FailJob):
                self._write_answer(name, FinalAnswer("failed", action.status, now, reason=action.reason))
                counts["given_up"] += 1
                continue
            cls = self.classes[stored.cls]
            met = found.met_dependencies.get(name, set())
            after = tuple(other for other in stored.after if other not in met)
            new = Submission(name, cls, stored.due_us, stored.give_up_us, after, stored.slots, context=handle)
            if isinstance(action, Resume):
                job = self.scheduler.add_released(new)
                self.pacer.take(now, job.slots)
                earlier = tuple(s.earlier() for s in sent)
                self._load_payload(job, handle, min(action.until_us, stored.give_up_us), earlier)
                counts["again"] += 1
            elif (rejection := self.scheduler.submit(now, new, stored=True)) is not None:
                self._write_answer(name, final_answer(rejection, now))
                counts["given_up"] += 1
            else:
                counts["waiting"] += 1
        self.log.event("stored jobs", us=self.loop.now_us() - now, answers=len(found.answers), **counts)

    def drain(self) -> None:
        """Shut down: attached jobs are answered at once, stored ones remain for the next start."""
        self.draining = True
        now = self.loop.now_us()
        attached = [job for job in self.scheduler.jobs.values() if not handle_of(job).durable]
        self.scheduler.end_all(now, attached)
        self._flush_ended()
        for name in list(self._watchers):
            self._notify_watchers(name)

    def close(self) -> None:
        if self.store is not None:
            self.store.close()

    def _wake(self) -> None:
        self._step_pending = True
        if self._task is not None:
            self.loop.wake(self._task)

    def _next_step_us(self, now: int) -> int | None:
        """Time of the next step: at once after a change, but at most one step per tick."""
        due = now if self._step_pending else self.scheduler.next_step_us(now)
        if self.store is not None:
            due = self._next_cleanup_us if due is None else min(due, self._next_cleanup_us)
        return None if due is None else max(due, self._last_step_us + self.settings.tick_us)

    def _run(self) -> Coroutine[None]:
        while not self.draining:
            now = self.loop.now_us()
            due = self._next_step_us(now)
            if due is None or due > now:
                yield Wait(until_us=due)
                continue
            self._last_step_us, self._step_pending = now, False
            for action in self.scheduler.step(now):
                if isinstance(action, Release):
                    self._release(action.job)
                elif isinstance(action, End):
                    self._end(action, now)
                elif handle_of(action.job).durable and self.store is not None:
                    # A restart without this record would wait for the dependency again.
                    self.store.record_dependency_met(action.job.name, action.name)
            if self.store is not None and now >= self._next_cleanup_us:
                self._next_cleanup_us = now + CLEANUP_INTERVAL_US
                self.store.delete_answers_before(now - self.options.answer_retention_us, self._on_deleted)

    def _release(self, job: ScheduledJob) -> None:
        info, now = self.settings.classes[job.cls], self.loop.now_us()
        deadline = min(job.give_up_us, now + info.deadline_us)
        waited_ms = (now - job.due_us) // 1000 if job.due_us else None
        self.log.event("job released", id=job.name, cls=job.cls, number=job.ready_seq, since_due_ms=waited_ms)
        handle = handle_of(job)
        if handle.durable:
            self._load_payload(job, handle, deadline, ())
            return
        assert handle.job is not None
        admission = self._admit(job, handle.job, handle.payload, deadline)
        if isinstance(admission, FinalAnswer):
            handle.final = admission
            self.scheduler.record_outcome(now, job.name, False)
            handle.on_change()
        elif admission is not None:
            handle.transaction = self.decider.submit(
                job.name, handle.job, handle.payload, now, min(deadline, now + admission.timeout_us),
                handle.on_change, policy=admission.policy, permit=admission.permit,
            )

    def _admit(
        self, job: ScheduledJob, info: Job, payload: object, deadline_us: int
    ) -> Admission | FinalAnswer | None:
        """Apply the limits to a released job.  None: deferred until they admit it; FinalAnswer: refused."""
        now = self.loop.now_us()
        if self.limiter is None:
            return Admission(deadline_us - now, DEFAULT_POLICY, None)
        found = self.limiter.admit(info.cls, self.codec.path(payload), deadline_us - now, info.repeat)
        if isinstance(found, Admission):
            return found
        self.pacer.return_unused(now, job.slots)
        if not found.retryable:
            return FinalAnswer("refused", found.status, now, reason=found.reason)
        self.scheduler.defer(job, now + max(found.retry_after_us, MIN_LIMIT_DELAY_US))
        self._wake()
        return None

    def _load_payload(
        self, job: ScheduledJob, handle: JobHandle, deadline_us: int, earlier: tuple[EarlierAttempt, ...]
    ) -> None:
        """Read the payload of a stored job that is being released; only the store holds it."""
        assert self.store is not None
        self.store.read_job(job.name, lambda found: self._dispatch(job, handle, deadline_us, earlier, found))

    def _dispatch(
        self, job: ScheduledJob, handle: JobHandle, deadline_us: int, earlier: tuple[EarlierAttempt, ...],
        found: object,
    ) -> None:
        """Submit a stored job to the decider; each of its attempts is recorded before it is sent."""
        now = self.loop.now_us()
        if self.draining and not earlier and isinstance(found, tuple):
            return  # never sent: it stays in the store for the next start
        if not isinstance(found, tuple) or now >= deadline_us:
            reason = found.reason if isinstance(found, StoreFailure) else EndReason.TIMED_OUT.value
            self.pacer.failed(now, job.slots)
            status = 502 if isinstance(found, StoreFailure) or earlier else 504
            self._write_answer(job.name, FinalAnswer("failed", status, now, reason=reason), handle)
            return
        stored, packed = found
        payload, info = self.codec.payload(packed), stored.job(job.cls)
        admission: Admission | FinalAnswer | None = Admission(deadline_us - now, DEFAULT_POLICY, None)
        if not earlier:  # a resumed job is not delayed by limits: its dedup window is running
            admission = self._admit(job, info, payload, deadline_us)
        if isinstance(admission, FinalAnswer):
            self._write_answer(job.name, admission, handle)
            return
        if admission is None:
            return
        until = min(deadline_us, now + admission.timeout_us)
        handle.transaction = self.decider.submit(
            job.name, info, payload, now, until, no_op, self._record_attempt, earlier, admission.policy,
            admission.permit,
        )
        self._notify_watchers(job.name)

    def _flush_ended(self) -> None:
        """Answer the jobs that have just ended; their dependents follow in the next step."""
        now = self.loop.now_us()
        for action in self.scheduler.take_ended():
            self._end(action, now)
        self._wake()

    def _end(self, action: End, now: int) -> None:
        """Answer a job that ended without being released."""
        job, handle = action.job, handle_of(action.job)
        final = final_answer(action.reason, now)
        handle.retry_after_us = action.retry_after_us
        self.log.event("waiting job ended", id=job.name, cls=job.cls, why=action.reason.value)
        if handle.durable:
            self._write_answer(job.name, final, handle)
        else:
            handle.final = final
            handle.on_change()

    def _on_stored(self, name: str, handle: JobHandle, result: object) -> None:
        """The record of a new job was written, or writing it failed."""
        assert self.store is not None
        if isinstance(result, StoreFailure):
            self.log.event("job not stored", id=name, why=result.reason)
            self.scheduler.withdraw(self.loop.now_us(), name)
            self.store.delete_job(name)
            handle.final = FinalAnswer("refused", 503, self.loop.now_us(), reason="the store cannot take it")
        else:
            handle.stored = True
            self.scheduler.mark_stored(name)
            self._wake()
        handle.on_change()
        handle.on_change = no_op

    def _record_attempt(self, branch: Branch) -> None:
        """Record an attempt before its first byte is sent."""
        assert self.store is not None
        transaction = branch.transaction
        zone, cell = self._worker_places.get(branch.worker, (-1, -1))
        number = len(transaction.earlier) + branch.number
        attempt = AttemptRecord(number, branch.worker, zone, cell, self.loop.now_us())
        self.store.record_attempt(transaction.name, attempt, lambda result: self._on_recorded(branch, result))

    def _on_recorded(self, branch: Branch, result: object) -> None:
        now = self.loop.now_us()
        transaction = branch.transaction
        if isinstance(result, StoreFailure):
            self.log.event("attempt not stored", id=transaction.name, why=result.reason)
        late = now > branch.started_us + MAX_ATTEMPT_WRITE_US or self._window_expired(transaction, now)
        if branch.cancelled or late or isinstance(result, StoreFailure):
            branch.end(now, Outcome.NOT_SENT)
        else:
            self.decider.begin(branch, now)

    def _window_expired(self, transaction: Transaction, now: int) -> bool:
        """Whether a repeat would miss its dedup window; the decider does not count the time of the write."""
        info = self.settings.classes[transaction.job.cls]
        if info.effect is not Effect.DEDUP:
            return False
        firsts = [e.sent_us for e in transaction.earlier] + [b.started_us for b in transaction.branches[:-1]]
        return bool(firsts) and now >= min(firsts) + info.window_us

    def _write_answer(self, name: str, final: FinalAnswer, handle: JobHandle | None = None) -> None:
        """Write a stored job's only final answer; it is published once it is on disk."""
        assert self.store is not None
        self.answers[name] = final.at_us
        if handle is not None:
            handle.final = final
        self.store.record_answer(name, final, lambda first: self._on_answer_written(name, final, bool(first)))

    def _on_answer_written(self, name: str, final: FinalAnswer, first: bool) -> None:
        if not first:
            self.log.event("second answer dropped", id=name, status=final.status)
        self.scheduler.record_outcome(self.loop.now_us(), name, final.state == "served")
        self._notify_watchers(name)
        self._wake()

    def _on_deleted(self, names: object) -> None:
        if isinstance(names, list):
            for name in names:
                self.answers.pop(name, None)
            if names:
                self._next_cleanup_us = 0
                self._wake()

    def _notify_watchers(self, name: str) -> None:
        for on_change in self._watchers.pop(name, ()):
            on_change()

    def _on_transaction_end(self, transaction: Transaction) -> None:
        """A transaction of any kind has its answer, or its caller has left."""
        now, answer = self.loop.now_us(), transaction.answer
        self.pacer.open_slots = max(0.0, self.pacer.open_slots - transaction.job.slots)
        succeeded = answer is not None and answer.verdict is Verdict.SERVED
        job = self.scheduler.jobs.get(transaction.name)
        if job is None or job.state is not State.RELEASED:
            if succeeded:
                self.pacer.observe_duration(transaction.job.cls, now - transaction.received_us)
            self.scheduler.record_outcome(now, transaction.name, succeeded)
        else:
            self._update_pacer(now, transaction, answer)
            handle = handle_of(job)
            if not handle.durable:
                self.scheduler.record_outcome(now, transaction.name, succeeded)
            else:
                final = self._final_answer(answer, now)
                self._write_answer(transaction.name, final, handle)
                self.log.event(
                    "stored job ended", id=transaction.name, state=final.state, status=final.status,
                    branches=len(transaction.branches),
                )
        if self.scheduler.jobs:
            self._wake()

    def _update_pacer(self, now: int, transaction: Transaction, answer: Answer | None) -> None:
        slots = transaction.job.slots
        if answer is not None and answer.verdict is Verdict.SERVED:
            self.pacer.observe_duration(transaction.job.cls, now - transaction.received_us)
            self.pacer.served(now, slots)
        elif answer is not None and answer.verdict is Verdict.BUSY:
            self.pacer.refused(now, slots)
        else:
            self.pacer.failed(now, slots)

    def _final_answer(self, answer: Answer | None, now: int) -> FinalAnswer:
        if answer is None:
            return FinalAnswer("failed", 502, now, reason="given up")
        status = self.codec.status(answer)
        state = {Verdict.SERVED: "served", Verdict.BUSY: "refused"}.get(answer.verdict, "failed")
        return FinalAnswer(state, status, now, answer.result)

    def _on_event(self, event: Event) -> None:
        """Take load reports and worker lists from the events for the decider."""
        if isinstance(event, RequestArrived):
            self.pacer.open_slots += event.slots
        elif isinstance(event, ProbeResult | AttemptEnded):
            if event.report is not None:
                free = event.report.get("free_slots")
                if isinstance(free, int | float):
                    self.pacer.report(self.loop.now_us(), event.worker, float(free))
                    if self.scheduler.ready_count:
                        self._wake()
        elif isinstance(event, WorkerList) and event.kind is not ListKind.FAILED:
            ready = []
            for entry in event.entries:
                self._worker_places[entry.worker] = (entry.zone, entry.cell)
                if entry.state is WorkerState.READY:
                    ready.append(entry.worker)
                else:
                    self.pacer.remove_worker(entry.worker)
            self.pacer.set_workers(ready, event.kind is not ListKind.CHANGES)
            if event.kind is not ListKind.CHANGES:
                named = {entry.worker for entry in event.entries}
                self._worker_places = {w: place for w, place in self._worker_places.items() if w in named}
