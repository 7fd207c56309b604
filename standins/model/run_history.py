"""Record of the runs of a simulated day: where they ran, how they ended."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from orchidrail.types import Seconds, TaskKey, WorkerId
from orchidrail.workers.port import RunKey

#: Crashes of a task after which further starts are counted.
_CRASHES_ALLOWED = 3


class RunHistory:
    """Tracks all runs, and counts starts that violate a guarantee."""

    def __init__(self) -> None:
        """Start with no run."""
        #: Starts of a task that was still running elsewhere.
        self.doubled = 0
        self.crashes_by_task: Counter[TaskKey] = Counter()
        #: Starts of a task that had crashed three workers before.
        self.excess_starts_by_task: Counter[TaskKey] = Counter()
        #: Runs lost in a crash that they did not cause.
        self.lost_to_other_crashes = 0
        #: Time at which the last run of a task ended.
        self.last_end_by_task: dict[TaskKey, Seconds] = {}
        #: Runs that ended as done, and those whose task was started afterwards.
        self._done_by_task: defaultdict[TaskKey, set[RunKey]] = defaultdict(set)
        self._restarted_after_done: set[RunKey] = set()
        self._worker_by_task: dict[TaskKey, WorkerId] = {}

    def is_running(self, task: TaskKey) -> bool:
        """Whether any worker runs a task."""
        return task in self._worker_by_task

    def is_done(self, task: TaskKey) -> bool:
        """Whether a run of a task has ended as done."""
        return bool(self._done_by_task.get(task))

    def repeated(self, acknowledged: Iterable[RunKey]) -> int:
        """Return how many acknowledged, done runs were repeated.

        A run whose end was lost with its worker may be repeated.
        """
        return len(self._restarted_after_done.intersection(acknowledged))

    def record_start(self, key: RunKey, worker: WorkerId) -> None:
        """Record a start, and count the guarantees that it violates."""
        if key.task in self._worker_by_task:
            self.doubled += 1
        self._restarted_after_done |= self._done_by_task[key.task]
        self._worker_by_task[key.task] = worker
        if self.crashes_by_task[key.task] >= _CRASHES_ALLOWED:
            self.excess_starts_by_task[key.task] += 1

    def record_end(self, key: RunKey, now: Seconds) -> None:
        """Record that a run has ended, in whatever way."""
        self._worker_by_task.pop(key.task, None)
        self.last_end_by_task[key.task] = now

    def record_done(self, key: RunKey, tasks: Iterable[TaskKey]) -> None:
        """Record that a run ended as done.

        Parameters
        ----------
        tasks : iterable of TaskKey
            Tasks completed by it; for a gang those of all members.
        """
        for task in tasks:
            self._done_by_task[task].add(key)

    def record_crash(self, lost: list[RunKey], cause: RunKey | None) -> None:
        """Record a crash: the runs lost, and the one that caused it, if any."""
        self.lost_to_other_crashes += sum(key != cause for key in lost)
        if cause is not None:
            self.crashes_by_task[cause.task] += 1
