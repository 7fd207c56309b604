"""Inherited runs on workers that this owner has not reached yet."""

from __future__ import annotations

from collections import UserDict, defaultdict
from collections.abc import Collection

from orchidrail.shard.tenant_ledger import (
    QuotaUsage,
    TenantLedger,
    quota_usage_of,
)
from orchidrail.types import RunNumber, WorkerId
from orchidrail.work.step import Task
from orchidrail.workers.port import RunKey

_Runs = list[tuple[Task, RunNumber]]


class UnresolvedRuns(UserDict[WorkerId, _Runs]):
    """Inherited runs by worker; they count towards their tenants' usage.

    Parameters
    ----------
    ledger : TenantLedger
    """

    def __init__(self, ledger: TenantLedger) -> None:
        """Start without runs."""
        self._ledger = ledger
        self._lingering_by_worker: defaultdict[
            WorkerId, dict[RunKey, QuotaUsage]
        ] = defaultdict(dict)
        super().__init__()

    def __setitem__(self, worker: WorkerId, placed: _Runs) -> None:
        """Replace the runs of a worker, and their usage."""
        for task, _ in self.data.get(worker, ()):
            self._ledger.remove_usage(quota_usage_of(task))
        for task, _ in placed:
            self._ledger.add_usage(quota_usage_of(task))
        super().__setitem__(worker, placed)

    def pop_runs(self, worker: WorkerId) -> _Runs:
        """Remove the runs of a worker, and their usage, and return them."""
        placed = self.data.pop(worker, [])
        for task, _ in placed:
            self._ledger.remove_usage(quota_usage_of(task))
        for quota_usage in self._lingering_by_worker.pop(worker, {}).values():
            self._ledger.remove_usage(quota_usage)
        return placed

    def remove_listed(
        self, worker: WorkerId, listed: Collection[RunKey]
    ) -> None:
        """Remove the runs that a worker has listed, and their usage."""
        self[worker] = [
            (task, number)
            for task, number in self[worker]
            if RunKey(task.key, number) not in listed
        ]
        lingering = self._lingering_by_worker.get(worker, {})
        for key in lingering.keys() & set(listed):
            self._ledger.remove_usage(lingering.pop(key))

    def add(self, worker: WorkerId, placed: _Runs) -> None:
        """Add runs to those of a worker."""
        self[worker] = [*self.get(worker, ()), *placed]

    def add_lingering(
        self,
        worker: WorkerId,
        key: RunKey,
        quota_usage: QuotaUsage,
    ) -> None:
        """Add a lingering run, which an ended job may have on a worker."""
        self.setdefault(worker, [])
        self._ledger.add_usage(quota_usage)
        self._lingering_by_worker[worker][key] = quota_usage

    def lingering_on(self, worker: WorkerId, key: RunKey) -> QuotaUsage | None:
        """Return the usage of a lingering run, None if it is unknown."""
        return self._lingering_by_worker.get(worker, {}).get(key)
