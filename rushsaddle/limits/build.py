"""Compiles the operator's limit tables: validation against the platform's settings, merging, controller.

Keys missing in a narrower table are inherited: route over class over default.  Independently of validation,
the result is clamped to the platform's limits when it is built, so that a fault missed by the checks cannot
widen them.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from tansygw.interface import Effect, RequestClass, RequestPolicy, Settings

from ..core.durations import duration_us
from .adaptive import AdaptiveLimit
from .budget import RetryBudget
from .controller import AdmissionController, Counters, EffectiveLimits, KeyCounters, Rule
from .models import RequestLimits, SharedLimits
from .rate import RateLimiter
from .records import Limits, LimitTable, RouteTable
from .routes import AmbiguousPath, RouteTrie, split_path

KeyPath = tuple[str | int, ...]
FIELDS = LimitTable.__struct_fields__


@dataclass(slots=True, frozen=True)
class Setting:
    """One key in force and the path of the table key that set it; None: the platform's default."""

    key: str
    value: object
    at: KeyPath | None


def effective_settings(limits: Limits, cls: str, route: int | None = None) -> list[Setting]:
    """The settings in force for a class or one of its routes, key by key."""
    tables: list[tuple[KeyPath, LimitTable]] = [(("limits", "default"), limits.default)]
    if cls in limits.class_:
        tables.append((("limits", "class", cls), limits.class_[cls]))
    if route is not None:
        tables.append((("limits", "route", route), limits.route[route]))
    found = []
    for key in FIELDS:
        value, at = None, None
        for table_path, table in tables:
            if getattr(table, key) is not None:
                value, at = getattr(table, key), (*table_path, key)
        found.append(Setting(key, value, at))
    return found


def find_faults(limits: Limits, settings: Settings) -> Iterator[tuple[KeyPath, str]]:
    """Yield each fault of the limits, as key path and reason."""
    classes = {c.name: c for c in settings.classes}
    for name in limits.class_:
        if name not in classes:
            yield ("limits", "class", name), f"no such class; there are {', '.join(sorted(classes))}"
    numbers: dict[tuple[bytes, ...], int] = {}
    for number, route in enumerate(limits.route):
        at: KeyPath = ("limits", "route", number)
        segments = _route_segments(route)
        if isinstance(segments, str):
            yield (*at, "match"), segments
            continue
        if segments in numbers:
            yield (*at, "match"), f"the same route as number {numbers[segments] + 1}"
        numbers.setdefault(segments, number)
        class_name = segments[0].decode("latin-1")
        if class_name not in classes:
            yield (*at, "match"), f"{class_name!r} is no class; there are {', '.join(sorted(classes))}"
        elif len(segments) == 1:
            yield (*at, "match"), f"a whole class: use [limits.class.{class_name}]"
        else:
            yield from _class_faults(limits, classes[class_name], number, settings)
    reported: set[tuple[KeyPath, str]] = set()
    for cls in classes.values():
        for fault in _class_faults(limits, cls, None, settings):
            if fault not in reported:
                reported.add(fault)
                yield fault


def _route_segments(route: RouteTable) -> tuple[bytes, ...] | str:
    """The segments of a route, or the reason why its path is invalid."""
    if not route.match.startswith("/"):
        return "missing" if not route.match else "a path begins with /"
    try:
        return tuple(split_path(route.match.encode()))
    except AmbiguousPath as error:
        return str(error)


