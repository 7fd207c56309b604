"""What held late jobs up, from the log lines of the system's processes.

``python -m tools.losses FILE...`` reads JSON lines, also those with a time
and a name before them, and prints by queue and cause how many jobs were late
and for how many seconds they waited. `--worth QUEUE=X` weighs a queue's jobs.
"""

from __future__ import annotations

import json
import pathlib
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

import fire

#: Part of a late job's time that a cause must have taken to be named.
_LEAST_SHARE = 0.1
#: Times the expected end after which a job is of no use any more.
_USELESS_AFTER = 3


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


def _ended(entry: dict[str, object]) -> _Ended:
    return _Ended(*(entry[name] for name in _Ended._fields))  # type: ignore[arg-type]


def _print_queue(queue: str, ended: list[_Ended], worth: float) -> None:
    late = [job for job in ended if job.late]
    useless = sum(job.useless for job in late)
    print(f'{queue}: {len(ended)} ended, {len(late)} late, {useless} useless')
    count_by_cause = Counter(job.cause() for job in late)
    for cause, count in count_by_cause.most_common():
        of_cause = [job for job in late if job.cause() == cause]
        over = sum(job.took - job.expected for job in of_cause)
        print(f'  {cause:14} {count:4} jobs {over:8.1f} s {worth * count:8.2f}')


def report(*paths: str, worth: dict[str, float] | None = None) -> None:
    """Print the table of all files.

    Parameters
    ----------
    paths : str
        Log files.
    worth : dict, optional
        Worth of one job by the name of its queue; 1 where none is given.
    """
    ended_by_queue: dict[str, list[_Ended]] = defaultdict(list)
    refused: Counter[str] = Counter()
    for entry in read_lines(paths):
        event = entry.get('event')
        if event == 'job over':
            ended = _ended(entry)
            ended_by_queue[ended.queue].append(ended)
        if event in {'job refused', 'job not accepted'}:
            refused[f'{entry["queue"]}: {event}'] += 1
    for queue, jobs in sorted(ended_by_queue.items()):
        _print_queue(queue, jobs, (worth or {}).get(queue, 1))
    for what, count in refused.most_common():
        print(f'{what}: {count} times')


if __name__ == '__main__':
    fire.Fire(report)
