"""What held late jobs up, from the log lines of the system's processes.

``python -m tools.losses FILE...`` reads JSON lines, also those with a time
and a name before them, and prints by queue and cause how many jobs were late
and for how many seconds they waited. Of jobs that are not over it prints what
their tasks waited for longest. `--worth QUEUE=X` weighs a queue's jobs.
"""

from __future__ import annotations

import json
import pathlib
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

import fire

from orchidrail.shard.eligibility import IneligibleReason

#: Part of a late job's time that a cause must have taken to be named.
_LEAST_SHARE = 0.1
#: Times the expected end after which a job is of no use any more.
_USELESS_AFTER = 3
_RANK_BY_OBSTACLE = {
    obstacle.value: rank for rank, obstacle in enumerate(IneligibleReason)
}


class _Ended(NamedTuple):
    """What the line of a job that is over tells."""

    job: str
    queue: str
    phase: str
    took: float
    expected: float
    longest_run: float
    failures: int
    waits: dict[str, float]

    @property
    def late(self) -> bool:
        return self.took > self.expected

    @property
    def useless(self) -> bool:
        return self.took > _USELESS_AFTER * self.expected

    def cause(self) -> str:
        """Name what took the largest part of the time beyond the work."""
        longest = max(self.waits, key=self.waits.__getitem__, default='')
        if longest and self.waits[longest] > _LEAST_SHARE * self.took:
            return longest
        return 'failed runs' if self.failures else 'slow or unseen'


class _Waiting(NamedTuple):
    """What a line of tasks that wait tells."""

    job: str
    queue: str
    seconds: float
    reason: str
    workers: dict[str, int]

    def cause(self) -> str:
        """Name what they wait for, and what kept the nearest worker off."""
        nearest = max(
            self.workers, key=_RANK_BY_OBSTACLE.__getitem__, default=''
        )
        return f'{self.reason or "nothing"}, {nearest or "no worker"}'


class _Tally:
    """What the lines tell of all jobs."""

    def __init__(self) -> None:
        """Start without any job."""
        self.ended_by_queue: dict[str, list[_Ended]] = defaultdict(list)
        self.refused: Counter[str] = Counter()
        self._over: set[str] = set()
        self._longest_by_job: dict[str, _Waiting] = {}
        self._note_by_event = {
            'job over': self._note_over,
            'job refused': self._note_refused,
            'job not accepted': self._note_refused,
            'tasks wait': self._note_waiting,
        }

    def note(self, entry: dict[str, object]) -> None:
        """Take one line."""
        note = self._note_by_event.get(str(entry.get('event')))
        if note is not None:
            note(entry)

    def waiting_by_queue(self) -> dict[str, list[_Waiting]]:
        """Return the longest wait of each job that is not over."""
        waiting_by_queue: dict[str, list[_Waiting]] = defaultdict(list)
        for job, waiting in self._longest_by_job.items():
            if job not in self._over:
                waiting_by_queue[waiting.queue].append(waiting)
        return waiting_by_queue

    def _note_over(self, entry: dict[str, object]) -> None:
        ended = _Ended(*_pick(entry, _Ended._fields))
        self._over.add(ended.job)
        self.ended_by_queue[ended.queue].append(ended)

    def _note_waiting(self, entry: dict[str, object]) -> None:
        waiting = _Waiting(*_pick(entry, _Waiting._fields))
        longest = self._longest_by_job.setdefault(waiting.job, waiting)
        if waiting.seconds > longest.seconds:
            self._longest_by_job[waiting.job] = waiting

    def _note_refused(self, entry: dict[str, object]) -> None:
        self.refused[f'{entry["queue"]}: {entry["event"]}'] += 1


def read_lines(paths: tuple[str, ...]) -> Iterator[dict[str, object]]:
    """Yield the JSON objects of log files; other lines are passed over."""
    for path in paths:
        for line in pathlib.Path(path).read_text().splitlines():
            begin = line.find('{')
            if begin < 0:
                continue
            try:
                entry = json.loads(line[begin:])
            except ValueError:
                continue
            if isinstance(entry, dict):
                yield entry


def _pick(entry: dict[str, object], names: tuple[str, ...]) -> Iterator[Any]:
    return (entry[name] for name in names)


def _print_queue(queue: str, ended: list[_Ended], worth: float) -> None:
    late = [job for job in ended if job.late]
    useless = sum(job.useless for job in late)
    print(f'{queue}: {len(ended)} ended, {len(late)} late, {useless} useless')
    count_by_cause = Counter(job.cause() for job in late)
    for cause, count in count_by_cause.most_common():
        of_cause = [job for job in late if job.cause() == cause]
        over = sum(job.took - job.expected for job in of_cause)
        print(f'  {cause:14} {count:4} jobs {over:8.1f} s {worth * count:8.2f}')


def _print_waiting(
    queue: str,
    waiting: list[_Waiting],
    worth: float,
) -> None:
    print(f'{queue}: {len(waiting)} waited and are not over')
    count_by_cause = Counter(job.cause() for job in waiting)
    for cause, count in count_by_cause.most_common():
        longest = sum(job.seconds for job in waiting if job.cause() == cause)
        print(
            f'  {cause:20} {count:4} jobs {longest:8.1f} s {worth * count:8.2f}'
        )


def report(*paths: str, worth: dict[str, float] | None = None) -> None:
    """Print the table of all files.

    Parameters
    ----------
    paths : str
        Log files.
    worth : dict, optional
        Worth of one job by the name of its queue; 1 where none is given.
    """
    tally = _Tally()
    for entry in read_lines(paths):
        tally.note(entry)
    worth_by_queue = worth or {}
    for queue, ended in sorted(tally.ended_by_queue.items()):
        _print_queue(queue, ended, worth_by_queue.get(queue, 1))
    for queue, waiting in sorted(tally.waiting_by_queue().items()):
        _print_waiting(queue, waiting, worth_by_queue.get(queue, 1))
    for what, count in tally.refused.most_common():
        print(f'{what}: {count} times')


if __name__ == '__main__':
    fire.Fire(report)
