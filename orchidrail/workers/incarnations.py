"""Identity of a worker's incarnations.

A worker registers under a name, which its next incarnation may reuse; what one
incarnation reported does not apply to the next. So a `WorkerId` identifies one
incarnation: the name together with its start time. Start times are compared
for equality only, since the wall clock may jump back.
"""

from __future__ import annotations

from functools import lru_cache

from orchidrail.types import WorkerId, WorkerName

#: Not allowed in a worker's name.
BORN_SEPARATOR = '@'
#: Ids whose parts are kept: each record of a job splits those of its workers.
_MAX_CACHED = 4096


def incarnation_id(name: WorkerName, born: int | None) -> WorkerId:
    """Return the id of one incarnation: the bare name without a start time.

    Examples
    --------
    >>> incarnation_id(WorkerName('w-1'), 1700)
    'w-1@1700'
    >>> incarnation_id(WorkerName('w-1'), None)
    'w-1'
    """
    return WorkerId(name if born is None else f'{name}{BORN_SEPARATOR}{born}')


@lru_cache(maxsize=_MAX_CACHED)
def split_incarnation_id(worker: WorkerId) -> tuple[WorkerName, int | None]:
    """Return the name and the start time of an incarnation.

    Examples
    --------
    >>> split_incarnation_id(WorkerId('w-1@1700'))
    ('w-1', 1700)
    """
    name, separator, born = worker.partition(BORN_SEPARATOR)
    return WorkerName(name), int(born) if separator else None
