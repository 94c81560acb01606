"""Admission control: applies one generation of limits before a request reaches the dispatcher's queue.

No I/O, no clock.  ``AdmissionController.admit`` returns a Permit or a Refusal; ``release`` returns a permit.
The retry time of a refusal depends on the limit that refused.  Counters belong to keys and outlive
generations (``Counters``), so a reload neither opens a burst nor forgets requests in flight.

KeyCounters holds what is counted, a Rule the limits on it; a request is checked against its rules in order.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from tansygw.interface import RequestPolicy

from .adaptive import AdaptiveLimit
from .budget import RetryBudget
from .models import RequestLimits, SharedLimits
from .rate import RateLimiter

MIN_RETRY_AFTER_US = 10_000
MAX_RETRY_AFTER_US = 2_000_000  # retry times of refused callers are spread over this period
MIN_TIME_LEFT_RATIO = 0.5  # with less of the usual latency left a request cannot be answered in time
FAIR_SHARE_ACTIVE_US = 1_000_000  # a route claims its share for this long after its last request
MAX_FAIR_SHARE_KEYS = 256  # routes of a class that get their own share; further ones are not counted
SHED_START_RATIO = 0.6  # utilization above which requests of the lowest worth per time are refused
LATENCY_SMOOTHING = 0.05  # weight of the newest answer in the usual latency


class Limit(StrEnum):
    """The limit that refused a request."""

    RATE = "rate"
    IN_FLIGHT = "in_flight"
    FAIR_SHARE = "fair_share"
    ADAPTIVE = "adaptive"
    SHED = "shed"
    DEADLINE = "deadline"


class KeyCounters:
    """The counters of one class or route, across generations."""

    __slots__ = ("adaptive", "budget", "in_flight", "last_us", "name", "peak", "rate", "retry_at_us",
                 "usual_us")

    def __init__(self, name: str, usual_us: float) -> None:
        self.name = name
        self.retry_at_us = 0.0  # latest retry time given to a refused caller
        self.in_flight = 0
        self.last_us = 0  # time of the newest request
        self.peak = 0.0  # decaying maximum of requests in flight
        self.usual_us = usual_us  # mean latency
        self.rate: RateLimiter | None = None
        self.budget: RetryBudget | None = None
        self.adaptive: AdaptiveLimit | None = None


class Counters:
    """All keys of a node by name; ``total`` counts all requests."""

    def __init__(self) -> None:
        self.keys: dict[str, KeyCounters] = {}
        self.total = KeyCounters("", 0.0)

    def key(self, name: str, usual_us: float) -> KeyCounters:
        """The counters of a key, created on first use."""
        return self.keys.setdefault(name, KeyCounters(name, usual_us))

    def drop(self, names: frozenset[str]) -> None:
        """Remove keys that are not among ``names`` and have no request in flight."""
        for name in [n for n, key in self.keys.items() if n not in names and not key.in_flight]:
            del self.keys[name]


class Rule:
    """One key and its limits in one generation."""

    __slots__ = ("key", "limits")

    def __init__(self, key: KeyCounters, limits: SharedLimits) -> None:
        self.key = key
        self.limits = limits


@dataclass(slots=True)
class EffectiveLimits:
    """All limits of a class or route: those of each request, the class's rule, the route's rule if any."""

    cls: int
    request_limits: RequestLimits
    policy: RequestPolicy  # the limits that the dispatcher enforces
    class_rule: Rule
    route_rule: Rule | None = None
    budget: RetryBudget | None = None
    rules: tuple[Rule, ...] = ()  # in the order in which they are checked

    def __post_init__(self) -> None:
        self.rules = (self.class_rule,) if self.route_rule is None else (self.route_rule, self.class_rule)


@dataclass(slots=True, frozen=True)
class Refusal:
    """The limit and key that refused a request, and the time after which to retry."""

    limit: Limit
    key: str
    retry_after_us: int


@dataclass(slots=True)
class Permit:
    """Permission for one request; returned once to the controller that granted it."""

    controller: AdmissionController
    limits: EffectiveLimits
    began_us: int


class AdmissionController:
    """One generation of limits.

    ``density`` is the worth per time of each class, used for load shedding; ``max_open`` limits all
    concurrent requests (0: unlimited).
    """

    def __init__(
        self, generation: int, counters: Counters, resolve: Callable[[int, bytes, int], EffectiveLimits],
        density: list[float], max_open: int,
    ) -> None:
        self.generation = generation
        self.counters = counters
        self.resolve = resolve  # limits of a class and path; raises AmbiguousPath
        self.max_open = max_open
        best = max(density, default=1.0) or 1.0
        self.priorities = [d / best for d in density]  # 1 for the highest worth per time
        self.open = 0  # permits of this generation
        self._fair_at: dict[str, int] = {}
        self._fair: dict[str, tuple[float, float]] = {}  # by class: share per route, reserved for routes
        self._members: dict[str, list[KeyCounters]] = {}

    def admit(
        self, now: int, cls: int, path: bytes, left_us: int, repeat: bool = False
    ) -> Permit | Refusal:
        """Admit a request or return the limit that it exceeds; refused requests are not counted."""
        limits = self.resolve(cls, path, now)
        rules = limits.rules
        least = MIN_TIME_LEFT_RATIO * limits.class_rule.key.usual_us
        if left_us < least or limits.request_limits.timeout_us < least:
            return self._refuse(now, Limit.DEADLINE, limits.class_rule.key, 0)
        for rule in rules:
            key, shared = rule.key, rule.limits
            rate = key.rate
            if (
                (rate is not None and rate.arrival_us - rate.tolerance_us > now)
                or (shared.in_flight and key.in_flight >= shared.in_flight)
                or shared.adaptive
            ) and (refusal := self._check_rule(now, rule)):
                return refusal
        if limits.route_rule is not None and (refusal := self._check_fair_share(now, limits)):
            return refusal
        if self.max_open and (refusal := self._check_load(now, limits, repeat)):
            return refusal
        for rule in rules:
            key = rule.key
            if key.rate is not None:
                key.rate.take(now)
            key.in_flight += 1
            key.last_us = now
            if key.in_flight > key.peak:
                key.peak = float(key.in_flight)
        self.counters.total.in_flight += 1
        self.open += 1
        if limits.budget is not None:
            limits.budget.on_request()
        return Permit(self, limits, now)

    def release(self, now: int, permit: Permit, served: bool) -> None:
        """Return the permit of a request that has its answer or whose caller has left."""
        limits = permit.limits
        duration_us = max(1, now - permit.began_us)
        for rule in limits.rules:
            key = rule.key
            if key.adaptive is not None:
                key.adaptive.on_answer(now, duration_us, key.in_flight, served)
            if served:
                key.usual_us += (
                    LATENCY_SMOOTHING * (duration_us - key.usual_us) if key.usual_us else duration_us
                )
            key.in_flight -= 1
        self.counters.total.in_flight -= 1
        self.open -= 1

    # ------------------------------------------------------------ the individual limits

    def _check_rule(self, now: int, rule: Rule) -> Refusal | None:
        key, shared = rule.key, rule.limits
        if key.rate is not None and (wait := key.rate.wait_us(now)):
            return self._refuse(now, Limit.RATE, key, wait, key.rate.interval_us)
        if shared.in_flight and key.in_flight >= shared.in_flight:
            wait_us = self._free_slot_wait_us(key, shared.in_flight)
            return self._refuse(now, Limit.IN_FLIGHT, key, wait_us, wait_us)
        if shared.adaptive and key.adaptive is not None and key.in_flight >= key.adaptive.limit:
            wait_us = self._free_slot_wait_us(key, key.adaptive.limit)
            return self._refuse(now, Limit.ADAPTIVE, key, wait_us, wait_us)
        return None

    def _check_fair_share(self, now: int, limits: EffectiveLimits) -> Refusal | None:
        """Refuse a route at its share of the class limit where the rest is reserved for active routes."""
        class_rule, route_rule = limits.class_rule, limits.route_rule
        assert route_rule is not None
        max_in_flight = class_rule.limits.in_flight
        if 2 * class_rule.key.in_flight < max_in_flight and not class_rule.limits.adaptive:
            return None  # below half of the limit there is enough for all
        if class_rule.limits.adaptive and class_rule.key.adaptive is not None:
            max_in_flight = min(max_in_flight or class_rule.key.adaptive.limit, class_rule.key.adaptive.limit)
        if not max_in_flight:
            return None
        name = class_rule.key.name
        if name not in self._fair or now - self._fair_at[name] > FAIR_SHARE_ACTIVE_US // 20:
            self._update_fair_share(now, name, max_in_flight)
        share, reserved = self._fair[name]
        own = max(0.0, min(share, route_rule.key.peak) - route_rule.key.in_flight)
        if route_rule.key.in_flight >= share and class_rule.key.in_flight >= max_in_flight - (reserved - own):
            wait_us = self._free_slot_wait_us(route_rule.key, max(1, int(share)))
            return self._refuse(now, Limit.FAIR_SHARE, route_rule.key, wait_us, wait_us)
        return None

    def _update_fair_share(self, now: int, name: str, max_in_flight: int) -> None:
        """Split the class limit equally among its active routes; the unused part of each is reserved."""
        active = [
            key for key in self._members.get(name, ()) if now - key.last_us < FAIR_SHARE_ACTIVE_US
        ][:MAX_FAIR_SHARE_KEYS]
        share = max_in_flight / max(1, len(active))
        reserved = 0.0
        for key in active:
            reserved += max(0.0, min(share, key.peak) - key.in_flight)
            key.peak = max(float(key.in_flight), key.peak * 0.98)
        self._fair[name], self._fair_at[name] = (share, reserved), now

    def join(self, cls_key: str, route: KeyCounters) -> None:
        """Add a route to those that share the limit of their class."""
        self._members.setdefault(cls_key, []).append(route)

    def _check_load(self, now: int, limits: EffectiveLimits, repeat: bool) -> Refusal | None:
        """Load shedding: near ``max_open`` refuse the requests of the lowest worth per time first."""
        utilization = self.counters.total.in_flight / self.max_open
        if utilization < SHED_START_RATIO:
            return None
        free = (1.0 - utilization) / (1.0 - SHED_START_RATIO)  # 1 where shedding starts, 0 at full load
        priority = self.priorities[limits.cls] * (0.75 if repeat else 1.0)
        if utilization < 1.0 and priority >= 1.0 - free:
            return None
        wait_us = self._free_slot_wait_us(self.counters.total, self.max_open)
        return self._refuse(now, Limit.SHED, limits.class_rule.key, wait_us, wait_us)

    def _free_slot_wait_us(self, key: KeyCounters, limit: int) -> int:
        """Expected wait for a free slot: usual latency / ``limit`` for each request above the limit."""
        usual = key.usual_us or max((k.usual_us for k in self.counters.keys.values()), default=0.0)
        excess = max(1, key.in_flight - limit + 1)
        return int(usual * excess / max(1, limit))

    def _refuse(self, now: int, limit: Limit, key: KeyCounters, wait_us: int, gap_us: float = 0.0) -> Refusal:
        """Refuse a request, with retry times spaced at the pace of the limit.

        A hundred callers that retried at the same time would all be refused again.
        """
        at = max(float(now + wait_us), key.retry_at_us)
        key.retry_at_us = at + gap_us
        if at - now > MAX_RETRY_AFTER_US:  # with so many refused, the later ones may retry at any time
            at = key.retry_at_us = float(now + wait_us)
        return Refusal(limit, key.name, max(MIN_RETRY_AFTER_US, int(at) - now))
