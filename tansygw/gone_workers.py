"""Which workers that have left the list are still remembered, as they may come back under their names."""

from __future__ import annotations

from collections.abc import Mapping

from .worker import Worker

MAX_GONE_WORKERS = 512
NEGLIGIBLE_SLOTS = 0.01  # what rounding may leave of slots that were released


class GoneWorkers:
    """The workers that are not in the list, those that left first in front."""

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._names)

    def update(self, worker: Worker) -> None:
        """Note a worker that has left the list, or is in it again."""
        if worker.listed:
            self._names.pop(worker.name, None)
        else:
            self._names.setdefault(worker.name)

    def forget_oldest(self, workers: Mapping[str, Worker]) -> list[Worker]:
        """Forget those beyond the maximum but for workers with an attempt or a probe; returns them."""
        excess = max(0, len(self._names) - MAX_GONE_WORKERS)
        forgotten = [
            worker for name in list(self._names)[:excess] if _is_unused(worker := workers[name])
        ]
        for worker in forgotten:
            del self._names[worker.name]
        return forgotten


def _is_unused(worker: Worker) -> bool:
    in_flight = worker.unstarted or worker.probe_pending or worker.trial_attempt is not None
    return worker.own_slots <= NEGLIGIBLE_SLOTS and not in_flight
