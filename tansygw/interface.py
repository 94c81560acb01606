"""The interface of the decision module: settings, events (its input) and actions (its output).

Times are integer microseconds on the clock that the caller passes to ``Dispatcher.step``.
A worker is identified by an opaque string, a request by an integer, an attempt by its number
within the request (0, 1, 2, ... in the order of its sends).  The units of slots and memory are
the caller's choice, the same for requests and for load reports.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol, TypeAlias


class Effect(StrEnum):
    """What happens if a request of the class runs twice."""

    RETRYABLE = "retryable"  # harmless: it may be retried and refused freely
    DEDUP = "dedup"  # workers of one group drop duplicates within the class's window
    FRAGILE = "fragile"  # must not run twice


class DedupGroup(StrEnum):
    """The workers that drop each other's duplicates of a dedup class."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(StrEnum):
    """How an attempt ended.  OVERLOADED, UNREACHABLE, NOT_SENT and REJECTED prove it never ran."""

    SUCCESS = "success"
    FAILURE = "failure"  # the worker returned an error; it may have run
    OVERLOADED = "overloaded"  # rejected by a full worker before it was processed
    TIMED_OUT = "timed_out"  # no answer in time; it may have run or be running
    UNREACHABLE = "unreachable"  # no connection
    CONNECTION_LOST = "broken"  # the connection broke; it may have run
    CANCELLED = "withdrawn"  # by the dispatcher; it may have run
    NOT_SENT = "void"  # never sent
    REJECTED = "rejected"  # the request itself is invalid: any other worker would reject it, too


NEVER_RAN = frozenset((Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.REJECTED))


class WorkerState(StrEnum):
    """The state of a worker in the list."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests, accepts no new ones
    GONE = "gone"


class ListKind(StrEnum):
    """What a WorkerList event contains."""

    COMPLETE = "complete"  # every worker; an absent one was removed
    CHANGES = "changes"  # only the entries that changed
    SAVED = "saved"  # a complete list saved by an earlier run, possibly stale
    FAILED = "failed"  # a subscribe or fetch failed, or the subscription dropped


class ReportSource(StrEnum):
    """Which events carry load reports."""

    OUTCOMES = "outcomes"  # outcomes of attempts and results of probes
    PROBES = "checks"  # results of probes only
    NONE = "nowhere"


class Progress(StrEnum):
    """What a progress notification of an attempt says."""

    STARTED = "started"
    FRACTION_DONE = "share_done"


# ---------------------------------------------------------------- settings


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str = ""  # for display only
    effect: Effect = Effect.FRAGILE
    group: DedupGroup = DedupGroup.ALL  # dedup classes only
    window_us: int = 0  # dedup: how long duplicates are dropped, from the first send that may have run
    latency_target_us: int = 0  # an answer within the target earns the full worth
    latency_target_factor: float = 0.0  # multiple of the request's own run time that is added to the target
    deadline_us: int = 0  # total time that the client waits
    worth: float = 1.0
    late_value: float = 0.0  # share of the worth that an answer after the target still earns
    stream: bool = False  # the answer is streamed
    kind: int = -1  # the only machine kind that can run it, or -1 for any
    priority: int = 0  # higher first, where workers queue by priority


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant and its share of the service."""

    name: str = ""
    quota_per_s: float = 0.0  # requests per second within its share, over all dispatchers; 0: no limit
    share: float = 0.0  # of the service


@dataclass(slots=True, frozen=True)
class Rules:
    """Rules of the platform that the decisions must keep."""

    answer_slack_us: int = 0  # grace after the deadline in which a final answer still counts
    drain_grace_us: int = 0  # grace for sends to a worker after it began to drain or left
    slow_start_share: float = 1.0  # least share of its capacity that a worker starts with
    slow_start_us: int = 0  # time until a starting worker has its full capacity
    overload_multiple: float = 1.0  # a starting worker that gets more than this multiple of its
    overload_window_us: int = 0  # present capacity for this long fails
    must_ask_in_us: int = 0  # list on request: time without a call after which changes count as known


@dataclass(slots=True, frozen=True)
class Limits:
    """What the platform permits the dispatcher to do."""

    cancel: bool = False
    second_copies: bool = False  # hedging: one request may have two attempts in flight
    probes: bool = False  # workers may be probed
    peer_messages: bool = False
    retry_after: bool = False  # clients get the retry-after time of a refusal
    max_attempts: int = 1
    max_open: int = 0  # concurrent requests; 0: no limit
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0


