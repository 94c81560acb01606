"""Reads the operator's settings: file, overridden by environment, overridden by flags; all or nothing.

All faults are collected, each as a line ``FILE:LINE: key: reason``.  A node that reads the file reports the
first one and the number of the others.
"""

from __future__ import annotations

import difflib
import math
import re
import tomllib
from collections.abc import Iterable, Mapping
from functools import cache
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

from ..core.durations import duration_us
from .lines import KeyPath, line_numbers
from .records import DURATIONS, SECTIONS, VERSION, Operator

PREFIX = "RUSHSADDLE_"
FILE_VARIABLE = "RUSHSADDLE_OPERATOR"
SET_VARIABLE = "RUSHSADDLE_SET"  # lines of KEY=VALUE
MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_FAULTS = 1000
LINE_RE = re.compile(r"\(at line (\d+), column \d+\)")

Flags = Mapping[tuple[str, str], str]


class OperatorError(ValueError):
    """Invalid settings: ``faults`` holds one line per fault; the message is the first of them."""

    def __init__(self, faults: list[str]) -> None:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        super().__init__(faults[0] + more)
        self.faults = faults


class Source:
    """The data as read, the origin of each key, and the faults found so far."""

    def __init__(self, name: str, data: dict[str, Any], lines: Mapping[KeyPath, int]) -> None:
        self.name = name
        self.data = data
        self.lines = lines
        self.overrides: dict[KeyPath, str] = {}  # keys set by a flag or variable
        self.faults: list[str] = []

    def fault(self, key: KeyPath, reason: str) -> None:
        """Record a fault of a key, up to MAX_FAULTS."""
        if len(self.faults) < MAX_FAULTS:
            name = "".join(f"[{k}]" if isinstance(k, int) else f".{k}" for k in key).removeprefix(".")
            self.faults.append(f"{self.location(key)}: {name or 'file'}: {reason}")

    def location(self, key: KeyPath) -> str:
        """The flag, environment variable, or file and line that set a key."""
        if key in self.overrides:
            return self.overrides[key]
        while key and key not in self.lines:
            key = key[:-1]
        return f"{self.name}:{self.lines[key]}" if key else self.name


def is_configured(env: Mapping[str, str], path: str | None, flags: Flags) -> bool:
    """Whether there are any operator settings at all."""
    return bool(path or flags or any(name.startswith(PREFIX) for name in env))


def read(path: str | None, env: Mapping[str, str], flags: Flags) -> Operator:
    """The operator's settings; raises OperatorError."""
    return read_with_source(path, env, flags)[0]


def read_with_source(path: str | None, env: Mapping[str, str], flags: Flags) -> tuple[Operator, Source]:
    """The operator's settings and where they come from; raises OperatorError with every fault."""
    path = path or env.get(FILE_VARIABLE)
    source = _read_file(Path(path)) if path else Source("environment", {"version": VERSION}, {})
    data = source.data
    if "version" not in data:
        source.fault((), f"version: missing; {VERSION} is known")
    elif data["version"] != VERSION:
        source.fault(("version",), f"{data['version']!r} is not known; {VERSION} is")
    for name, text in env.items():
        if name == SET_VARIABLE:
            for line in filter(str.strip, text.splitlines()):
                _apply_assignment(source, line, name)
        elif name.startswith(PREFIX) and name != FILE_VARIABLE:
            section, _, key = name[len(PREFIX) :].lower().partition("__")
            _set_key(source, section, key, text, name)
    for (section, key), text in flags.items():
        if not section:
            _apply_assignment(source, key, f"--set {key}")
            continue
        _set_key(source, section, key, text, f"--{section}-{key.replace('_', '-')}")
    sections: dict[str, Any] = {}
    for name, value in data.items():
        if name in SECTIONS:
            sections[name] = convert_table(source, (name,), value, SECTIONS[name])
        elif name != "version":
            source.fault((name,), f"no such key{suggestion(name, ('version', *SECTIONS))}")
    if source.faults:
        raise OperatorError(source.faults)
    return Operator(version=VERSION, **sections), source


def convert_table(source: Source, at: KeyPath, table: Any, record: type[msgspec.Struct]) -> Any:
    """Convert a table to its record; each invalid key is recorded as a fault and gets its default."""
    if not isinstance(table, dict):
        source.fault(at, "not a table")
        return record()
    hints, fields = _fields_of(record)
    values: dict[str, Any] = {}
    for name, value in table.items():
        key_path, key = (*at, name), fields.get(name, "")
        if not key:
            source.fault(key_path, f"no such key{suggestion(name, fields)}")
            continue
        inner = _nested_record_type(hints[key])
        if inner is not None:
            values[key] = _convert_nested(source, key_path, value, *inner)
            continue
        try:
            if isinstance(value, float) and not math.isfinite(value):
                raise ValueError(f"{value} is not a finite number")
            values[key] = msgspec.convert(value, hints[key])
            if (record, key) in DURATIONS and value is not None:
                duration_us(value)
        except (msgspec.ValidationError, ValueError) as error:
            values.pop(key, None)
            source.fault(key_path, str(error).replace("`", ""))
    return record(**values)


