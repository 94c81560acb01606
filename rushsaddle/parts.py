"""The parts of a node that only an operator's settings bring in; imported where they are set, not before."""

from __future__ import annotations

import select
import socket
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from .core.loop import Coroutine, Loop, Wait
from .core.transaction import Transaction
from .limits.build import problems
from .limits.service import Limiter
from .net.desk import WaitDesk
from .net.jobs import HttpFront
from .operator.load import OperatorError, Source
from .operator.records import Limits, Operator, duration_us
from .operator.records import Waiting as Section
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
        raise OperatorError(["waiting.enabled: a class is named 'jobs', whose path is needed"])
    loop, store = node.loop, None
    if section.store:
        wakes, far = socket.socketpair()
        wakes.setblocking(False)
        far.setblocking(False)
        try:
            store = Store(Path(section.store), lambda: _wake(far))
        except StoreError as error:
            raise OperatorError([f"waiting.store: {error}"]) from None
        loop.spawn(_collect(loop, wakes, store))
    rules = rules_of(section)
    waiting = Waiting(loop, node.log, node.decider, node.told.settings, rules, HttpFront(), store)
    node.callers.desk = WaitDesk(node.callers, waiting, rules.longest_us, section.legs_share)
    return waiting


def limit_part(node: Node, operator: Operator, source: Source) -> Limiter:
    """Limits by class and route, joined to a node; raises OperatorError where they break the rules."""
    assert operator.limits is not None
    check(node, operator, source)
    limiter = Limiter(node.loop.now_us, node.log, node.told.settings, operator.limits)
    node.callers.limiter = limiter
    before = node.decider.on_over

    def over(transaction: Transaction) -> None:
        limiter.over(transaction)
        if before is not None:
            before(transaction)

    node.decider.on_over = over
    return limiter


def check(node: Node, operator: Operator, source: Source) -> None:
    """What the file cannot show by itself: whether its limits fit the platform's settings."""
    if operator.limits is not None:
        for at, reason in problems(operator.limits, node.told.settings):
            source.fault(at, reason)
    if source.faults:
        raise OperatorError(source.faults)


def take(node: Node, operator: Operator, source: Source) -> list[str]:
    """The settings as they are now, whole or not at all; what waits for the next start.  Nothing is taken
    before all is checked."""
    check(node, operator, source)
    old, node.operator = node.operator, operator
    assert old is not None
    if node.waiting is not None:
        take_waiting(node, operator.waiting)
    if node.limiter is not None:
        node.limiter.swap(operator.limits if operator.limits is not None else Limits())
    pairs = {
        "waiting.enabled": (old.waiting.enabled, operator.waiting.enabled),
        "waiting.store": (old.waiting.store, operator.waiting.store), "log.format": (old.log, operator.log),
        "limits": (node.limiter is not None, operator.limits is not None or node.limiter is not None),
    }
    return [key for key, (was, now) in pairs.items() if was != now]


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
