"""Limits of a running node: the generation in force, its replacement at a reload, permits of transactions."""

from __future__ import annotations

from collections.abc import Callable

from tansygw.interface import Settings

from ..core.admission import Admission, Rejection
from ..core.log import Log
from ..core.transaction import Transaction, Verdict
from .build import CompiledLimits, build_controller
from .controller import AdmissionController, Counters, Limit, Permit
from .routes import AmbiguousPath

STATUS = {
    Limit.RATE: 429, Limit.IN_FLIGHT: 429, Limit.FAIR_SHARE: 429, Limit.ADAPTIVE: 503, Limit.SHED: 503,
    Limit.DEADLINE: 503,
}
REFUSAL_LOG_INTERVAL_US = 1_000_000  # refusals are counted and logged at most once per interval


class Limiter:
    """Admits requests under the limits in force; implements the limiter of ``core.admission``."""

    def __init__(
        self, now_us: Callable[[], int], log: Log, settings: Settings, compiled: CompiledLimits
    ) -> None:
        self.now_us = now_us
        self.log = log
        self.settings = settings
        self.counters = Counters()
        self.retired: list[AdmissionController] = []  # earlier generations with open requests
        self.refused: dict[tuple[str, str], int] = {}  # by key and limit
        self._last_log_us = 0
        self._generation = 0
        self.checksum = 0
        self.controller = self._build(compiled)

    def _build(self, compiled: CompiledLimits) -> AdmissionController:
        self._generation += 1
        self.checksum = compiled.checksum
        controller = build_controller(
            compiled, self.settings, self._generation, self.counters, self.now_us()
        )
        self.log.event(
            "limits in force", generation=self._generation, checksum=f"{self.checksum:08x}",
            keys=len(compiled.names),
        )
        return controller

    def swap(self, compiled: CompiledLimits) -> None:
        """Put a new generation in force with one assignment; open requests stay with theirs."""
        new = self._build(compiled)
        self.retired = [old for old in (*self.retired, self.controller) if old.open]
        self.controller = new

    def admit(self, cls: int, path: bytes, left_us: int, repeat: bool) -> Admission | Rejection:
        """Admit a request with ``left_us`` left until its deadline, or refuse it."""
        controller, now = self.controller, self.now_us()
        try:
            result = controller.admit(now, cls, path, left_us, repeat)
        except AmbiguousPath as error:
            return Rejection(400, str(error), 0, retryable=False)
        if isinstance(result, Permit):
            request_limits = result.limits.request_limits
            return Admission(request_limits.timeout_us, result.limits.policy, result)
        key = (result.key, result.limit.value)
        self.refused[key] = self.refused.get(key, 0) + 1
        if now - self._last_log_us > REFUSAL_LOG_INTERVAL_US:
            self._last_log_us = now
            self.log.event("refused", key=result.key, limit=result.limit.value, count=self.refused[key])
        retry_after_us = 0
        if self.settings.limits.retry_after and result.limit is not Limit.DEADLINE:
            retry_after_us = min(
                result.retry_after_us, self.settings.limits.max_retry_after_us or result.retry_after_us
            )
        retryable = result.limit is not Limit.DEADLINE
        return Rejection(
            STATUS[result.limit], f"{result.limit.value} of {result.key}", retry_after_us, retryable
        )

    def release(self, transaction: Transaction) -> None:
        """Return the permit of a transaction that has its answer or whose caller has left."""
        permit = transaction.permit
        if not isinstance(permit, Permit):
            return
        transaction.permit = None
        answer = transaction.answer
        served = answer is not None and answer.verdict is Verdict.SERVED
        permit.controller.release(self.now_us(), permit, served)
        if self.retired and not permit.controller.open:
            self.retired = [old for old in self.retired if old.open]

    def snapshot(self) -> dict[str, object]:
        """The generation in force and its counters, in the JSON form of ``/limits``."""
        return {
            "generation": self.controller.generation, "checksum": f"{self.checksum:08x}",
            "open": self.controller.open,
            "older": [{"generation": old.generation, "open": old.open} for old in self.retired],
            "keys": {
                name: {
                    "in_flight": key.in_flight, "usual_ms": round(key.usual_us / 1e3, 1),
                    "adaptive": key.adaptive.limit if key.adaptive is not None else None,
                    "retries_held": round(key.budget.tokens, 1) if key.budget is not None else None,
                }
                for name, key in list(self.counters.keys.items())[:1000]
            },
            "refused": [{"key": k, "limit": limit, "count": n} for (k, limit), n in self.refused.items()],
        }
