"""All decisions of a dispatcher.  Its settings, events and actions are defined in interface.py.

The base policy is a weighted random draw (Kumaran & Sahoo, PSBU in the remaining-capacity form): a request
goes to a ready worker with probability proportional to its free capacity, 1 - u_j, by the newest load
report (u_j is the utilization of worker j); the draw is uniform if all workers are full.  The rest of this
module either enforces the four rules or departs from the base policy to remedy a stated fault.

The four rules are hard limits on every send and every answer (``rules`` are those of the settings):

1. Every accepted request gets exactly one final answer, at most ``rules.answer_slack_us`` after the client's
   deadline; nothing is sent for it afterwards.  A streamed answer that has begun has no deadline.
2. No effect is repeated.  ``RETRYABLE`` requests may be retried and refused freely.  A ``FRAGILE`` one may be
   retried or refused only if every earlier attempt is proven never to have run.  Once an attempt of a
   ``DEDUP`` request may have run, further attempts go only to workers of the same group (all, zone or cell)
   and within the class's window from the send of that attempt; a refusal is allowed only if the group is
   all.  Two attempts are in flight at once only if the limits allow it.
3. Nothing is sent to a worker that is draining or gone, later than ``rules.drain_grace_us`` after this
   dispatcher was notified or counts as notified (see ``rules.must_ask_in_us``).
4. A worker in slow start fails if all dispatchers together send it more than ``rules.overload_multiple``
   times its present capacity for ``rules.overload_window_us``; so the work sent to it in each window of that
   length is bounded.

``Worker`` (worker.py) and ``Request`` hold the state, ``Dispatcher.step`` processes events,
``Dispatcher._draw`` implements the policy, and every send passes both checks, ``Dispatcher._may_receive`` and
``Request.may_send``.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from math import ceil, erfc, exp, inf, log, sqrt
from operator import itemgetter
from random import Random
from typing import Any

from .gone_workers import GoneWorkers
from .interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptProgress,
    Broadcast,
    Cancel,
    CloseReason,
    DedupGroup,
    Effect,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeResult,
    Progress,
    Refuse,
    Report,
    ReportSource,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    Subscribe,
    TimerFired,
    WorkerEntry,
    WorkerList,
    WorkerState,
)
from .lists import LIST_PROPAGATION_US, ListSubscription
from .peers import PeerLoads
from .relative_run_time import RelativeRunTime
from .settings import validate
from .subset import MIN_SUBSET_SIZE, ServerPool
from .work_share import WorkShare
from .worker import RUN_TIME_DECAY, Worker, non_negative_number

# Constants without a unit in their name are dimensionless; times come from the settings or are observed.

EWMA_WEIGHT = 0.1  # weight of the newest sample in exponentially weighted moving averages

# A start notification that is later than both of these limits means that the attempt is queued or lost.
START_DELAY_TARGET_SHARE = 0.2  # share of the class's latency target
START_DELAY_MULTIPLE = 4.0  # multiple of the prompt start delay, which allows for slow networks
START_DELAY_QUANTILE = 0.25  # most starts exceed it even in overload: it measures the network, not queues

HEDGE_DELAY_SHARE = 0.35  # share of the slack after which a request is hedged: most waits end by themselves
RETRY_RATIO = 0.15  # hedges and retries per first attempt: keeps an overload from amplifying itself
# In a large fleet stale reports mislead the draw more often, and a hedge corrects it.
RETRY_RATIO_LARGE_FLEET = 0.35
RETRY_BUDGET_BURST = 5.0  # hedges and retries that can be saved up
LARGE_FLEET = 30.0  # above this number of workers a dispatcher has too few reports of each

PROBE_COST_BUDGET = 0.006  # part of the score that probes may cost
PROBE_COST_MAX_SCALE = 2.0  # the budget grows with the number of workers up to this multiple
PROBE_RATE_MULTIPLE = 2.0  # top probe rate per report interval: a report is read soon after it is made
PROBE_SPACING_US = 10_000  # between probes of one worker by all dispatchers together
PROBE_MIN_UTILIZATION = 0.3  # an idle worker is probed at this share of the top rate

MIN_WORK_SHARE_RATIO = 0.25  # least own work share relative to an equal one: few samples tell little
HELD_PER_TICK = 16  # held requests examined per tick of delay between passes
ARRIVALS_PER_UPDATE = 8  # arrivals between two updates of the own work share and of the reservations

BACKOFF_GROWTH = 2.0  # factor between the ejection times of consecutive failed trials of a worker
MAX_BACKOFF_MULTIPLE = 32.0  # upper bound of the ejection time, as a multiple of the first one
# A single broken connection may be the fault of the network.
EJECTION_FAILURES = 2  # consecutive broken or failed connections that eject a worker
# Own requests above this share of the own part of a worker's slots count as queued there; they are better
# held here.
OWN_SLOTS_SHARE = 0.7
# Most errors are intermittent, so a single success proves little.
RECOVERY_SUCCESSES = 3  # consecutive successes, one request at a time, that end an ejection for errors
EJECTION_ERRORS_PER_S = 0.3  # reported error rate that ejects a worker; a healthy one has an error in minutes

SLOW_START_BUDGET_SHARE = 0.5  # share of the bound of rule 4 that is used, as requests differ in size
CROSS_ZONE_WEIGHT = 32.0  # weight lost by a worker in another zone, as a multiple of the cross-zone price

MAX_SIZES = 16  # distinct slot counts that are tracked
WIDE_EWMA_WEIGHT = 0.005  # weight of the newest arrival in the mean load of wide requests, which are rare
RESERVATION_FACTOR = 1.4  # workers reserved for wide requests, per worker that they keep busy

PEER_COST_BUDGET = 0.005  # part of the score that peer messages may cost
PEER_HEARTBEAT_MULTIPLE = 2.0  # request durations until an unchanged state is sent again
PEER_EXPIRY_MULTIPLE = 8.0  # request durations until the state of a silent peer is dropped

HEDGE_MIN_RELATIVE_WORTH = 0.5  # least worth per unit of time that is hedged, relative to the mean
QUEUED_PER_RUNNING = 0.5  # own queued requests per own running one, where no reports show the own work share
QUEUED_PER_WORKER = 1.5  # requests queued at a worker by all dispatchers together
INITIAL_LOG_VARIANCE = 1.0  # of the logarithm of run times before any was seen: they vary widely
MIN_LOG_VARIANCE = 0.04
MIN_IN_TIME_PROBABILITY = 0.02  # a held request that is less likely than this to be in time is given up

SECOND_US = 1_000_000


class Attempt:
    """One attempt of a request at one worker."""

    __slots__ = ("live", "number", "outcome", "request", "run_time_counted", "sent_at", "started_at",
                 "worker")

    def __init__(self, request: Request, number: int, worker: Worker, sent: int) -> None:
        self.request = request
        self.number = number
        self.worker = worker
        self.sent_at = sent
        self.started_at = 0  # time of the start notification, 0 before it
        self.run_time_counted = False  # the run time has entered the statistics
        self.outcome: Outcome | None = None  # None while the attempt is in flight
        self.live = True  # its hedge timer is still needed


class Request:
    """One request, its attempts, and what the rules allow to be sent or answered for it."""

    __slots__ = (
        "arrived",
        "attempts",
        "attempts_out",
        "cls",
        "deadline",
        "earlier",
        "effect",
        "expected_us",
        "id",
        "info",
        "live",
        "memory",
        "policy",
        "prior_wait_us",
        "slots",
        "streaming",
        "worth",
    )

    def __init__(self, event: RequestArrived, info: RequestClass, now: int) -> None:
        self.id = event.request
        self.cls = event.cls
        self.info = info
        self.effect = info.effect
        # Workers recognize a repeat by its key; without one no repeat is dropped.
        if info.effect is Effect.DEDUP and not event.has_dedup_key:
            self.effect = Effect.FRAGILE
        self.expected_us = event.expected_us
        self.arrived = now
        self.prior_wait_us = 0  # how long the client had waited before it sent this request
        self.deadline = now + event.time_left_us
        self.slots = non_negative_number(event.slots) or 1.0
        self.memory = non_negative_number(event.memory) or 0.0
        self.attempts: list[Attempt] = []
        self.earlier = event.earlier  # attempts sent by a previous process; each of them may have run
        self.policy = event.policy
        self.attempts_out = 0  # attempts in flight
        self.live = True  # the final answer has not been given
        self.streaming = False
        self.worth = info.worth

    def may_send(self, worker: Worker, now: int, settings: Settings) -> bool:
        """Return whether rules 1 and 2 and the limit on attempts allow one more attempt at this worker."""
        limits, policy = settings.limits, self.policy
        attempts, earlier = self.attempts, self.earlier
        if not self.live or self.streaming or now >= self.deadline:
            return False
        if not attempts and not earlier:
            return True
        if not self.attempts_left(settings):
            return False
        if self.attempts_out >= (2 if limits.second_copies and policy.second_copies else 1):
            return False
        info = self.info
        if self.effect is Effect.RETRYABLE:
            return True
        if earlier and self.effect is not Effect.DEDUP:
            return False
        for e in earlier:
            if info.group is DedupGroup.ZONE and e.zone != worker.zone:
                return False
            if info.group is DedupGroup.CELL and e.cell != worker.cell:
                return False
        for a in attempts:
            if a.outcome in NEVER_RAN:
                continue
            if self.effect is not Effect.DEDUP:
                return False
            if info.group is DedupGroup.ZONE and a.worker.zone != worker.zone:
                return False
            if info.group is DedupGroup.CELL and a.worker.cell != worker.cell:
                return False
        return not self.window_expired(now, settings)

    def dedup_cell(self) -> int | None:
        """Return the only cell whose workers would drop a repeat, or None if any worker may get it."""
        if self.effect is not Effect.DEDUP or self.info.group is not DedupGroup.CELL:
            return None
        cells = [e.cell for e in self.earlier]
        cells += [a.worker.cell for a in self.attempts if a.outcome not in NEVER_RAN]
        return cells[0] if cells else None

    def window_expired(self, now: int, settings: Settings) -> bool:
        """Return whether the request may have run and a repeat would no longer be dropped."""
        limit = self.send_by(settings)
        return limit is not None and now >= limit

    def send_by(self, settings: Settings) -> int | None:
        """Return the time by which another attempt must be sent, or None if there is no such limit.

        After it the workers no longer drop a repeat of an attempt that may have run.
        """
        if self.effect is not Effect.DEDUP:
            return None
        ran = [e.sent_us for e in self.earlier]
        ran += [a.sent_at for a in self.attempts if a.outcome not in NEVER_RAN]
        return min(ran) + self.info.window_us - settings.tick_us if ran else None

    def attempts_left(self, settings: Settings) -> int:
        """Return how many more attempts the settings and the policy of the request allow."""
        max_attempts = min(
            settings.limits.max_attempts, self.policy.max_attempts or settings.limits.max_attempts
        )
        return max(0, max_attempts - len(self.attempts) - len(self.earlier))

    def take_retry_budget(self) -> bool:
        """Take one further attempt from the retry budget of its policy; return False if none is left."""
        budget = self.policy.budget
        return budget is None or budget.take()

    def may_refuse(self) -> bool:
        """Return whether rule 2 allows a refusal, which tells the client that a repeat is safe."""
        effect = self.effect
        if effect is Effect.RETRYABLE or (effect is Effect.DEDUP and self.info.group is DedupGroup.ALL):
            return True
        return not self.earlier and all(a.outcome in NEVER_RAN for a in self.attempts)


class Dispatcher:
    """The decisions of one dispatcher: takes events in order and returns the actions to carry out.

    It does no input or output and reads no clock; all randomness comes from the seed.  Raises ``ValueError``
    for contradictory settings.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        validate(settings)
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.workers: dict[str, Worker] = {}
        self.gone = GoneWorkers()
        self.usable: list[Worker] = []  # ready workers that this dispatcher sends to
        self._list_followed = False  # a list has come from discovery since the start
        self.pool = ServerPool(settings.rank, settings.group_size, any(c.kind >= 0 for c in settings.classes))
        self.probed: dict[Worker, None] = {}  # the subset of ``usable`` that is probed
        self._min_known_slots: float | None = None  # cached least T_j in ``usable``; None: to be computed
        self.requests: dict[int, Request] = {}
        self.held: list[Request] = []  # requests queued here until a worker can take one
        self.timers: list[tuple[int, int, Callable[[Any], None], Any]] = []  # heap by time, then number
        self.timer_count = 0
        self.wake_at: int | None = None  # time of the timer requested last, None after it has fired
        self.subscription = ListSubscription(settings)
        self.log_count = 0
        # statistics
        targets_us = [c.latency_target_us for c in settings.classes]
        self.report_interval_us = float(max(settings.tick_us, min(targets_us)))  # between distinct reports
        self.duration_us = float(sum(targets_us)) / len(targets_us)  # mean duration of own requests
        self.class_duration_us = [float(c.latency_target_us) for c in settings.classes]  # ... by class
        # classes that run on one machine kind only
        self.bound_classes = [n for n, c in enumerate(settings.classes) if c.kind >= 0]
        self.class_time_left_us = [0] * len(targets_us)  # by class, longest time left of an arrival
        self.class_rejected_at = [-(2**62)] * len(targets_us)  # by class, time of the last refusal or failure
        # by class, variance and mean of the logarithm of run times
        self.class_log_variance = [INITIAL_LOG_VARIANCE] * len(targets_us)
        self.class_log_mean: list[float | None] = [None] * len(targets_us)
        self.kind_run_time: dict[int, RelativeRunTime] = {}  # run time by kind, relative to the class
        self.kind_slots: dict[tuple[int, float], float] = {}  # largest T_j by kind and registered size
        self.class_shares = [1.0 / len(targets_us)] * len(targets_us)  # share of arrivals by class
        self.own_share = 1.0 / settings.group_size  # own share of the slots in use, averaged
        self.work_share = WorkShare(settings.group_size)
        self.queue_reported = bool({"inflight", "queue"} & set(settings.report_fields))
        self.tenant_quotas = [t.quota_per_s for t in settings.tenants]
        self.tenant_tokens = list(self.tenant_quotas)  # token buckets: requests left within each quota
        self.hedge_not_before = [0] * len(targets_us)  # by class, time of the next search for a hedge
        self.next_pass_at = 0  # earliest time of the next pass over the held requests
        self.retry_held = False  # an event may have made room for a held request
        self.start_delay_us = float(settings.tick_us)  # start delay at a worker without a queue
        self.peers = PeerLoads(settings.group_size, settings.rank)
        self.work_by_size_us: dict[int, float] = {}  # mean slot time per arrival, by slots of the request
        self.wide_work_us = 0.0  # ... of wide requests, which take over half of a worker
        self.reserved: frozenset[str] = frozenset()  # names of workers reserved for wide requests
        # Mean time between arrivals; too low an initial value would allow probes for absent traffic.
        self.arrival_gap_us = self.duration_us
        self.arrivals = self.last_arrival = 0
        self.retry_tokens = RETRY_BUDGET_BURST  # hedges and retries that may be sent now
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self._on_request,
            AttemptEnded: self._on_attempt_ended,
            AttemptProgress: self._on_attempt_progress,
            StreamStarted: self._on_stream_started,
            RequestAbandoned: self._on_request_abandoned,
            WorkerList: self._on_worker_list,
            ProbeResult: self._on_probe_result,
            TimerFired: self._on_timer,
            PeerMessage: self._on_peer_message,
        }

    # ------------------------------------------------------------ event loop

    def step(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Process the events of one moment in order; return the actions to carry out, in order.

        ``now_us`` is the time in microseconds on the caller's clock.
        """
        self.now = now_us
        self.actions = []
        handlers = self.handlers
        for event in events:
            handlers[type(event)](event)
        timers = self.timers
        while timers and timers[0][0] <= now_us:
            _, _, callback, target = heapq.heappop(timers)
            if target.live:
                callback(target)
        if self.held and self.retry_held and now_us >= self.next_pass_at:
            self._dispatch_held()
        peers = self.peers
        if self.settings.limits.peer_messages and peers.group_size > 1 and now_us >= peers.next_broadcast_us:
            self._send_peer_state()
        while timers and not timers[0][3].live:
            heapq.heappop(timers)
        if timers and (self.wake_at is None or self.wake_at <= now_us or timers[0][0] < self.wake_at):
            self.wake_at = timers[0][0]
            self.actions.append(SetTimer(max(1, self.wake_at - now_us)))
        return self.actions

    def _schedule(self, when: float, callback: Callable[[Any], None], target: Any) -> None:
        """Call ``callback(target)`` at a time, unless ``target.live`` is false by then."""
        self.timer_count += 1
        heapq.heappush(self.timers, (int(when), self.timer_count, callback, target))

    def _on_timer(self, event: TimerFired) -> None:
        if self.wake_at is not None and self.wake_at <= self.now:
            self.wake_at = None

    # ------------------------------------------------------------ peer messages

    def _on_peer_message(self, event: PeerMessage) -> None:
        self.peers.expire(self.now - int(PEER_EXPIRY_MULTIPLE * self.duration_us))
        if self.settings.limits.peer_messages and self.peers.receive(self.now, event.sender, event.data):
            self.retry_held = True

    def _send_peer_state(self) -> None:
        """Send the own load at each worker to all peers, as often as the cost budget allows."""
        loads = {}
        for w in self.workers.values():
            if w.own_slots > 0.0:
                waiting = sum(a.request.slots for a in w.unstarted)
                loads[w.key] = ceil(w.own_slots), min(ceil(waiting), ceil(w.own_slots))
        settings, heartbeat_us = self.settings, PEER_HEARTBEAT_MULTIPLE * self.duration_us
        # interval between messages of full length to one peer at which they cost the budget
        interval_us = settings.prices.peer / PEER_COST_BUDGET * self.arrival_gap_us
        messages = self.peers.outgoing_messages(
            self.now, self.wide_work_us / self.arrival_gap_us, loads, heartbeat_us, settings.tick_us,
            interval_us,
        )
        if messages:
            self.actions.extend(Broadcast(message) for message in messages)
            self._schedule(max(self.peers.next_broadcast_us, self.now + heartbeat_us), self._noop, self)

    def _noop(self, _: object) -> None:
        """Timer callback that only makes ``step`` run."""

    def _log(self, text: str) -> None:
        if self.log_count < 40:
            self.log_count += 1
            self.actions.append(Log(text))

    # ------------------------------------------------------------ the worker list

    def _on_worker_list(self, event: WorkerList) -> None:
        if event.kind is ListKind.FAILED:
            if self.subscription.subscribed:
                self._schedule(
                    self.now + self.subscription.on_failure(self.random.random()), self._subscribe, self
                )
            return
        self.subscription.on_list()
        self.retry_held = True
        listed_names = set()
        new: list[Worker] = []
        for entry in event.entries:
            listed_names.add(entry.worker)
            if entry.worker not in self.workers:
                new.append(Worker(entry.worker))
                self.workers[entry.worker] = new[-1]
            self._apply_entry(entry)
        self._list_followed = self._list_followed or event.kind is not ListKind.SAVED
        if event.kind is not ListKind.CHANGES:
            for worker in self.workers.values():
                if worker.listed and worker.name not in listed_names:
                    worker.ready = worker.listed = False
                    self.pool.update(worker)
                    self.gone.update(worker)
        for worker in self.gone.forget_oldest(self.workers):
            worker.live = False  # drops its timers
            del self.workers[worker.name]
        self._choose_workers([worker for worker in new if worker.live])
        if not self.arrivals:
            self.last_arrival = self.now  # the gap before the first request is counted from here
        if (
            event.kind is ListKind.SAVED
            and self.settings.list_on_request
            and not self.subscription.subscribed
        ):
            startup_spread_us = self.subscription.startup_spread_us
            if startup_spread_us > 0.0:
                self._schedule(self.now + startup_spread_us * self.random.random(), self._subscribe, self)
            else:
                self._subscribe(self)

    def _choose_workers(self, new: list[Worker]) -> None:
        """Choose the workers to send to, and those to probe, after a change of the list."""
        self._min_known_slots = None
        if self.pool.exceeds_subset:
            self.usable, probed = self.pool.usable(), self.pool.probed()
            new = []
        else:
            self.usable = probed = [w for w in self.workers.values() if w.ready]
        self.probed = dict.fromkeys(probed)
        if self.settings.limits.probes and self.settings.report_source is not ReportSource.NONE:
            # All dispatchers learn of a worker at the same time, and a release restarts them together:
            # their first probes are spread over time.
            spread = max(self.settings.tick_us * 4, self.settings.group_size * PROBE_SPACING_US)
            for worker in [*new, *self.probed]:
                if not worker.probe_scheduled:
                    worker.probe_scheduled = True
                    self._schedule(self.now + self.random.random() * spread, self._probe_worker, worker)

    @property
    def _usable_fraction(self) -> float:
        """The share of all ready workers that this dispatcher sends to."""
        return len(self.usable) / len(self.pool) if self.pool.exceeds_subset else 1.0

    @property
    def _dispatchers_per_worker(self) -> float:
        """How many dispatchers send to one worker."""
        return max(1.0, self.settings.group_size * self._usable_fraction)

    def _is_large_fleet(self) -> bool:
        """Return whether there are more workers than own probes can keep fresh reports of."""
        return len(self.usable) > LARGE_FLEET

    @property
    def live(self) -> bool:
        """Always true: timers of the dispatcher itself are never dropped."""
        return True

    def _subscribe(self, _: object) -> None:
        if self.subscription.start():
            self.actions.append(Subscribe())

    def _apply_entry(self, entry: WorkerEntry) -> None:
        worker = self.workers[entry.worker]
        worker.zone, worker.kind, worker.cell = entry.zone, entry.kind, entry.cell
        worker.capacity_hint = entry.capacity_hint if self.settings.hint_meaning == "nominal" else 1.0
        worker.ready = entry.state is WorkerState.READY
        worker.listed = entry.state is not WorkerState.GONE
        if entry.started_us and entry.started_us != worker.started_us:
            worker.started_us = entry.started_us
            worker.forget()
            worker.relative_run_time = RelativeRunTime(RUN_TIME_DECAY)
            worker.slow_start_since = self._slow_start_began(entry.started_us)
            worker.credit_updated_at = None
            worker.capacity_share(self.now, self.settings)
        self.pool.update(worker)
        self.gone.update(worker)

    def _slow_start_began(self, started_us: int) -> int:
        """Return when a worker's slow start began, on the dispatcher's clock.

        The list gives the start by a wall clock, which may have been stepped.  While the list is followed, a
        start that was not known before is no older than the longest time until a change is announced.
        """
        earliest = self.now - LIST_PROPAGATION_US if self._list_followed else started_us
        return min(self.now, max(started_us, earliest))

    # ------------------------------------------------------------ load reports and probes

    def _apply_report(self, worker: Worker, report: Report | None) -> None:
        if report is None:
            return
        self._min_known_slots = None
        previous_at = worker.report_changed_at
        is_new = worker.apply_report(report, self.now, self.report_interval_us)
        self.retry_held = self.retry_held or is_new
        if worker.total_slots and self.settings.hint_meaning == "nominal":
            # Workers of one kind and registered size have the same T_j.
            size_key = worker.kind, worker.capacity_hint
            if worker.total_slots > self.kind_slots.get(size_key, 0.0):
                self.kind_slots[size_key] = worker.total_slots
                for w in self.workers.values():
                    if (w.kind, w.capacity_hint) == size_key and w.total_slots:
                        w.total_slots = worker.total_slots
            worker.total_slots = self.kind_slots[size_key]
        if previous_at is not None:
            # The age is an upper bound of the interval if the report has changed, else a lower bound.
            age = self.now - previous_at
            if is_new == (age < self.report_interval_us):
                self.report_interval_us += EWMA_WEIGHT * (age - self.report_interval_us)

    def _probe_rate(self) -> float:
        """Return alpha, the top probe rate of one worker in probes per microsecond."""
        rate = min(
            PROBE_RATE_MULTIPLE / self.report_interval_us,
            1.0 / (self.settings.group_size * PROBE_SPACING_US),
        )
        price = self.settings.prices.probe
        if price > 0 and self.usable:
            # A long time without arrivals shows that the mean gap is out of date.
            gap_us = max(self.arrival_gap_us, self.now - self.last_arrival)
            workers = len(self.probed)
            budget = PROBE_COST_BUDGET * min(PROBE_COST_MAX_SCALE, max(1.0, workers / LARGE_FLEET))
            rate = min(rate, budget / price / gap_us / workers)
        return rate

    def _probe_worker(self, worker: Worker) -> None:
        """Probe a worker 1 / (u_j alpha) after its newest report, u_j >= ``PROBE_MIN_UTILIZATION``."""
        if self.pool.exceeds_subset and worker not in self.probed:
            worker.probe_scheduled = False
            return
        if not worker.ready:
            self._schedule(self.now + self.report_interval_us * 4, self._probe_worker, worker)
            return
        wait_us = 0.0
        if worker.reported_at is not None:
            utilization = (
                1.0 - min(1.0, worker.free_slots / worker.total_slots) if worker.total_slots else 1.0
            )
            wait_us = (
                worker.reported_at
                + 1.0 / (max(utilization, PROBE_MIN_UTILIZATION) * self._probe_rate())
                - self.now
            )
        if wait_us > 0:
            self._schedule(self.now + max(wait_us, self.settings.tick_us), self._probe_worker, worker)
        elif not worker.probe_pending:
            worker.probe_pending = True
            self.actions.append(Probe(worker.name))

    def _on_probe_result(self, event: ProbeResult) -> None:
        worker = self.workers.get(event.worker)
        if worker is None or not worker.probe_pending:
            return
        worker.probe_pending = False
        if event.outcome is Outcome.SUCCESS:
            self._apply_report(worker, event.report)
            self.retry_held = True
            if worker.maybe_restarted:
                self._restore(worker)
            if worker.error_rate >= EJECTION_ERRORS_PER_S:
                self._eject(worker, "errors", RECOVERY_SUCCESSES)
            if worker.unreachable_since is not None:
                worker.unreachable_since, worker.connection_failures = None, 0
        elif event.outcome is Outcome.UNREACHABLE:
            self._record_failure(worker, lost=True)
        self._schedule(
            self.now + max(self.settings.tick_us, 1.0 / self._probe_rate()), self._probe_worker, worker
        )

    # ------------------------------------------------------------ outlier ejection

    def _record_failure(self, worker: Worker, lost: bool) -> None:
        """Count a broken (or, if ``lost``, impossible) connection; several in a row eject the worker."""
        worker.connection_failures += 1
        if lost:
            if worker.unreachable_since is None:
                worker.unreachable_since = self.now
            worker.maybe_restarted = (
                worker.maybe_restarted or self.now - worker.unreachable_since >= self.duration_us
            )
        if worker.connection_failures >= EJECTION_FAILURES:
            self._eject(worker, "no connection" if lost else "connections broken")

    def _eject(self, worker: Worker, reason: str, successes: int = 1) -> None:
        """Send a worker nothing until a trial request, after a delay that grows with each failed trial.

        ``successes``: how many requests in a row must then succeed before the ejection ends.
        """
        worker.successes_needed = max(worker.successes_needed, successes)
        if worker.trial_attempt is None and self.now < worker.ejected_until:
            return
        if (
            successes > 1
            and not worker.ejections
            and self.now - worker.recovered_at < MAX_BACKOFF_MULTIPLE * self.duration_us
        ):
            worker.ejections = worker.past_ejections  # failed again soon: the delays go on growing
        worker.ejections += 1
        worker.trial_attempt = None
        ejection_us = self.duration_us * min(MAX_BACKOFF_MULTIPLE, BACKOFF_GROWTH ** (worker.ejections - 1))
        ejection_us *= 0.75 + self.random.random() / 2
        worker.ejected_until, worker.fragile_ejected_until = (
            self.now + int(ejection_us), self.now + int(2 * ejection_us)
        )
        if worker.ejections == 1:
            self._log(f"worker {worker.name} ejected: {reason}")

    def _restore(self, worker: Worker) -> None:
        """End the ejection of a worker that served or started a request, or answered a probe.

        One that could not be reached for long may be a new process, so it gets a slow start.
        """
        if worker.ejections:
            self._log(f"worker {worker.name} restored")
            worker.past_ejections, worker.recovered_at = worker.ejections, self.now
        if worker.maybe_restarted:
            worker.slow_start_since = self.now
            worker.credit_updated_at = None
        worker.ejections = worker.successes_needed = 0
        worker.maybe_restarted = False
        worker.trial_attempt = None

    def _record_success(self, worker: Worker) -> None:
        """Count a request that succeeded at the worker."""
        worker.connection_failures, worker.unreachable_since = 0, None
        worker.successes_needed -= 1
        if worker.ejections and worker.successes_needed <= 0:
            self._restore(worker)

    def _start_overdue(self, worker: Worker) -> bool:
        """Return whether a start notification is overdue.

        Either the worker's queue is longer than its report says, or the worker hangs.
        """
        if not worker.unstarted:
            return False
        oldest: Attempt = next(iter(worker.unstarted))
        return self.now - oldest.sent_at > self._start_timeout(oldest.request.info)

    def _own_queued(self, worker: Worker) -> float:
        """Return the number of own requests queued at the worker.

        Without start notifications these are the ones above the own part of its slots.
        """
        if self.settings.reports_start:
            return len(worker.unstarted)
        return (
            max(0.0, worker.own_slots - OWN_SLOTS_SHARE * self.own_share * worker.total_slots)
            if worker.total_slots else 0.0
        )

    def _may_queue(self, worker: Worker) -> bool:
        """Return whether a request may queue there: none is known to, and it has not just rejected one."""
        if self.peers.load_at(worker.key)[1] > 0:
            return False
        return self._own_queued(worker) <= 0.0 and self.now >= worker.blocked_until

    def _queue_limit_reached(self) -> bool:
        """Return whether the own queued requests have used up the own share of all queue places."""
        if not self.settings.reports_start:
            return False
        queued, limit = (
            sum(len(w.unstarted) for w in self.usable),
            QUEUED_PER_WORKER * self.own_share * len(self.usable),
        )
        if self.settings.report_source is ReportSource.NONE:
            # The own work share cannot be measured without reports; own running requests indicate it.
            limit = max(limit, QUEUED_PER_RUNNING * (sum(w.own_slots for w in self.usable) - queued))
        return queued >= max(1.0, limit)

    def _record_run_time(self, attempt: Attempt, run_us: float) -> None:
        """Count a run time, known at the end or extrapolated from the first progress notification."""
        if attempt.run_time_counted or not attempt.started_at or run_us <= 0:
            return
        attempt.run_time_counted = True
        worker, log_run = attempt.worker, log(run_us)
        log_mean = self._update_log_mean(attempt.request.cls, log_run)
        kind = self.kind_run_time.setdefault(worker.kind, RelativeRunTime(1.0 - EWMA_WEIGHT / 10))
        kind.add(log_run - log_mean)
        worker.relative_run_time.add(log_run - log_mean)

    def _update_log_mean(self, cls: int, log_run: float) -> float:
        """Add a logarithm of a run time to the statistics of the class; return the mean before it."""
        log_mean = self.class_log_mean[cls]
        if log_mean is None:
            log_mean = log_run
        self.class_log_mean[cls] = log_mean + EWMA_WEIGHT / 2 * (log_run - log_mean)
        self.class_log_variance[cls] += (
            EWMA_WEIGHT / 2 * ((log_run - log_mean) ** 2 - self.class_log_variance[cls])
        )
        return log_mean

    def _relative_speed(self, worker: Worker) -> float:
        """Return the weight of the worker's free capacity by its speed: below 1 where requests run longer."""
        kind = self.kind_run_time.get(worker.kind)
        return exp(-worker.relative_run_time.estimate(kind.estimate() if kind is not None else 0.0))

    def _start_timeout(self, info: RequestClass) -> float:
        """Return the delay in microseconds after which a start notification is overdue."""
        return (
            max(START_DELAY_TARGET_SHARE * info.latency_target_us, START_DELAY_MULTIPLE * self.start_delay_us)
            + 2 * self.settings.tick_us
        )

    def _slack(self, cls: int) -> float:
        """Return how long a typical request of the class can queue and still meet its latency target."""
        info = self.settings.classes[cls]
        return (
            info.latency_target_us
            + max(0.0, info.latency_target_factor - 1.0) * self.class_duration_us[cls] / 2
        )

    def _worth_density(self, cls: int) -> float:
        """Return the worth of the class per unit of service time."""
        worth = self.settings.classes[cls].worth
        return worth if self.settings.worth_by_work else worth / self.class_duration_us[cls]

    def _worth_hedging(self, cls: int) -> bool:
        """Return whether a request of the class is worth enough for its service time to be hedged.

        Without cancellation a hedge costs a whole service time.  With start notifications the queued attempt
        is cancelled when the other one starts, so that a hedge costs no more than a place in a queue.
        """
        if self.settings.reports_start and self.settings.limits.cancel:
            return True
        worth = total_us = 0.0
        for c, share in enumerate(self.class_shares):
            worth += share * self._worth_density(c) * self.class_duration_us[c]
            total_us += share * self.class_duration_us[c]
        return self._worth_density(cls) * total_us >= HEDGE_MIN_RELATIVE_WORTH * worth

    def _in_time_probability(self, request: Request) -> float:
        """Return the probability that the request would meet its latency target if it started now.

        The target grows with the request's own run time, so after a long wait only a long request can still
        be in time.  The result is the share of such requests, weighted by their work, of a lognormal
        distribution of the run times of the class.
        """
        info = request.info
        overdue_us = self.now - request.arrived + request.prior_wait_us - info.latency_target_us
        if overdue_us <= 0:
            return 1.0
        if info.latency_target_factor <= 1.0:
            return 0.0
        min_run_us = overdue_us / (info.latency_target_factor - 1.0)
        variance = max(self.class_log_variance[request.cls], MIN_LOG_VARIANCE)
        observed_mean = self.class_log_mean[request.cls]
        log_mean = (
            log(self.class_duration_us[request.cls]) - variance / 2
            if observed_mean is None
            else observed_mean
        )
        return 0.5 * erfc((log(min_run_us) - log_mean - variance) / sqrt(2 * variance))

    # ------------------------------------------------------------ eligible workers and the draw

    def _may_receive(self, worker: Worker, request: Request) -> bool:
        """Return whether a worker may get a request.

        Checks rules 3 (it has to be ready) and 4 (the slow-start budget), the machine kind, and that an
        ejected worker gets one trial request at a time.
        """
        if not worker.ready:
            return False
        kind = request.info.kind
        if kind >= 0 and worker.kind != kind:
            return False
        if self._is_ejected(worker):
            return False
        if (
            worker.successes_needed > 1
            and request.effect is Effect.FRAGILE
            and self.now < worker.fragile_ejected_until
        ):
            return False  # errors are likely here: first only requests that may be retried elsewhere
        return worker.slow_start_since is None or self._has_slow_start_budget(worker)

    def _is_ejected(self, worker: Worker) -> bool:
        """Return whether the worker is ejected: its trial request is in flight or not yet due."""
        return worker.ejections > 0 and (worker.trial_attempt is not None or self.now < worker.ejected_until)

    def _has_slow_start_budget(self, worker: Worker) -> bool:
        """Return whether the own part of the budget of a worker in slow start is not used up.

        The budget is the work that rule 4 allows in any window of ``rules.overload_window_us``; the own part
        follows the work share.
        """
        rules = self.settings.rules
        capacity = worker.capacity_share(self.now, self.settings)
        if capacity >= 1.0:
            return True
        if worker.credit_updated_at is None:
            # All dispatchers learn of the worker at once: a random negative credit spreads their first sends.
            worker.credit_updated_at = self.now
            worker.slow_start_credit = -self.random.random() * self.duration_us
        slots = worker.total_slots or self._min_slots()
        work_share = self.work_share.value(self._dispatchers_per_worker)
        rate = SLOW_START_BUDGET_SHARE * rules.overload_multiple * capacity * slots * work_share
        credit = worker.slow_start_credit + rate * (self.now - worker.credit_updated_at)
        worker.slow_start_credit = min(credit, rate * rules.overload_window_us / 2)
        worker.credit_updated_at = self.now
        return worker.slow_start_credit > 0

    def _min_slots(self) -> float:
        """Return the slots to assume of a worker that has reported none.

        It is the least number known, so as not to overload the worker.
        """
        if self._min_known_slots is None:
            self._min_known_slots = min((w.total_slots for w in self.usable if w.total_slots), default=1.0)
        return self._min_known_slots

    def _kind_room_shares(self, cls: int) -> dict[int, float]:
        """Return, by machine kind, the share of its free slots that this class may use.

        Kinds are named only if classes bound to them, of more worth for their service time, demand more than
        their free slots.
        """
        shares: dict[int, float] = {}
        for bound_class in self.bound_classes:
            if (
                self.settings.classes[cls].kind >= 0
                or self._worth_density(bound_class) <= self._worth_density(cls)
            ):
                continue
            kind = self.settings.classes[bound_class].kind
            room = 0.0
            for w in self.usable:
                if w.kind == kind and w.total_slots:
                    room += max(0.0, w.free_slots - w.slots_since_report)
            demand = (
                self.class_shares[bound_class] * self.class_duration_us[bound_class]
                * self._dispatchers_per_worker / self.arrival_gap_us
            )
            if room < demand:
                shares[kind] = min(room / demand, shares.get(kind, 1.0))
        return shares

    def _candidates(self, request: Request) -> list[Worker]:
        """Return the workers to draw from: the usable ones, or all of the only cell that may get a repeat."""
        if not self.pool.exceeds_subset:
            return self.usable
        cell = request.dedup_cell()
        candidates = self.usable if cell is None else self.pool.in_cell(cell)
        if len(candidates) > MIN_SUBSET_SIZE:
            return self.random.sample(candidates, MIN_SUBSET_SIZE)
        return candidates

    def _draw(
        self,
        request: Request,
        exclude: Worker | None = None,
        need_room: bool = False,
        other_zone: bool = False,
    ) -> Worker | None:
        """Draw a worker with probability proportional to 1 - u_j, or uniformly if all are full.

        Returns None if no worker is eligible.  ``exclude`` is never drawn.  With ``need_room`` only a worker
        with enough free slots is drawn; with ``other_zone`` only one outside the zone of ``exclude`` whose
        connections have not failed.
        """
        now, settings = self.now, self.settings
        eligible = [
            w for w in self._candidates(request)
            if w is not exclude and self._may_receive(w, request) and request.may_send(w, now, settings)
        ]
        if other_zone and exclude is not None:
            eligible = [w for w in eligible if w.zone != exclude.zone and w.unreachable_since is None]
        if not eligible:
            return None
        reported = [w for w in eligible if w.reported_at is not None and w.total_slots > 0]
        no_reports = not reported and settings.report_source is ReportSource.NONE
        if need_room and not reported and not no_reports:
            return None
        max_own_slots = 1.0 + max(w.own_slots for w in eligible) if no_reports else 0.0
        # Means over the workers that have reported: free share, share taken by other dispatchers, slots.
        mean_room = mean_other_load = mean_slots = 0.0
        home_room, home_count = 0.0, 0  # sum of the free shares and number of those in the own zone
        for w in reported:
            room = (w.free_slots - w.slots_since_report) / w.total_slots
            if w.zone == settings.zone:
                home_room += max(0.0, room)
                home_count += 1
            mean_other_load += max(0.0, 1.0 - room - w.own_slots / w.total_slots) / len(reported)
            mean_room += max(0.0, room) / len(reported)
            mean_slots += w.total_slots / len(reported)
        slots, memory = request.slots, request.memory
        reserved = self.reserved if self.reserved and slots <= self._max_slots() / 2 else frozenset()
        kind_shares = self._kind_room_shares(request.cls) if reported and self.bound_classes else {}
        # Crossing zones has a price: the own zone gets more while it has its part of the free slots.
        cross_zone_factor = 1.0
        if mean_room > 0.0 and home_count and settings.prices.cross_zone > 0.0:
            cross_zone_factor -= (
                min(1.0, CROSS_ZONE_WEIGHT * settings.prices.cross_zone)
                * min(1.0, home_room / home_count / mean_room)
            )
        # All dispatchers fill free slots in proportion to their number, so a free worker approaches the
        # mean as fast as the arrivals of the fleet fill all free slots; a full one stays full for the
        # duration of a request.
        full_fade_us = self.duration_us
        room_fade_us = 1.0 / (
            1.0 / full_fade_us
            + 1.0 / (
                self.arrival_gap_us * self.own_share * max(1.0, mean_room * mean_slots * len(reported))
            )
        )
        weights, full_workers, full_weights = [], [], []
        peer_share = self.peers.known_share  # share of the peers whose load is known
        queue_full = self._queue_limit_reached()
        for w in eligible:
            weight = 0.0
            if reported and w.name in reserved:
                weights.append(0.0)
                continue
            if reported:
                total, room = w.total_slots or mean_slots, mean_room
                peer_load = self.peers.load_at(w.key)[0] / total
                if w.reported_at is not None and w.total_slots > 0:
                    own_room = w.free_slots - w.slots_since_report
                    # The weight of a report against the mean decays with its age.
                    freshness = exp(
                        ((w.report_changed_at or now) - now)
                        / (room_fade_us if own_room > 0.0 else full_fade_us)
                    )
                    other_load = max(0.0, 1.0 - (own_room + w.own_slots) / total)
                    other_load = freshness * other_load + (1.0 - freshness) * mean_other_load
                    other_load = peer_share * peer_load + (1.0 - peer_share) * other_load
                    room = 1.0 - w.own_slots / total - other_load
                    if w.free_slots < 1.0 and not self.queue_reported:
                        own_queued = self._own_queued(w)
                        if own_queued > 0.0:
                            # Queued requests take each slot that is freed; those of peers are not visible.
                            room = min(room, -own_queued / self.own_share / total)
                elif peer_share > 0.0:
                    room = min(room, 1.0 - w.own_slots / total - peer_load)
                room = min(room, 1.0 - w.own_slots / total)
                has_room = room * total > slots - 0.5
                if memory and w.free_memory is not None and memory > w.free_memory:
                    has_room = False
                if w.kind in kind_shares:
                    room *= kind_shares[w.kind]
                if (
                    has_room
                    and room > 0.0
                    and now >= w.blocked_until
                    and not (w.unstarted and self._start_overdue(w))
                ):
                    weight = (
                        room * self._relative_speed(w)
                        * (1.0 if w.zone == settings.zone else cross_zone_factor)
                    )
                elif w.kind not in kind_shares and not queue_full and self._may_queue(w):
                    full_workers.append(w)
                    full_weights.append(
                        room if peer_share > 0.0 and slots > 1.0 and room * total > 0.5 else 0.0
                    )
            elif no_reports:  # estimate the utilization by own attempts in flight
                if not queue_full and self._may_queue(w):
                    weight = (1.0 - w.own_slots / max_own_slots) * self._relative_speed(w)
            elif not w.unstarted or not self._start_overdue(w):
                full_workers.append(w)
                full_weights.append(0.0)
            if w.slow_start_since is not None:
                weight = min(weight, mean_room) * w.capacity_share(now, settings)
            weights.append(weight)
        weight_sum = sum(weights)
        if weight_sum <= 0.0:
            if need_room or not full_workers:
                return None
            # A request of many slots queues where some of them are free already.
            eligible, weights = full_workers, full_weights
            if sum(weights) <= 0.0:
                weights = [w.capacity_share(now, settings) for w in eligible]
            weight_sum = sum(weights)
        point = self.random.random() * weight_sum
        for w, weight in zip(eligible, weights, strict=True):
            point -= weight
            if point < 0.0:
                return w
        return eligible[weights.index(max(weights))]  # the rounding error exceeded the last weight

    # ------------------------------------------------------------ sending, holding and answering

    def _send(self, request: Request, worker: Worker) -> bool:
        """Send an attempt if both checks allow it; return whether it was sent.  Nothing else sends."""
        now = self.now
        if not (request.may_send(worker, now, self.settings) and self._may_receive(worker, request)):
            return False
        send_by = request.send_by(self.settings)
        attempt = Attempt(request, len(request.attempts), worker, now)
        request.attempts.append(attempt)
        request.attempts_out += 1
        worker.add_slots(now, request.slots)
        if worker.ejections:
            worker.trial_attempt = attempt
        worker.slow_start_credit -= request.slots * self.class_duration_us[request.cls]
        self.actions.append(Send(request.id, worker.name, request.policy.attempt_timeout_us, send_by))
        delay_us = START_DELAY_MULTIPLE * self.duration_us
        if self.settings.reports_start:
            worker.unstarted[attempt] = None
            delay_us = max(self._start_timeout(request.info), HEDGE_DELAY_SHARE * self._slack(request.cls))
        elif request.expected_us and self._is_large_fleet():
            delay_us = min(delay_us, request.expected_us + HEDGE_DELAY_SHARE * request.info.latency_target_us)
        self._schedule(now + delay_us, self._hedge_if_due, attempt)
        return True

    def _dispatch(self, request: Request, exclude: Worker | None = None) -> bool:
        """Send the request to a drawn worker, if possible another one than ``exclude``."""
        worker = None
        if exclude is not None:
            if exclude.unreachable_since is not None and self._is_large_fleet():
                # The whole zone may have failed; the few attempts of a request must not all be spent on it.
                worker = self._draw(request, exclude, other_zone=True)
            worker = worker or self._draw(request, exclude)
        worker = worker or self._draw(request)
        return worker is not None and self._send(request, worker)

    def _hold(self, request: Request) -> None:
        """Queue a request here: no worker may get it, or all are full with own requests queued at each.

        From here it can still go to the first worker with a free slot, and the most valuable request first.
        """
        self.held.append(request)
        self.retry_held = True

    def _rank(self, request: Request, probability: float) -> tuple[float, int]:
        """Return the sort key of a held request: the highest expected worth per service time first.

        ``probability`` is that of an answer in time.  Among equals the newest is first: it has most slack.
        """
        worth = request.worth
        worth /= self.class_duration_us[request.cls] * (1.0 if self.settings.worth_by_work else request.slots)
        return -worth * (probability + (1.0 - probability) * request.info.late_value), -request.arrived

    def _dispatch_held(self) -> None:
        """Try to send the held requests in order of rank; answer those that cannot succeed any more."""
        self.retry_held = False
        held: list[tuple[tuple[float, int], Request]] = []
        for request in self.held:
            if not request.live:
                continue
            probability = self._in_time_probability(request)
            hopeless = (
                request.info.late_value <= 0.0
                and probability < MIN_IN_TIME_PROBABILITY
                and request.may_refuse()
            )
            if hopeless:
                self._finish_unserved(request, CloseReason.NOT_IN_TIME)
            elif request.window_expired(self.now, self.settings):
                self._finish_unserved(request, CloseReason.REPEAT_WINDOW_OVER)
            else:
                held.append((self._rank(request, probability), request))
        held.sort(key=itemgetter(0))
        self.held = []
        undispatchable: dict[tuple[int, bool], float] = {}  # least slots for which no worker was found
        for _, request in held:
            group = (request.cls, bool(request.attempts))
            if request.slots < undispatchable.get(group, inf):
                if self._dispatch(request):
                    continue
                undispatchable[group] = request.slots
            self.held.append(request)
        # The more requests are held, the less often they are examined: this bounds the work per event.
        self.next_pass_at = self.now + self.settings.tick_us * (len(self.held) // HELD_PER_TICK)
        if self.held:
            delay_us = max(
                self.settings.tick_us,
                START_DELAY_TARGET_SHARE * min(self.duration_us, self.report_interval_us),
            )
            delay_us = max(delay_us, self.next_pass_at - self.now)
            self._schedule(self.now + delay_us, self._request_held_pass, self)

    def _request_held_pass(self, _: object) -> None:
        self.retry_held = True

    def _close(self, request: Request) -> None:
        """Close a request: cancel its attempts in flight; their outcomes count for the statistics only."""
        request.live = False
        for a in request.attempts:
            a.live = False
            if a.outcome is None and self.settings.limits.cancel and not request.streaming:
                self.actions.append(Cancel(request.id, a.number))
        if not request.attempts_out:
            self.requests.pop(request.id, None)

    def _retry_after(self) -> int:
        """Return the microseconds after which a refused client should retry.

        By then a worker that rejected requests or was ejected may get one again, and running requests have
        freed some slots.
        """
        limits = self.settings.limits
        if not limits.retry_after:
            return 0
        reopens_at = min((max(w.blocked_until, w.ejected_until) for w in self.usable), default=self.now)
        wait_us = max(self.settings.tick_us, int(self.duration_us / 2), reopens_at - self.now)
        return min(wait_us, limits.max_retry_after_us or wait_us)

    def _finish_unserved(self, request: Request, reason: CloseReason) -> None:
        """Give the final answer: a refusal if it is allowed and the client has time left, else a failure."""
        if request.may_refuse() and self.now < request.deadline - self.settings.tick_us:
            self.actions.append(Refuse(request.id, self._retry_after(), reason))
        else:
            self.actions.append(Fail(request.id, reason))
        self.class_rejected_at[request.cls] = self.now
        self._close(request)

    def _fail(self, request: Request, reason: CloseReason = CloseReason.DEADLINE) -> None:
        if not request.streaming:
            self.actions.append(Fail(request.id, reason))
            self.class_rejected_at[request.cls] = self.now
            self._close(request)

    def worker_counts(self) -> tuple[int, int]:
        """Return how many workers are listed, and how many of them get nothing now: not ready, or ejected."""
        listed = [w for w in self.workers.values() if w.listed]
        return len(listed), sum(not w.ready or self._is_ejected(w) for w in listed)

    # ------------------------------------------------------------ request life cycle

    def _on_request(self, event: RequestArrived) -> None:
        if event.request in self.requests or not 0 <= event.cls < len(self.settings.classes):
            return
        now = self.now
        self.arrivals += 1
        if self.arrivals % ARRIVALS_PER_UPDATE == 0:
            self._update_own_share()
        if self.arrivals > 1:
            weight = max(EWMA_WEIGHT / 4, 1.0 / self.arrivals)
            self.arrival_gap_us = max(
                1.0, self.arrival_gap_us + weight * (now - self.last_arrival - self.arrival_gap_us)
            )
        elapsed_us, self.last_arrival = now - self.last_arrival, now
        own_share = self.own_share * self._usable_fraction  # of the work at all workers
        for tenant, quota in enumerate(self.tenant_quotas):
            self.tenant_tokens[tenant] = min(
                quota, self.tenant_tokens[tenant] + quota * own_share * elapsed_us / SECOND_US
            )
        for c in range(len(self.class_shares)):
            self.class_shares[c] += EWMA_WEIGHT / 4 * ((c == event.cls) - self.class_shares[c])
        self._update_reservations(event.cls, non_negative_number(event.slots) or 1.0)
        retry_ratio = RETRY_RATIO_LARGE_FLEET if self._is_large_fleet() else RETRY_RATIO
        self.retry_tokens = min(RETRY_BUDGET_BURST, self.retry_tokens + retry_ratio)
        request = Request(event, self.settings.classes[event.cls], now)
        self.class_time_left_us[event.cls] = max(self.class_time_left_us[event.cls], event.time_left_us)
        # A client's retry has less time left than its first request; it follows a refusal or a failure.
        prior_wait_us = self.class_time_left_us[event.cls] - event.time_left_us
        if now - self.class_rejected_at[event.cls] <= prior_wait_us:
            request.prior_wait_us = prior_wait_us
        if self._over_quota(event.tenant):
            request.worth *= self.settings.over_share_worth
        self.requests[request.id] = request
        self._schedule(max(now, request.deadline - self.settings.tick_us), self._fail, request)
        if self.held or not self._dispatch(request):  # held requests go first, by rank
            self._hold(request)

    def _max_slots(self) -> float:
        return max((w.total_slots for w in self.usable), default=0.0)

    def _update_reservations(self, cls: int, slots: float) -> None:
        """Reserve some workers, the same ones at every dispatcher, for wide requests.

        A request that takes over half of a worker seldom finds enough free slots at one of them where
        narrower requests are spread evenly.
        """
        if not self.settings.limits.peer_messages:
            return  # each dispatcher would reserve other workers
        rounded_slots = ceil(slots)
        if rounded_slots > 1 and (
            rounded_slots in self.work_by_size_us or len(self.work_by_size_us) < MAX_SIZES
        ):
            self.work_by_size_us.setdefault(rounded_slots, 0.0)
        weight = max(WIDE_EWMA_WEIGHT, 1.0 / (self.arrivals + 1))
        for size, mean_us in self.work_by_size_us.items():
            self.work_by_size_us[size] = mean_us + weight * (
                slots * self.class_duration_us[cls] * (size == rounded_slots) - mean_us
            )
        if self.arrivals % ARRIVALS_PER_UPDATE:
            return
        max_slots = self._max_slots()
        self.wide_work_us = sum(
            mean_us for size, mean_us in self.work_by_size_us.items() if size > max_slots / 2
        )
        peer_share = self.peers.known_share
        if self.wide_work_us <= 0.0 or max_slots <= 1.0 or peer_share <= 0.0:
            self.reserved = frozenset()
            return
        own_load = self.wide_work_us / self.arrival_gap_us
        known_load = (own_load + self.peers.wide_slots) * self._usable_fraction
        needed = (
            RESERVATION_FACTOR
            * (peer_share * known_load + (1.0 - peer_share) * own_load / self.own_share)
            / max_slots
        )
        count = min(int(needed + 0.5), len(self.usable) // 2)
        ordered = sorted(self.usable, key=lambda w: (w.key, w.name))
        self.reserved = frozenset(w.name for w in ordered[:count])

    def _over_quota(self, tenant: int) -> bool:
        """Return whether a tenant has used up the own part of its quota; if not, take one from it.

        A tenant that the settings do not name has no quota where others have one.
        """
        if not 0 <= tenant < len(self.tenant_quotas):
            return bool(self.tenant_quotas)
        if self.tenant_quotas[tenant] <= 0:
            return False
        if self.tenant_tokens[tenant] < 1.0:
            return True
        self.tenant_tokens[tenant] -= 1.0
        return False

    def _update_own_share(self) -> None:
        """Update the own work share: own slots in use relative to all slots in use by the reports."""
        self.work_share.observe(self.usable, self._min_slots())
        own_slots = used_slots = 0.0
        for w in self.usable:
            if w.total_slots:
                own_slots += min(w.own_slots, w.total_slots)
                used_slots += max(min(w.own_slots, w.total_slots), w.total_slots - max(0.0, w.free_slots))
        if used_slots > 0:
            min_share = MIN_WORK_SHARE_RATIO / self._dispatchers_per_worker
            self.own_share = max(
                min_share, self.own_share + EWMA_WEIGHT * (own_slots / used_slots - self.own_share)
            )

    def _hedge_if_due(self, attempt: Attempt) -> None:
        """Hedge an attempt that has not started in time, if that is allowed and a worker has free slots."""
        request = attempt.request
        if request.effect is Effect.FRAGILE or attempt.started_at or request.attempts_out > 1:
            return
        if (
            self.retry_tokens >= 1.0
            and self.now >= self.hedge_not_before[request.cls]
            and self._worth_hedging(request.cls)
        ):
            worker = self._draw(request, attempt.worker, need_room=True)
            if worker is not None and request.take_retry_budget() and self._send(request, worker):
                self.retry_tokens -= 1.0
                return
            # No worker has free slots: one search serves all waiting requests of the class.
            self.hedge_not_before[request.cls] = self.now + 2 * self.settings.tick_us
        self._schedule(self.now + self._start_timeout(request.info), self._hedge_if_due, attempt)

    def _on_attempt_progress(self, event: AttemptProgress) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if event.progress is Progress.FRACTION_DONE and attempt.started_at:
            done = non_negative_number(event.value)
            if done and attempt.outcome is None:
                self._record_run_time(attempt, (self.now - attempt.started_at) / min(done, 1.0))
            return
        if event.progress is not Progress.STARTED or attempt.started_at or attempt.outcome is not None:
            return
        attempt.started_at = self.now
        self._stop_waiting(attempt)
        self.retry_held = True
        worker = attempt.worker
        delay = self.now - attempt.sent_at
        above = delay > self.start_delay_us
        # The estimate follows the quantile START_DELAY_QUANTILE of the delays.
        self.start_delay_us *= 1.0 + EWMA_WEIGHT * (
            START_DELAY_QUANTILE if above else START_DELAY_QUANTILE - 1.0
        )
        self.start_delay_us = max(self.start_delay_us, 1.0)
        if worker.ejections and attempt is worker.trial_attempt:
            self._restore(worker)
        if request.attempts_out > 1 and request.live:
            for a in request.attempts:
                if a is not attempt and a.outcome is None and self.settings.limits.cancel:
                    # One of two attempts runs; the other one, not started or started later, only costs.
                    loser = a if not a.started_at else attempt
                    loser.live = False
                    self.actions.append(Cancel(request.id, loser.number))

    def _on_stream_started(self, event: StreamStarted) -> None:
        request = self.requests.get(event.request)
        if request is not None and 0 <= event.attempt < len(request.attempts):
            request.streaming = True
            self._stop_waiting(request.attempts[event.attempt])

    def _stop_waiting(self, attempt: Attempt) -> None:
        attempt.live = False
        attempt.worker.unstarted.pop(attempt, None)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None:
            self._apply_report(worker, event.report)
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        now, worker, outcome = self.now, attempt.worker, event.outcome
        self.retry_held = True
        attempt.outcome = outcome
        request.attempts_out -= 1
        self._stop_waiting(attempt)
        worker.add_slots(now, -request.slots)
        if outcome is Outcome.SUCCESS:
            duration_us = max(self.settings.tick_us, now - (attempt.started_at or attempt.sent_at))
            self.work_share.record_duration(duration_us, request.expected_us)
            self.duration_us += EWMA_WEIGHT * (duration_us - self.duration_us)
            self.class_duration_us[request.cls] += EWMA_WEIGHT * (
                duration_us - self.class_duration_us[request.cls]
            )
            if self.settings.reports_start:
                self._record_run_time(attempt, duration_us)
            else:
                self._update_log_mean(request.cls, log(duration_us))
            self._record_success(worker)
        elif outcome is Outcome.UNREACHABLE or outcome is Outcome.CONNECTION_LOST:
            self._record_failure(worker, outcome is Outcome.UNREACHABLE)
        elif outcome is Outcome.FAILURE:
            self._eject(worker, "errors", RECOVERY_SUCCESSES)
        elif outcome is Outcome.OVERLOADED:
            worker.free_slots = min(worker.free_slots, 0.0)  # not a fault: the worker is full now
            worker.reported_at = worker.report_changed_at = now
            worker.slots_since_report = 0.0
            worker.slot_changes.clear()
            # Without the pause every request would be sent to it again at once while own requests are queued
            # at all other workers.
            worker.blocked_until = now + int(self.duration_us / 2)
        if attempt is worker.trial_attempt:
            worker.trial_attempt = None
        if event.closed or not request.live:
            if request.live:
                self._close(request)
            elif not request.attempts_out:
                self.requests.pop(request.id, None)
            return
        rejected = outcome is Outcome.REJECTED and request.attempts_out == 0
        if rejected or now >= request.deadline - self.settings.tick_us:
            self._fail(request, CloseReason.REJECTED if rejected else CloseReason.DEADLINE)
        elif request.attempts_out == 0:
            self._retry(request, attempt)

    def _retry(self, request: Request, attempt: Attempt) -> None:
        """Retry a request whose last attempt in flight failed, if allowed, else give the final answer."""
        may_retry = request.attempts_left(self.settings) > 0 and request.take_retry_budget()
        if may_retry and (attempt.outcome in NEVER_RAN or self.retry_tokens >= 1.0):
            if attempt.outcome not in NEVER_RAN:
                self.retry_tokens -= 1.0
            if self._dispatch(request, attempt.worker):
                return
            if attempt.outcome in NEVER_RAN and not request.window_expired(self.now, self.settings):
                self._hold(request)
                return
        self._finish_unserved(request, CloseReason.ATTEMPTS_USED)

    def _on_request_abandoned(self, event: RequestAbandoned) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.live:
            self._close(request)
