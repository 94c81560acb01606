"""Reading the operator's file: file, then environment over it, then flags; checked whole or refused whole.

Every fault is found at once; each is a line ``FILE:LINE: key: reason``.  Where the file is read by a node,
the first one is told, with how many more there are.
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
from .lines import Path as Key
from .lines import lines_of
from .records import DURATIONS, SECTIONS, VERSION, Operator

PREFIX = "RUSHSADDLE_"
FILE_VARIABLE = "RUSHSADDLE_OPERATOR"
SET_VARIABLE = "RUSHSADDLE_SET"  # lines of KEY=VALUE
FILE_MOST = 4 * 1024 * 1024  # bytes
FAULTS_MOST = 1000
LINE = re.compile(r"\(at line (\d+), column \d+\)")

Flags = Mapping[tuple[str, str], str]


class OperatorError(ValueError):
    """What is wrong: ``faults`` has every line, the text is the first of them."""

    def __init__(self, faults: list[str]) -> None:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        super().__init__(faults[0] + more)
        self.faults = faults


class Source:
    """What was read, and where each key of it stands."""

    def __init__(self, where: str, data: dict[str, Any], lines: Mapping[Key, int]) -> None:
        self.where = where
        self.data = data
        self.lines = lines
        self.others: dict[Key, str] = {}  # keys that a flag or a variable has set
        self.faults: list[str] = []

    def fault(self, key: Key, reason: str) -> None:
        if len(self.faults) < FAULTS_MOST:
            name = "".join(f"[{k}]" if isinstance(k, int) else f".{k}" for k in key).removeprefix(".")
            self.faults.append(f"{self.place(key)}: {name or 'file'}: {reason}")

    def place(self, key: Key) -> str:
        """The flag, the variable, or the file and line that set a key."""
        if key in self.others:
            return self.others[key]
        while key and key not in self.lines:
            key = key[:-1]
        return f"{self.where}:{self.lines[key]}" if key else self.where


def wanted(env: Mapping[str, str], path: str | None, flags: Flags) -> bool:
    """Whether the operator has said anything at all."""
    return bool(path or flags or any(name.startswith(PREFIX) for name in env))


def read(path: str | None, env: Mapping[str, str], flags: Flags) -> Operator:
    """The operator's settings; raises OperatorError."""
    return read_with_source(path, env, flags)[0]


def read_with_source(path: str | None, env: Mapping[str, str], flags: Flags) -> tuple[Operator, Source]:
    path = path or env.get(FILE_VARIABLE)
    source = _file(Path(path)) if path else Source("environment", {"version": VERSION}, {})
    data = source.data
    if "version" not in data:
        source.fault((), f"version: missing; {VERSION} is known")
    elif data["version"] != VERSION:
        source.fault(("version",), f"{data['version']!r} is not known; {VERSION} is")
    for name, text in env.items():
        if name == SET_VARIABLE:
            for line in filter(str.strip, text.splitlines()):
                _assign(source, line, name)
        elif name.startswith(PREFIX) and name != FILE_VARIABLE:
            section, _, key = name[len(PREFIX) :].lower().partition("__")
            _set(source, section, key, text, name)
    for (section, key), text in flags.items():
        if not section:
            _assign(source, key, f"--set {key}")
            continue
        _set(source, section, key, text, f"--{section}-{key.replace('_', '-')}")
    sections: dict[str, Any] = {}
    for name, value in data.items():
        if name in SECTIONS:
            sections[name] = table_of(source, (name,), value, SECTIONS[name])
        elif name != "version":
            source.fault((name,), f"no such key{nearest(name, ('version', *SECTIONS))}")
    if source.faults:
        raise OperatorError(source.faults)
    return Operator(version=VERSION, **sections), source


