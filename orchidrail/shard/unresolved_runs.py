"""Runs that may be on workers which this owner has not heard yet."""

from __future__ import annotations

from collections import UserDict, defaultdict

from orchidrail.shard.tenant_ledger import (
    QuotaUsage,
    TenantLedger,
    quota_usage_of,
)
from orchidrail.types import RunNumber, WorkerId
from orchidrail.work.step import Task
from orchidrail.workers.port import RunKey

_Placed = list[tuple[Task, RunNumber]]


class UnresolvedRuns(UserDict[WorkerId, _Placed]):
    """Tasks that an earlier owner placed, by worker; they count as running.

    Parameters
    ----------
    ledger : TenantLedger
    """

    def __init__(self, ledger: TenantLedger) -> None:
        """Know of none."""
        self._ledger = ledger
        self._left_by_worker: defaultdict[
            WorkerId, dict[RunKey, QuotaUsage]
        ] = defaultdict(dict)
        super().__init__()

    def __setitem__(self, worker: WorkerId, placed: _Placed) -> None:
        """Take the runs of a worker, in place of those known so far."""
        for task, _ in self.data.get(worker, ()):
            self._ledger.remove_usage(quota_usage_of(task))
        for task, _ in placed:
            self._ledger.add_usage(quota_usage_of(task))
        super().__setitem__(worker, placed)

    def pop_runs(self, worker: WorkerId) -> _Placed:
        """Forget the runs of a worker, heard of or over, and return them."""
        placed = self.data.pop(worker, [])
        for task, _ in placed:
            self._ledger.remove_usage(quota_usage_of(task))
        for holding in self._left_by_worker.pop(worker, {}).values():
            self._ledger.remove_usage(holding)
        return placed

    def add(self, worker: WorkerId, placed: _Placed) -> None:
        """Add runs to those of a worker."""
        self[worker] = [*self.get(worker, ()), *placed]

    def add_lingering(
        self,
        worker: WorkerId,
        key: RunKey,
        holding: QuotaUsage,
    ) -> None:
        """Add what an ended job may have left on a worker."""
        self.setdefault(worker, [])
        self._ledger.add_usage(holding)
        self._left_by_worker[worker][key] = holding

    def lingering_on(self, worker: WorkerId, key: RunKey) -> QuotaUsage | None:
        """Return what a run of an ended job takes, if it was known of."""
        return self._left_by_worker.get(worker, {}).get(key)
