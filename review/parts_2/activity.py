"""When tasks of each job ran, as the workers saw it."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable


class Activity:
    """Counts the runs of each job in progress.

    Parameters
    ----------
    clock : callable
        Seconds since the start of the case.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        #: When the first task of a job began, by the job's id.
        self.began_at: dict[str, float] = {}
        #: When a task ended `done`, by the task's name.
        self.done_at: dict[str, float] = {}
        self._running: Counter[str] = Counter()
        #: Changes of whether anything runs, by the job's id.
        self._spans: defaultdict[str, list[list[float]]] = defaultdict(list)

    def note_start(self, task: str) -> None:
        """Note that a worker began a task."""
        job = task.partition('.')[0]
        self.began_at.setdefault(job, self._clock())
        if not self._running[job]:
            self._spans[job].append([self._clock(), float('inf')])
        self._running[job] += 1

    def note_end(self, task: str, how: str) -> None:
        """Note that a run ended."""
        if how == 'done':
            self.done_at.setdefault(task, self._clock())
        job = task.partition('.')[0]
        self._running[job] -= 1
        if not self._running[job]:
            self._spans[job][-1][1] = self._clock()

    def longest_idle(self, job: str, since: float, until: float) -> float:
        """Return the longest time without any run between two times."""
        longest, idle_from = 0.0, since
        for began, ended in self._spans[job]:
            if began > until:
                break
            longest = max(longest, began - idle_from)
            idle_from = max(idle_from, ended)
        return max(longest, until - idle_from)