def table_of(source: Source, at: Key, table: Any, record: type[msgspec.Struct]) -> Any:
    """A table as its record; each key that is wrong is a fault of its own, and the record has its default."""
    if not isinstance(table, dict):
        source.fault(at, "not a table")
        return record()
    hints, fields = _fields_of(record)
    values: dict[str, Any] = {}
    for name, value in table.items():
        here, key = (*at, name), fields.get(name, "")
        if not key:
            source.fault(here, f"no such key{nearest(name, fields)}")
            continue
        inner = _records_in(hints[key])
        if inner is not None:
            values[key] = _nested(source, here, value, *inner)
            continue
        try:
            if isinstance(value, float) and not math.isfinite(value):
                raise ValueError(f"{value} is not a finite number")
            values[key] = msgspec.convert(value, hints[key])
            if (record, key) in DURATIONS and value is not None:
                duration_us(value)
        except (msgspec.ValidationError, ValueError) as error:
            values.pop(key, None)
            source.fault(here, str(error).replace("`", ""))
    return record(**values)


@cache
def _fields_of(record: type[msgspec.Struct]) -> tuple[dict[str, Any], dict[str, str]]:
    """The types of a record's fields, and the fields by their names in the file."""
    names = dict(zip(record.__struct_encode_fields__, record.__struct_fields__, strict=True))
    return get_type_hints(record, include_extras=True), names


def _records_in(hint: Any) -> tuple[str, type[msgspec.Struct]] | None:
    """Whether a key holds one record, several by name, or a list of them."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return "one", hint
    arguments = get_args(hint)
    last = (arguments[0] if get_origin(hint) is tuple else arguments[-1]) if arguments else None
    if isinstance(last, type) and issubclass(last, msgspec.Struct):
        return ("list" if get_origin(hint) is tuple else "names"), last
    return None


def _nested(source: Source, at: Key, value: Any, shape: str, record: type[msgspec.Struct]) -> Any:
    if shape == "one":
        return table_of(source, at, value, record)
    if shape == "names":
        if not isinstance(value, dict):
            source.fault(at, "not a table")
            return {}
        return {name: table_of(source, (*at, name), item, record) for name, item in value.items()}
    if not isinstance(value, list):
        source.fault(at, "not an array of tables")
        return ()
    return tuple(table_of(source, (*at, number), item, record) for number, item in enumerate(value))


def _file(path: Path) -> Source:
    def bad(reason: str) -> OperatorError:
        return OperatorError([f"{path}: file: {reason}"])

    try:
        with open(path, "rb") as file:
            raw = file.read(FILE_MOST + 1)
        if len(raw) > FILE_MOST:
            raise bad(f"over {FILE_MOST} bytes")
        text = raw.decode()
        return Source(str(path), tomllib.loads(text), lines_of(text))
    except OSError as error:
        raise bad(error.strerror or str(error)) from None
    except UnicodeDecodeError as error:
        raise bad(f"not UTF-8 at byte {error.start}") from None
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        at = LINE.search(str(error))  # else it is the end of the document
        line = int(at[1]) if at else len(text.rstrip().splitlines())
        raise OperatorError([f"{path}:{line}: file: not TOML: {error}"]) from None


def _set(source: Source, section: str, key: str, text: str, where: str) -> None:
    """One key from a flag or the environment: read as TOML reads a value, else taken as text.  Two
    underscores more go one table deeper."""
    at: Key = (section, *key.split("__"))
    source.others[at] = where
    if section not in SECTIONS or not key:
        source.fault(at, f"no such setting{nearest(section, SECTIONS)}")
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


def _assign(source: Source, line: str, where: str) -> None:
    """A key as the file writes it, with its value: ``limits.class.bulk-batch.attempts=2``."""
    name, equals, text = line.partition("=")
    found: dict[str, Any] = {}
    for value in (text, f'"{text.strip()}"'):  # what is no value of TOML is taken as text
        try:
            found = tomllib.loads(f"{name} = {value}")
            break
        except tomllib.TOMLDecodeError:
            continue
    if not equals or not found:
        source.others[(name,)] = where
        source.fault((name,), "not KEY=VALUE")
        return
    table: Any = source.data
    at: Key = ()
    while True:
        ((key, inner),) = found.items()
        at = (*at, key)
        if not isinstance(inner, dict):
            break
        table, found = table.setdefault(key, {}), inner
        if not isinstance(table, dict):
            source.others[at] = where
            source.fault(at, "not a table in the file")
            return
    source.others[at] = where
    table[key] = inner


def nearest(name: str, known: Iterable[str]) -> str:
    near = difflib.get_close_matches(name, list(known), 1, 0.5)
    return f"; did you mean {near[0]}?" if near else ""