@cache
def _fields_of(record: type[msgspec.Struct]) -> tuple[dict[str, Any], dict[str, str]]:
    """The types of a record's fields, and its field names by their keys in the file."""
    names = dict(zip(record.__struct_encode_fields__, record.__struct_fields__, strict=True))
    return get_type_hints(record, include_extras=True), names


def _nested_record_type(hint: Any) -> tuple[str, type[msgspec.Struct]] | None:
    """Kind and type where a key holds one record, records by name or a list of records; else None."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return "one", hint
    arguments = get_args(hint)
    last = (arguments[0] if get_origin(hint) is tuple else arguments[-1]) if arguments else None
    if isinstance(last, type) and issubclass(last, msgspec.Struct):
        return ("list" if get_origin(hint) is tuple else "names"), last
    return None


def _convert_nested(source: Source, at: KeyPath, value: Any, kind: str, record: type[msgspec.Struct]) -> Any:
    if kind == "one":
        return convert_table(source, at, value, record)
    if kind == "names":
        if not isinstance(value, dict):
            source.fault(at, "not a table")
            return {}
        return {name: convert_table(source, (*at, name), item, record) for name, item in value.items()}
    if not isinstance(value, list):
        source.fault(at, "not an array of tables")
        return ()
    return tuple(convert_table(source, (*at, number), item, record) for number, item in enumerate(value))


def _read_file(path: Path) -> Source:
    def failure(reason: str) -> OperatorError:
        return OperatorError([f"{path}: file: {reason}"])

    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            raise failure(f"over {MAX_FILE_BYTES} bytes")
        text = raw.decode()
        return Source(str(path), tomllib.loads(text), line_numbers(text))
    except OSError as error:
        raise failure(error.strerror or str(error)) from None
    except UnicodeDecodeError as error:
        raise failure(f"not UTF-8 at byte {error.start}") from None
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        at = LINE_RE.search(str(error))  # no match: the end of the document
        line = int(at[1]) if at else len(text.rstrip().splitlines())
        raise OperatorError([f"{path}:{line}: file: not TOML: {error}"]) from None


def _set_key(source: Source, section: str, key: str, text: str, origin: str) -> None:
    """Set one key from a flag or the environment; a value that is no TOML is taken as text.

    Two underscores in ``key`` separate the name of a nested table.
    """
    at: KeyPath = (section, *key.split("__"))
    source.overrides[at] = origin
    if section not in SECTIONS or not key:
        source.fault(at, f"no such setting{suggestion(section, SECTIONS)}")
        return
    table = source.data.setdefault(section, {})
    *path, last = key.split("__")
    for part in path:
        table = table.setdefault(part, {}) if isinstance(table, dict) else None
    if not isinstance(table, dict):
        source.fault(at, "not a table in the file")
        return
    try:
        table[last] = tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        table[last] = text


def _apply_assignment(source: Source, line: str, origin: str) -> None:
    """Apply an assignment as the file writes it: ``limits.class.bulk-batch.attempts=2``."""
    name, equals, text = line.partition("=")
    found: dict[str, Any] = {}
    for value in (text, f'"{text.strip()}"'):  # invalid TOML is taken as text
        try:
            found = tomllib.loads(f"{name} = {value}")
            break
        except tomllib.TOMLDecodeError:
            continue
    if not equals or not found:
        source.overrides[(name,)] = origin
        source.fault((name,), "not KEY=VALUE")
        return
    table: Any = source.data
    at: KeyPath = ()
    while True:
        ((key, inner),) = found.items()
        at = (*at, key)
        if not isinstance(inner, dict):
            break
        table, found = table.setdefault(key, {}), inner
        if not isinstance(table, dict):
            source.overrides[at] = origin
            source.fault(at, "not a table in the file")
            return
    source.overrides[at] = origin
    table[key] = inner


def suggestion(name: str, known: Iterable[str]) -> str:
    """A hint at the most similar known name; empty if there is none."""
    matches = difflib.get_close_matches(name, list(known), 1, 0.5)
    return f"; did you mean {matches[0]}?" if matches else ""
