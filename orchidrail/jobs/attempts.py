"""Keys of the attempts of a job's tasks, and the data of their claims."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.keys import claim_of
from orchidrail.types import Address, JobId, TaskId, WorkerId

_KEY_FIELDS = 3


class Attempt(NamedTuple):
    """One attempt of one group of tasks that are started together.

    Examples
    --------
    >>> Attempt(JobId('j'), group=0, generation=1, number=2).key
    'j#0#1.2'
    >>> Attempt.parse('claim/j#0#1.2/3')
    Attempt(job='j', group=0, generation=1, number=2)
    """

    job: JobId
    group: int
    generation: int
    number: int

    @property
    def key(self) -> TaskId:
        """The key of the attempt as a whole."""
        numbers = f'{self.generation}.{self.number}'
        return TaskId(f'{self.job}#{self.group}#{numbers}')

    @classmethod
    def parse(cls, text: str) -> Attempt | None:
        """Parse the key of a task or of a claim; None if it is neither."""
        fields = text.removeprefix('claim/').split('#')
        if len(fields) != _KEY_FIELDS:
            return None
        generation, _, number = fields[2].split('/')[0].partition('.')
        return cls(
            JobId(fields[0]),
            int(fields[1]),
            int(generation),
            int(number),
        )


class ClaimNote(NamedTuple):
    """Where a claimed task may run; stored with the claim."""

    worker: WorkerId
    boot: str
    address: Address
    task: TaskId

    @property
    def text(self) -> str:
        """The stored form."""
        return ' '.join(self)

    @classmethod
    def parse(cls, text: str) -> ClaimNote:
        """Parse the stored form."""
        worker, boot, address, task = text.split(' ')
        return cls(WorkerId(worker), boot, Address(address), TaskId(task))


def recovered_marker(job: JobId, generation: int) -> TaskId:
    """Return the key of the marker that all earlier claims were copied."""
    return TaskId(f'recovered/{job}/{generation}')


def refused_marker(job: JobId, generation: int) -> TaskId:
    """Return the key of the marker that an owner found the job refused."""
    return TaskId(f'ended/{job}/refused/{generation}')


def ended_marker(job: JobId) -> TaskId:
    """Return the key of the marker that a job has ended."""
    return TaskId(f'ended/{job}')


def job_claim(job: JobId) -> TaskId:
    """Return the key of the claim that a job was accepted."""
    return claim_of(TaskId(job))