def _class_faults(
    limits: Limits, cls: RequestClass, route: int | None, settings: Settings
) -> Iterator[tuple[KeyPath, str]]:
    """Faults of the keys in force for one class or route, reported where they were set."""
    in_force = {s.key: s for s in effective_settings(limits, cls.name, route)}
    own = ("limits", "route", route) if route is not None else None

    def own_path(key: str) -> KeyPath | None:
        """Where a key was set; None where the fault is already reported with the class."""
        at = in_force[key].at
        return at if at is not None and (own is None or at[: len(own)] == own) else None

    attempts, second_copies = in_force["attempts"].value, in_force["second_copies"].value
    if (at := own_path("attempts")) and isinstance(attempts, int) and attempts > settings.limits.max_attempts:
        yield at, f"{attempts} is over the platform's {settings.limits.max_attempts}"
    if (at := own_path("second_copies")) and second_copies:
        if cls.effect is Effect.FRAGILE:  # an inherited default is as wrong as a key of its own
            yield at, f"{cls.name} must not run twice"
        elif not settings.limits.second_copies:
            yield at, "the platform allows no second copies"
    timeout = _us(in_force["timeout"].value)
    if (at := own_path("timeout")) and timeout is not None and timeout > cls.deadline_us:
        last = f"{cls.deadline_us / 1e6:g} s after which {cls.name} is given up"
        yield at, f"{timeout / 1e6:g} s is over the {last}"
    attempt_timeout = _us(in_force["attempt_timeout"].value)
    limit = min(timeout or cls.deadline_us, cls.deadline_us)
    if attempt_timeout is not None and attempt_timeout > limit:
        at = own_path("attempt_timeout") or own_path("timeout")
        if at is not None:
            yield at, f"an attempt of {attempt_timeout / 1e6:g} s in a request of {limit / 1e6:g} s"
    burst = in_force["burst"]
    if (at := own_path("burst")) and burst.value is not None and in_force["rate"].value is None:
        yield at, "a burst without a rate"


def _us(value: object) -> int | None:
    return duration_us(value) if isinstance(value, str | int | float) else None


def merge_request_limits(
    limits: Limits, cls: RequestClass, route: int | None, settings: Settings
) -> RequestLimits:
    """The limits in force on each request, clamped to those of the platform."""
    in_force = {s.key: s.value for s in effective_settings(limits, cls.name, route)}
    timeout = min(_us(in_force["timeout"]) or cls.deadline_us, cls.deadline_us)
    attempt_timeout = _us(in_force["attempt_timeout"]) or 0
    attempts, second_copies, share = in_force["attempts"], in_force["second_copies"], in_force["retry_share"]
    max_attempts = settings.limits.max_attempts
    return RequestLimits(
        timeout_us=timeout, attempt_timeout_us=attempt_timeout if attempt_timeout < timeout else 0,
        attempts=min(attempts, max_attempts) if isinstance(attempts, int) else max_attempts,
        second_copies=(
            second_copies is not False and settings.limits.second_copies and cls.effect is not Effect.FRAGILE
        ),
        retry_share=float(share) if isinstance(share, int | float) else 1.0,
    )


def merge_shared_limits(table: LimitTable, wider: LimitTable | None = None) -> SharedLimits:
    """The shared limits of a class (``wider`` is the default table) or of a route alone."""

    def inherited(key: str) -> object:
        value = getattr(table, key)
        return getattr(wider, key) if value is None and wider is not None else value

    in_flight, rate, burst = inherited("in_flight"), inherited("rate"), inherited("burst")
    return SharedLimits(
        in_flight=in_flight if isinstance(in_flight, int) else 0,
        rate=float(rate) if isinstance(rate, int | float) else 0.0,
        burst=burst if isinstance(burst, int) else 1, adaptive=bool(inherited("adaptive")),
    )


@dataclass(slots=True, frozen=True)
class CompiledRoute:
    """A compiled route; its counters are created with its first request."""

    cls: int
    match: str
    request_limits: RequestLimits
    shared_limits: SharedLimits


@dataclass(slots=True, frozen=True)
class CompiledLimits:
    """One generation without its counters; it can be compiled outside the event loop's thread."""

    classes: tuple[tuple[RequestLimits, SharedLimits], ...]
    routes: RouteTrie[CompiledRoute]
    names: frozenset[str]
    max_open: int
    checksum: int  # of the limits in force


