"""Causes of late jobs, from the log lines of the processes.

``python -m tools.losses FILE...`` reads JSON lines, with or without a time and
a name in front, and prints by queue and cause how many jobs were late and by
how many seconds. For unfinished jobs it prints what their tasks waited for in
their longest wait. `--worth` gives the worth of one job by queue.
"""

from __future__ import annotations

import json
import pathlib
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

import fire

from orchidrail.shard.eligibility import IneligibleReason

#: Share of a late job's duration that a wait must exceed to be its cause.
_MIN_SHARE = 0.1
#: A job is useless after this multiple of its expected duration.
_USELESS_FACTOR = 3
_RANK_BY_REASON = {
    reason.value: rank for rank, reason in enumerate(IneligibleReason)
}


class _Ended(NamedTuple):
    """Fields of the log line of an ended job."""

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
        return self.took > _USELESS_FACTOR * self.expected

    def cause(self) -> str:
        """Return the longest wait, or else the probable cause."""
        longest = max(self.waits, key=self.waits.__getitem__, default='')
        if longest and self.waits[longest] > _MIN_SHARE * self.took:
            return longest
        return 'failed runs' if self.failures else 'slow or unseen'


class _Waiting(NamedTuple):
    """Fields of the log line of waiting tasks."""

    job: str
    queue: str
    seconds: float
    reason: str
    workers: dict[str, int]

    def cause(self) -> str:
        """Return the wait reason and why the nearest worker is ineligible."""
        nearest = max(self.workers, key=_RANK_BY_REASON.__getitem__, default='')
        return f'{self.reason or "nothing"}, {nearest or "no worker"}'


class _Tally:
    """Collects the log lines by job and queue."""

    def __init__(self) -> None:
        """Start without log lines."""
        self.ended_by_queue: dict[str, list[_Ended]] = defaultdict(list)
        self.rejections: Counter[str] = Counter()
        self._ended_jobs: set[str] = set()
        self._longest_by_job: dict[str, _Waiting] = {}
        self._recorder_by_event = {
            'job over': self._record_end,
            'job refused': self._record_rejection,
            'job not accepted': self._record_rejection,
            'tasks wait': self._record_waiting,
        }

    def record(self, entry: dict[str, object]) -> None:
        """Record one log line; other events are ignored."""
        record = self._recorder_by_event.get(str(entry.get('event')))
        if record is not None:
            record(entry)

    def waiting_by_queue(self) -> dict[str, list[_Waiting]]:
        """Return the longest wait of each unfinished job."""
        waiting_by_queue: dict[str, list[_Waiting]] = defaultdict(list)
        for job, waiting in self._longest_by_job.items():
            if job not in self._ended_jobs:
                waiting_by_queue[waiting.queue].append(waiting)
        return waiting_by_queue

    def _record_end(self, entry: dict[str, object]) -> None:
        ended = _Ended(*_pick(entry, _Ended._fields))
        self._ended_jobs.add(ended.job)
        self.ended_by_queue[ended.queue].append(ended)

    def _record_waiting(self, entry: dict[str, object]) -> None:
        waiting = _Waiting(*_pick(entry, _Waiting._fields))
        longest = self._longest_by_job.setdefault(waiting.job, waiting)
        if waiting.seconds > longest.seconds:
            self._longest_by_job[waiting.job] = waiting

    def _record_rejection(self, entry: dict[str, object]) -> None:
        self.rejections[f'{entry["queue"]}: {entry["event"]}'] += 1


def read_lines(paths: tuple[str, ...]) -> Iterator[dict[str, object]]:
    """Yield the JSON objects of log files; other lines are skipped."""
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
        overrun = sum(job.took - job.expected for job in of_cause)
        print(
            f'  {cause:14} {count:4} jobs {overrun:8.1f} s {worth * count:8.2f}'
        )


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
    """Print the causes of late and unfinished jobs in all files.

    Parameters
    ----------
    paths : str
        Log files.
    worth : dict, optional
        Worth of one job by queue name; the default is 1.
    """
    tally = _Tally()
    for entry in read_lines(paths):
        tally.record(entry)
    worth_by_queue = worth or {}
    for queue, ended in sorted(tally.ended_by_queue.items()):
        _print_queue(queue, ended, worth_by_queue.get(queue, 1))
    for queue, waiting in sorted(tally.waiting_by_queue().items()):
        _print_waiting(queue, waiting, worth_by_queue.get(queue, 1))
    for what, count in tally.rejections.most_common():
        print(f'{what}: {count} times')


if __name__ == '__main__':
    fire.Fire(report)
