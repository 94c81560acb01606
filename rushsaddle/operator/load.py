"""Reading the operator's file: file, then environment over it, then flags; checked whole or refused whole."""

from __future__ import annotations

import difflib
import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from .records import DURATIONS, SECTIONS, VERSION, Operator, duration_us

PREFIX = "RUSHSADDLE_"
FILE_VARIABLE = "RUSHSADDLE_OPERATOR"
FILE_MOST = 4 * 1024 * 1024  # bytes

Flags = Mapping[tuple[str, str], str]


class OperatorError(ValueError):
    """What is wrong, in one line: file, key and reason."""


def wanted(env: Mapping[str, str], path: str | None, flags: Flags) -> bool:
    """Whether the operator has said anything at all."""
    return bool(path or flags or any(name.startswith(PREFIX) for name in env))


def read(path: str | None, env: Mapping[str, str], flags: Flags) -> Operator:
    """The operator's settings; raises OperatorError."""
    path = path or env.get(FILE_VARIABLE)
    data = _file(Path(path)) if path else {"version": VERSION}
    where = path or "environment"
    if "version" not in data:
        raise OperatorError(f"{where}: version: missing; {VERSION} is known")
    if data["version"] != VERSION:
        raise OperatorError(f"{where}: version: {data['version']!r} is not known; {VERSION} is")
    for name, text in env.items():
        if name.startswith(PREFIX) and name != FILE_VARIABLE:
            section, _, key = name[len(PREFIX):].lower().partition("__")
            _set(data, section, key, text, name)
    for (section, key), text in flags.items():
        _set(data, section, key, text, f"--{section}-{key.replace('_', '-')}")
    _known(data, where)
    try:
        operator = msgspec.convert(data, Operator)
    except msgspec.ValidationError as error:
        reason, _, at = str(error).partition(" - at `$.")
        raise OperatorError(f"{where}: {at.rstrip('`') or 'file'}: {reason}") from None
    for section, key in sorted(DURATIONS):
        try:
            duration_us(getattr(getattr(operator, section), key))
        except ValueError as error:
            raise OperatorError(f"{where}: {section}.{key}: {error}") from None
    return operator


def _file(path: Path) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            raw = file.read(FILE_MOST + 1)
        if len(raw) > FILE_MOST:
            raise OperatorError(f"{path}: file: over {FILE_MOST} bytes")
        return tomllib.loads(raw.decode())
    except OSError as error:
        raise OperatorError(f"{path}: file: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise OperatorError(f"{path}: file: not UTF-8 at byte {error.start}") from None
    except tomllib.TOMLDecodeError as error:
        raise OperatorError(f"{path}: file: not TOML: {error}") from None


def _set(data: dict[str, Any], section: str, key: str, text: str, where: str) -> None:
    """One key from a flag or the environment: read as TOML reads a value, else taken as text."""
    if section not in SECTIONS or not key:
        raise OperatorError(f"{where}: no such setting{_nearest(section, SECTIONS)}")
    fields = SECTIONS[section].__struct_fields__
    if key not in fields:
        raise OperatorError(f"{where}: no such setting{_nearest(key, fields)}")
    table = data.setdefault(section, {})
    if not isinstance(table, dict):
        raise OperatorError(f"{where}: {section} is not a table in the file")
    try:
        table[key] = tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        table[key] = text


def _known(data: Mapping[str, Any], where: str) -> None:
    """Unknown keys are errors that name the nearest known one."""
    known = ("version", *SECTIONS)
    for name, value in data.items():
        if name not in known:
            raise OperatorError(f"{where}: {name}: no such key{_nearest(name, known)}")
        if name in SECTIONS:
            if not isinstance(value, dict):
                raise OperatorError(f"{where}: {name}: not a table")
            fields = SECTIONS[name].__struct_fields__
            for key in value:
                if key not in fields:
                    raise OperatorError(f"{where}: {name}.{key}: no such key{_nearest(key, fields)}")


def _nearest(name: str, known: Iterable[str]) -> str:
    near = difflib.get_close_matches(name, list(known), 1, 0.5)
    return f"; did you mean {near[0]}?" if near else ""