def compile_limits(limits: Limits, settings: Settings) -> CompiledLimits:
    """Compile limits that have passed ``find_faults``; the cost grows with the size of the file."""
    classes = tuple(
        (merge_request_limits(limits, c, None, settings),
         merge_shared_limits(limits.class_.get(c.name, LimitTable()), limits.default))
        for c in settings.classes
    )
    routes: RouteTrie[CompiledRoute] = RouteTrie()
    by_name = {c.name: n for n, c in enumerate(settings.classes)}
    for index, table in enumerate(limits.route):
        segments = _route_segments(table)
        assert not isinstance(segments, str)
        cls = by_name[segments[0].decode("latin-1")]
        request_limits = merge_request_limits(limits, settings.classes[cls], index, settings)
        routes.add(
            table.match.encode(),
            CompiledRoute(cls, table.match, request_limits, merge_shared_limits(table)),
        )
    names = [f"class {c.name}" for c in settings.classes] + [f"route {r.match}" for r in limits.route]
    max_open = limits.open or 0
    if settings.limits.max_open and max_open:
        max_open = min(max_open, settings.limits.max_open)
    checksum = 0
    # Many short calls instead of one: the event loop's thread must be able to run in between.
    for part in (limits.default, limits.class_, limits.open, *limits.route):
        checksum = zlib.crc32(msgspec.json.encode(part, order="deterministic"), checksum)
    return CompiledLimits(classes, routes, frozenset(names), max_open, checksum)


def build_controller(
    compiled: CompiledLimits, settings: Settings, generation: int, counters: Counters, now: int
) -> AdmissionController:
    """Build one generation; the cost grows with the classes and keys in use, not with the routes."""
    class_limits: list[EffectiveLimits] = []
    for n, (cls, (request_limits, shared_limits)) in enumerate(
        zip(settings.classes, compiled.classes, strict=True)
    ):
        rule = _update_rule(counters, f"class {cls.name}", shared_limits, cls, now)
        class_limits.append(_effective_limits(n, request_limits, rule, None))
    density = [
        c.worth / max(1.0, t.class_rule.key.usual_us)
        for c, t in zip(settings.classes, class_limits, strict=True)
    ]
    route_limits: dict[str, EffectiveLimits] = {}

    def resolve(cls: int, path: bytes, at: int) -> EffectiveLimits:
        found = compiled.routes.find(path)
        if found is None or found.cls != cls:
            return class_limits[cls]
        known = route_limits.get(found.match)
        if known is None:
            route_rule = _update_rule(
                counters, f"route {found.match}", found.shared_limits, settings.classes[cls], at
            )
            known = route_limits[found.match] = _effective_limits(
                cls, found.request_limits, class_limits[cls].class_rule, route_rule
            )
            controller.join(class_limits[cls].class_rule.key.name, route_rule.key)
        return known

    controller = AdmissionController(generation, counters, resolve, density, compiled.max_open)
    counters.drop(compiled.names)
    return controller


def _update_rule(
    counters: Counters, name: str, shared_limits: SharedLimits, cls: RequestClass, now: int
) -> Rule:
    """A rule that puts an existing key under new limits; its counters are kept."""
    key: KeyCounters = counters.key(name, 0.0)
    if not shared_limits.rate:
        key.rate = None
    elif key.rate is None:
        key.rate = RateLimiter(shared_limits.rate, shared_limits.burst)
    else:
        key.rate = key.rate.with_rate(shared_limits.rate, shared_limits.burst, now)
    if not shared_limits.adaptive:
        key.adaptive = None
    elif key.adaptive is None:
        key.adaptive = AdaptiveLimit(float(cls.latency_target_us))
    return Rule(key, shared_limits)


def _effective_limits(
    cls: int, request_limits: RequestLimits, class_rule: Rule, route_rule: Rule | None
) -> EffectiveLimits:
    """The effective limits of a class or route; the retry budget belongs to the narrowest key."""
    key = (route_rule or class_rule).key
    if request_limits.retry_share >= 1.0:
        key.budget = None
    elif key.budget is None:
        key.budget = RetryBudget(request_limits.retry_share)
    else:
        key.budget.share = request_limits.retry_share
    policy = RequestPolicy(
        request_limits.attempts, request_limits.attempt_timeout_us, request_limits.second_copies, key.budget
    )
    return EffectiveLimits(cls, request_limits, policy, class_rule, route_rule, key.budget)
