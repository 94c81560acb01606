"""Parses the settings object of a deployment, for the simulator adapter and the real node alike."""

from __future__ import annotations

from typing import Any

from . import interface as i

Fields = dict[str, Any]

# Fields of a load report without a fixed meaning, and the setting in FamilyInfo that gives the meaning.
REPORT_NAMES = {"x0": "ReportX0", "x1": "ReportX1"}
REPORT_MEANINGS = {"free slots": "free_slots", "free memory": "free_memory"}
SOURCES = {
    "piggyback": i.ReportSource.OUTCOMES,
    "pull": i.ReportSource.PROBES,
    "silent": i.ReportSource.NONE,
}


def _object(data: Fields, name: str) -> Fields:
    value = data.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise ValueError(f"{name}: not an object")
    return value


def _at(values: Any, index: int, default: Any) -> Any:
    return values[index] if isinstance(values, list) and index < len(values) else default


def _class(data: Any, index: int, family: Fields) -> i.RequestClass:
    if not isinstance(data, dict):
        raise ValueError(f"Services[{index}]: not an object")
    for name in ("Effect", "OnTimeUs", "HardLimitUs"):
        if name not in data:
            raise ValueError(f"Services[{index}].{name}: missing")
    try:
        effect = i.Effect(data["Effect"])
        group = i.DedupGroup(data.get("Group", "all"))
    except ValueError as error:
        raise ValueError(f"Services[{index}]: {error}") from None
    return i.RequestClass(
        name=str(data.get("Name", "")),
        effect=effect,
        group=group,
        window_us=data.get("WindowUs", 0),
        latency_target_us=data["OnTimeUs"],
        latency_target_factor=data.get("AimStretch", _at(family.get("ClassStretch"), index, 0.0)),
        deadline_us=data["HardLimitUs"],
        worth=data.get("Worth", 1.0),
        late_value=data.get("LateValue", 0.0),
        stream=bool(data.get("Stream", False)),
        kind=_at(family.get("ClassKind"), index, -1),
        priority=_at(family.get("ClassPriority"), index, 0),
    )


def settings_from(data: Fields) -> tuple[i.Settings, dict[str, str]]:
    """Return the settings, and for each load report name of the wire the name that the module reads.

    Raises ValueError, with the name of the field, on missing or malformed fields.
    """
    services = data.get("Services")
    if not isinstance(services, list):
        raise ValueError("Services: missing")
    if "Rules" not in data:
        raise ValueError("Rules: missing")
    family = _object(data, "FamilyInfo")
    rules, limits, goal = _object(data, "Rules"), _object(data, "Limits"), _object(data, "Goal")
    prices, load = _object(data, "Prices"), _object(data, "LoadReport")
    names: dict[str, str] = {}
    for name in map(str, load.get("Names") or ()):
        meaning = family.get(REPORT_NAMES[name]) if name in REPORT_NAMES else None
        names[name] = REPORT_MEANINGS.get(str(meaning), name)
    settings = i.Settings(
        classes=tuple(_class(c, n, family) for n, c in enumerate(services)),
        tenants=tuple(
            i.Tenant(t.get("Name", ""), t.get("QuotaPerS", 0.0), t.get("Share", 0.0))
            for t in data.get("Projects") or ()
        ),
        rules=i.Rules(
            answer_slack_us=rules.get("AnswerSlackUs", 0),
            drain_grace_us=rules.get("DrainGraceUs", 0),
            slow_start_share=rules.get("ColdShare", 1.0),
            slow_start_us=rules.get("ColdUs", 0),
            overload_multiple=rules.get("FallMultiple", 1.0),
            overload_window_us=rules.get("FallUs", 0),
            must_ask_in_us=rules.get("MustAskInUs", 0),
        ),
        limits=i.Limits(
            cancel=bool(limits.get("Cancel", False)),
            second_copies=bool(limits.get("SecondCopies", False)),
            probes=bool(limits.get("MayProbe", False)),
            peer_messages=bool(limits.get("PeerMessages", False)),
            retry_after=bool(limits.get("RetryAfter", False)),
            max_attempts=limits.get("MaxAttempts", 1),
            max_open=limits.get("MaxOpen", 0),
            max_retry_after_us=limits.get("MaxRetryAfterUs", 0),
            connect_timeout_us=limits.get("ConnectTimeoutUs", 0),
        ),
        goal=i.Goal(
            goal.get("Whole", 1.0), goal.get("WorstWindow", 0.0),
            goal.get("WorstClass", 0.0), goal.get("WorstTenant", 0.0),
        ),
        prices=i.Prices(
            prices.get("CrossZone", 0.0), prices.get("Waste", 0.0), prices.get("Probe", 0.0),
            prices.get("Peer", 0.0), prices.get("LateFail", 0.0),
        ),
        tick_us=data.get("TickUs", 1000),
        zone=data.get("Zone", 0),
        rank=data.get("Rank", 0),
        group_size=data.get("GroupSize", 1),
        list_on_request=data.get("Discovery") == "on_request",
        report_source=SOURCES.get(str(load.get("Via")), i.ReportSource.NONE),
        report_fields=tuple(names.values()),
        reports_start=bool(family.get("TellsStart", False)),
        progress_us=family.get("ProgressUs", 0),
        queue_order=str(family.get("QueueOrder", "fifo")),
        hint_meaning=str(data.get("Weights", "silent")),
        worth_by_work=data.get("WorthBy") == "work",
        over_share_worth=data.get("OverShareWorth", 1.0),
    )
    return settings, names


def named_report(load: Any, names: dict[str, str]) -> i.Report | None:
    """Return a load report with its names translated, or None where it is not an object."""
    if not isinstance(load, dict):
        return None
    return {str(names.get(name, name)): value for name, value in load.items()}


def validate(settings: i.Settings) -> None:
    """Raise ValueError, with the name of the field, on settings that are out of range or contradictory."""

    def require(valid: bool, name: str, reason: str) -> None:
        if not valid:
            raise ValueError(f"{name}: {reason}")

    require(bool(settings.classes), "classes", "at least one class is needed")
    for n, c in enumerate(settings.classes):
        require(c.deadline_us > 0, f"classes[{n}].deadline_us", "must be above 0")
        require(c.latency_target_us > 0, f"classes[{n}].latency_target_us", "must be above 0")
        has_window = c.effect is not i.Effect.DEDUP or c.window_us > 0
        require(has_window, f"classes[{n}].window_us", "a dedup class needs one")
    require(settings.tick_us > 0, "tick_us", "must be above 0")
    require(settings.group_size > 0, "group_size", "must be above 0")
    require(settings.limits.max_attempts > 0, "limits.max_attempts", "must be above 0")
    rules = settings.rules
    require(0 < rules.slow_start_share <= 1, "rules.slow_start_share", "must be above 0 and at most 1")
    require(rules.overload_multiple > 0, "rules.overload_multiple", "must be above 0")
