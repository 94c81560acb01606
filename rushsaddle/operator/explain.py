"""Explains an operator's file: the limits in force for a class or path, and the line that set each key."""

from __future__ import annotations

from tansygw.interface import RequestClass, Settings

from ..limits.build import effective_settings, find_faults, merge_request_limits
from ..limits.records import Limits
from ..limits.routes import AmbiguousPath, RouteTrie
from .load import OperatorError, Source, read_with_source
from .records import Operator


class ExplainError(ValueError):
    """The request cannot be answered; the message is one line."""


def check_file(file: str, platform: Settings | None) -> Operator:
    """Read and validate a file; raises OperatorError with every fault, also against ``platform`` if given."""
    operator, source = read_with_source(file, {}, {})
    if platform is not None:
        check_against_platform(operator, source, platform)
    return operator


def check_against_platform(operator: Operator, source: Source, platform: Settings) -> None:
    """Raise OperatorError with every fault of the limits against the platform."""
    if operator.limits is not None:
        for at, reason in find_faults(operator.limits, platform):
            source.fault(at, reason)
        if source.faults:
            raise OperatorError(source.faults)


def explain_limits(file: str, platform: Settings, cls: str, path: str | None) -> list[dict[str, object]]:
    """Rows of key, value and origin; raises OperatorError or ExplainError."""
    operator, source = read_with_source(file, {}, {})
    check_against_platform(operator, source, platform)
    limits = operator.limits if operator.limits is not None else Limits()
    info = next((c for c in platform.classes if c.name == cls), None)
    if info is None:
        raise ExplainError(f"{cls}: no such class; there are {', '.join(c.name for c in platform.classes)}")
    route = _route_index(limits, info, path)
    values = merge_request_limits(limits, info, route, platform)
    defaults: dict[str, object] = {
        "timeout": f"{values.timeout_us / 1e6:g}s", "attempts": values.attempts,
        "second_copies": values.second_copies,
        "attempt_timeout": f"{(values.attempt_timeout_us or values.timeout_us) / 1e6:g}s",
    }
    rows: list[dict[str, object]] = []
    if route is not None:
        at = ("limits", "route", route, "match")
        rows.append({"key": "route", "value": limits.route[route].match, "from": source.location(at)})
    for setting in effective_settings(limits, cls, route):
        if setting.at is None:
            value = defaults.get(setting.key, "no bound")
            rows.append({"key": setting.key, "value": value, "from": "the platform's"})
        else:
            rows.append({"key": setting.key, "value": setting.value, "from": source.location(setting.at)})
    return rows


def _route_index(limits: Limits, info: RequestClass, path: str | None) -> int | None:
    if path is None:
        return None
    routes: RouteTrie[int] = RouteTrie()
    for number, table in enumerate(limits.route):
        routes.add(table.match.encode(), number)
    if path.strip("/").split("/")[0] != info.name:
        raise ExplainError(f"{path}: not a path of {info.name}")
    try:
        return routes.find(path.encode())
    except AmbiguousPath as error:
        raise ExplainError(f"{path}: {error}; such a request is refused") from None