@dataclass(slots=True, frozen=True)
class Goal:
    """Weights of the components of the score."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True)
class Prices:
    """Penalties on the score, each multiplied by a share or rate."""

    cross_zone: float = 0.0  # attempts that cross zones, per first attempt
    waste: float = 0.0  # worker time without an answer, per work offered
    probe: float = 0.0  # probes, per first attempt
    peer: float = 0.0  # delivered peer messages of full length, per first attempt
    late_fail: float = 0.0  # worth that ended unserved after its target, per worth offered


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one dispatcher."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    goal: Goal = field(default_factory=Goal)
    prices: Prices = field(default_factory=Prices)
    tick_us: int = 1000  # shortest time between two steps
    zone: int = 0  # the zone this dispatcher is in
    rank: int = 0  # index of this dispatcher in its group, from 0
    group_size: int = 1  # dispatchers in the group
    list_on_request: bool = False  # the worker list comes only after a subscribe or fetch
    report_source: ReportSource = ReportSource.NONE
    report_fields: tuple[str, ...] = ()  # names such as inflight, queue, util, free_slots, free_memory
    reports_start: bool = False  # workers notify the start of a request
    progress_us: int = 0  # interval of progress notifications; 0: none
    queue_order: str = "fifo"  # fifo, backfill or priority
    hint_meaning: str = "silent"  # meaning of capacity_hint: silent, nominal, rough or live
    worth_by_work: bool = False  # worth counts per unit of work: long requests are worth more
    over_share_worth: float = 1.0  # factor on the worth of a request over its tenant's share


# ---------------------------------------------------------------- events


@dataclass(slots=True)
class WorkerEntry:
    """One worker in the list."""

    worker: str
    state: WorkerState = WorkerState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    capacity_hint: float = 1.0
    started_us: int = 0  # wall-clock time of its last start; 0: long ago


@dataclass(slots=True)
class WorkerList:
    """An update of the worker list.  The first event of every dispatcher is one of kind SAVED."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class EarlierAttempt:
    """An attempt sent by an earlier process; its outcome is unknown, so it may have run."""

    worker: str
    zone: int
    cell: int
    sent_us: int


class RetryBudget(Protocol):
    """The retry budget that requests of one kind share."""

    def take(self) -> bool:
        """Take one attempt from the budget; False where none is left."""


@dataclass(slots=True, frozen=True)
class RequestPolicy:
    """Limits of one request.  They can only narrow those of the settings and the rules."""

    max_attempts: int = 0  # 0: the settings'
    attempt_timeout_us: int = 0  # time-out of an attempt; 0: until the client's deadline
    second_copies: bool = True
    budget: RetryBudget | None = None  # asked before each attempt but the first


DEFAULT_POLICY = RequestPolicy()


NO_TENANT = -1  # the request names none of the configured tenants, so it has no share


@dataclass(slots=True)
class RequestArrived:
    """A client's request was received completely."""

    request: int
    cls: int
    time_left_us: int
    slots: float = 1.0
    memory: float = 0.0
    tenant: int = 0
    key: str = ""
    repeat: bool = False  # marked by the client as a repeat
    expected_us: int = 0  # expected run time at standard speed; 0: unknown
    earlier: tuple[EarlierAttempt, ...] = ()  # attempts sent by an earlier process
    policy: RequestPolicy = DEFAULT_POLICY
    has_dedup_key: bool = True  # dedup classes: workers can recognize a duplicate of it


Report: TypeAlias = Mapping[str, float]


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has its outcome."""

    request: int
    attempt: int
    worker: str
    outcome: Outcome
    duration_us: int = 0
    closed: bool = False  # the request is over; otherwise the final answer is still due
    report: Report | None = None


@dataclass(slots=True)
class AttemptProgress:
    """A worker reported the progress of an attempt."""

    request: int
    attempt: int
    worker: str
    progress: Progress
    value: float = 0.0  # FRACTION_DONE: from 0 to 1


@dataclass(slots=True)
class StreamStarted:
    """The first part of a streamed answer was received."""

    request: int
    attempt: int
    worker: str
    duration_us: int = 0


@dataclass(slots=True)
class RequestAbandoned:
    """The client disconnected; no answer is due."""

    request: int


@dataclass(slots=True)
class ProbeResult:
    """A probe has ended."""

    worker: str
    outcome: Outcome
    duration_us: int = 0
    report: Report | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another dispatcher of the group."""

    sender: int
    data: str = ""


@dataclass(slots=True)
class TimerFired:
    """A timer that was requested with SetTimer fired."""

    token: int = 0


Event: TypeAlias = (
    WorkerList
    | RequestArrived
    | AttemptEnded
    | AttemptProgress
    | StreamStarted
    | RequestAbandoned
    | ProbeResult
    | PeerMessage
    | TimerFired
)


# ---------------------------------------------------------------- actions


@dataclass(slots=True)
class Send:
    """Start an attempt."""

    request: int
    worker: str
    timeout_us: int = 0  # 0: until the client's deadline
    begin_by_us: int | None = None  # it must not be written later: a duplicate would no longer be dropped


class CloseReason(StrEnum):
    """Why a request ended without a worker's answer."""

    DEADLINE = "deadline"
    REJECTED = "rejected_by_server"
    ATTEMPTS_USED = "attempts_used"
    NOT_IN_TIME = "not_in_time"
    REPEAT_WINDOW_OVER = "repeat_window_over"


@dataclass(slots=True)
class Refuse:
    """Final answer: refused, and the client may safely retry."""

    request: int
    retry_after_us: int = 0
    reason: CloseReason = CloseReason.ATTEMPTS_USED


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: int
    reason: CloseReason = CloseReason.DEADLINE


@dataclass(slots=True)
class Cancel:
    """Cancel one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Ask a worker for its state."""

    worker: str


@dataclass(slots=True)
class SetTimer:
    """Request a TimerFired event after this time or later."""

    after_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes of the worker list."""


@dataclass(slots=True)
class Broadcast:
    """Send a text of at most 256 bytes to every other dispatcher of the group."""

    data: str


@dataclass(slots=True)
class Log:
    """Write a log line."""

    text: str


Action: TypeAlias = Send | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe | Broadcast | Log
