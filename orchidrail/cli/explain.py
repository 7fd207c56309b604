"""Selects the log lines about a job and about events that affected it."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

#: Fields of a log line that may refer to a job, its steps or its tasks.
_JOB_REFERENCE_FIELDS = ('job', 'task', 'step', 'jobs', 'tasks')
#: Events that may affect any job that is open at the time.
_CONTEXT_EVENTS = frozenset(
    (
        'calls turned away',
        'configuration in force',
        'handing over',
        'no advice',
        'nobody heard, letting go',
        'nobody took over',
        'owner changed',
        'owner ends',
        'run lost',
        'task suspected',
        'shard load',
        'shard taken over',
        'started',
        'stopping',
        'store lost',
        'store regained',
        'worker entry is back',
        'worker entry is gone',
        'worker given up',
        'worker lost',
        'worker moves on',
        'worker reached',
        'worker rests',
        'worker stands still',
    )
)
#: Events that end a job.
_END_EVENTS = frozenset(
    (
        'job cancelled',
        'job not accepted',
        'job over',
        'job refused',
        'job refused by digest',
        'job refused by forecast',
        'job withdrawn',
    )
)
_HIDDEN_FIELDS = frozenset(('timestamp', 'daemon', 'zone', 'level', 'event'))


class LogLine(NamedTuple):
    """A parsed log line."""

    timestamp: str
    daemon: str
    event: str
    fields: dict[str, Any]

    def names(self, job_id: str) -> bool:
        """Whether the line refers to the job or to a step or task of it."""
        return any(
            job_id in str(self.fields.get(field, ''))
            for field in _JOB_REFERENCE_FIELDS
        )

    def to_text(self) -> str:
        """Return the line in a form for people to read."""
        shown = ' '.join(
            f'{name}={found}'
            for name, found in self.fields.items()
            if name not in _HIDDEN_FIELDS
        )
        return f'{self.timestamp} {self.daemon} {self.event}: {shown}'


def explain(job_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines about a job and its surroundings, by time.

    For a job that has not ended, the surroundings extend to the last line of
    the logs: the events that prevent its tasks from running may not name it.

    Parameters
    ----------
    job_id : str
    lines : iterable of str
        Lines of all processes, in any order. Text before the JSON object and
        lines without one are ignored.

    Examples
    --------
    >>> found = explain('ab', [
    ...     '1.0 x {"timestamp": "2", "event": "job accepted", "job": "ab"}',
    ...     '{"timestamp": "1", "event": "started"}',
    ...     '{"timestamp": "2", "event": "store lost"}',
    ... ])
    >>> [line.event for line in found]
    ['job accepted', 'store lost']
    """
    parsed = sorted(_parse(lines), key=lambda line: line.timestamp)
    own = [line for line in parsed if line.names(job_id)]
    if not own:
        return []
    last = own[-1] if is_over(own) else parsed[-1]
    first_at, last_at = own[0].timestamp, last.timestamp
    return [
        line
        for line in parsed
        if line.names(job_id)
        or (
            line.event in _CONTEXT_EVENTS
            and first_at <= line.timestamp <= last_at
        )
    ]


def is_over(lines: Iterable[LogLine]) -> bool:
    """Whether one of the lines about a job reports its end.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines that name the job, or the result of `explain`.
    """
    return any(line.event in _END_EVENTS for line in lines)


def read_lines(paths: Iterable[str]) -> Iterator[str]:
    """Yield the lines of the given files.

    Raises
    ------
    OSError
        If a file can't be read.
    """
    for path in paths:
        yield from pathlib.Path(path).read_text().splitlines()


def _parse(lines: Iterable[str]) -> Iterator[LogLine]:
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:], type=dict[str, Any])
        except msgspec.MsgspecError:
            continue
        yield LogLine(
            str(fields.get('timestamp', '')),
            str(fields.get('daemon', '')),
            str(fields.get('event', '')),
            fields,
        )
