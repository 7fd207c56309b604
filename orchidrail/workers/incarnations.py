"""What tells the lives of a worker apart.

A worker registers under a name, which its next life may have again; what was
heard of one life says nothing of the next. So whatever is kept by a
`WorkerId` is kept for one life: the name together with the life's start. Of
starts only sameness counts, since the time of day may jump back.
"""

from __future__ import annotations

from orchidrail.types import WorkerId, WorkerName

#: No name that is taken has it.
BORN_SEPARATOR = '@'


def incarnation_id(name: WorkerName, born: int | None) -> WorkerId:
    """Return the id of one life; a worker that tells no start has one only.

    Examples
    --------
    >>> incarnation_id(WorkerName('w-1'), 1700)
    'w-1@1700'
    >>> incarnation_id(WorkerName('w-1'), None)
    'w-1'
    """
    return WorkerId(name if born is None else f'{name}{BORN_SEPARATOR}{born}')


def split_incarnation_id(worker: WorkerId) -> tuple[WorkerName, int | None]:
    """Return the name and the start of a life.

    Examples
    --------
    >>> split_incarnation_id(WorkerId('w-1@1700'))
    ('w-1', 1700)
    """
    name, separator, born = worker.partition(BORN_SEPARATOR)
    return WorkerName(name), int(born) if separator else None
