"""Configuration of a node: environment variables, and the JSON file that ``GW_CONFIG`` names."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from tansygw.interface import Settings
from tansygw.settings import settings_from

from .core.list_entries import Address, EntryReader, PeerAddresses, address

MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 512
MAX_MEMORY_MB = 2**40


class ConfigError(Exception):
    """The configuration is invalid; the message is one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """The checked configuration; its field names appear in the log."""

    name: str
    listen: Address
    inherited_fd: int | None  # an inherited listening socket, used instead of ``listen``
    admin: Address | None  # the admin port; None: disabled
    discovery: Address
    seed: int
    sockets: int
    memory_bytes: int  # limit of the node, all of its processes together
    known: Any
    settings: Settings
    report_names: dict[str, str]
    class_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    names: EntryReader
    conn_idle_us: int
    peers: PeerAddresses | None  # None: no messages between nodes


def _address(name: str, text: Any) -> Address:
    try:
        return address(text)
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from None


def _object(data: dict[str, Any], name: str) -> dict[str, Any]:
    value = data.get(name)
    if not isinstance(value, dict):
        raise ConfigError(f"{name}: not an object")
    return value


def _seed(text: Any) -> int:
    try:
        return int(str(text), 16)
    except ValueError:
        raise ConfigError(f"seed: {text!r} is not a hexadecimal number") from None


def _peers(data: dict[str, Any], settings: Settings) -> PeerAddresses | None:
    """Addresses for peer messages, if the settings allow them and the file configures them."""
    if not settings.limits.peer_messages or settings.group_size < 2 or not data.get("peer_listen"):
        return None
    nodes = data.get("peers")
    if not isinstance(nodes, list) or len(nodes) > settings.group_size:
        raise ConfigError(f"peers: not a list of at most {settings.group_size} addresses")
    everybody = data.get("peers_all")
    return PeerAddresses(
        _address("peer_listen", data["peer_listen"]),
        tuple(_address(f"peers[{n}]", text) for n, text in enumerate(nodes)),
        _address("peers_all", everybody) if everybody else None,
    )


def _descriptor(text: str | None) -> int | None:
    """Number of an inherited descriptor, None if unset; whether it is open is checked on use."""
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise ConfigError(f"GW_INHERITED_FD: {text!r} is not the number of a descriptor")
    return int(text)


def read(env: Mapping[str, str] = os.environ) -> Config:
    """Read and check the configuration; raises ConfigError."""
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: not set")
    try:
        with open(path, "rb") as file:
            data = orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {error}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return _checked(data, env)
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]}: missing") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def reread(env: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration again; the file, not ``GW_DISCOVERY``, now sets the discovery address."""
    return read({name: value for name, value in env.items() if name != "GW_DISCOVERY"})


def _checked(data: dict[str, Any], env: Mapping[str, str]) -> Config:
    raw = _object(data, "settings")
    settings, report_names = settings_from(raw)
    names = EntryReader.of(raw.get("Azs") or [], raw.get("Kinds") or [])
    known: dict[str, Any] = _object(data, "known") if "known" in data else {"rev": 0, "targets": []}
    names.entries(known["targets"])
    int(known["rev"])
    limits = _object(data, "limits") if "limits" in data else {}
    sockets = int(limits.get("sockets", 1024))
    if sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: at least {MIN_SOCKETS} are needed")
    memory_mb = float(limits.get("memory_mb", DEFAULT_MEMORY_MB))
    if not 0 < memory_mb < MAX_MEMORY_MB:
        raise ConfigError(f"limits.memory_mb: not a size of at most {MAX_MEMORY_MB} MB")
    admin = env.get("GW_ADMIN_ADDR") or data.get("admin_addr")
    idle_us = (raw.get("Limits") or {}).get("ConnIdleUs", 60_000_000)
    return Config(
        name=str(env.get("GW_NAME") or data.get("name") or "node"),
        listen=_address("listen", env.get("GW_LISTEN") or data.get("listen")),
        inherited_fd=_descriptor(env.get("GW_INHERITED_FD")),
        admin=_address("admin_addr", admin) if admin else None,
        discovery=_address("discovery", env.get("GW_DISCOVERY") or data.get("discovery")),
        seed=_seed(data.get("seed", "0")),
        sockets=sockets,
        memory_bytes=int(memory_mb * 2**20),
        known=known,
        settings=settings,
        report_names=report_names,
        class_names=tuple(c.name for c in settings.classes),
        tenant_names=tuple(t.name for t in settings.tenants),
        names=names,
        conn_idle_us=int(idle_us),
        peers=_peers(data, settings),
    )
