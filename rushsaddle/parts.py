"""The parts of a node that only an operator's settings bring in; imported where they are set, not before."""

from __future__ import annotations

import select
import socket
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from .core.loop import Coroutine, Loop, Wait
from .net.desk import WaitDesk
from .net.jobs import HttpFront
from .operator.load import OperatorError
from .operator.records import Waiting as Section
from .operator.records import duration_us
from .waiting.service import Rules, Waiting
from .waiting.store import Store, StoreError

if TYPE_CHECKING:
    from .node import Node


def rules_of(section: Section) -> Rules:
    return Rules(
        section.most, section.pace, section.reserve, duration_us(section.longest),
        duration_us(section.remember), section.remember_most, duration_us(section.keep), section.keep_most,
    )


def waiting_part(node: Node, section: Section) -> Waiting:
    """Jobs that wait, joined to a node; raises OperatorError where the store cannot be used."""
    if "jobs" in node.told.class_names:
        raise OperatorError("waiting.enabled: a class is named 'jobs', whose path is needed")
    loop, store = node.loop, None
    if section.store:
        wakes, far = socket.socketpair()
        wakes.setblocking(False)
        far.setblocking(False)
        try:
            store = Store(Path(section.store), lambda: _wake(far))
        except StoreError as error:
            raise OperatorError(f"waiting.store: {error}") from None
        loop.spawn(_collect(loop, wakes, store))
    rules = rules_of(section)
    waiting = Waiting(loop, node.log, node.decider, node.told.settings, rules, HttpFront(), store)
    node.callers.desk = WaitDesk(node.callers, waiting, rules.longest_us, section.legs_share)
    return waiting


def take_waiting(node: Node, section: Section) -> None:
    """What can be changed without a restart.  Jobs that wait beyond a lower bound stay."""
    waiting, desk = node.waiting, node.callers.desk
    if waiting is None or not isinstance(desk, WaitDesk):
        return
    rules = waiting.rules = rules_of(section)
    desk.longest_us, desk.legs_share = rules.longest_us, section.legs_share
    plan = waiting.plan
    plan.most, plan.paced, plan.room.reserve = rules.most, rules.pace, rules.reserve
    plan.outcomes.keep_us, plan.outcomes.most = rules.remember_us, rules.remember_most


def _wake(far: socket.socket) -> None:
    """From the store's thread; a full socket has wakes enough in it."""
    with suppress(BlockingIOError):
        far.send(b"\0")


def _collect(loop: Loop, wakes: socket.socket, store: Store) -> Coroutine[None]:
    """Tell the ends of the store's calls in the loop's own thread."""
    while True:
        yield Wait(wakes.fileno(), select.EPOLLIN)
        wakes.recv(4096)
        store.collect()
