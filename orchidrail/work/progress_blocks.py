"""Blocks of the started tasks of a job, each of which is stored by itself.

A change then costs the encoding and the writing of one block, however many
tasks the job has. Blocks are written independently of each other: whoever reads
them must not assume that they are of the same moment.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from orchidrail.types import BlockNumber

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from orchidrail.work.step import Task

#: Number of tasks from which a block gets no further one.
TASKS_PER_BLOCK = 1024


class ProgressBlocks:
    """Assigns each started task to a block, for good.

    Moving a task to another block could lose its record, as the two blocks may
    be written by different appends.
    """

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks_by_number: list[list[Task]] = []
        self._changed: set[BlockNumber] = set()

    def __len__(self) -> int:
        """Return the number of blocks."""
        return len(self._tasks_by_number)

    def add(self, task: Task) -> None:
        """Assign a task that is started for the first time."""
        blocks = self._tasks_by_number
        if not blocks or len(blocks[-1]) >= TASKS_PER_BLOCK:
            blocks.append([])
        task.block = BlockNumber(len(blocks) - 1)
        blocks[-1].append(task)
        self.note_change(task)

    def restore(self, number: BlockNumber, tasks: Iterable[Task]) -> None:
        """Assign the tasks of a block that was read from the journal."""
        while len(self) <= number:
            self._tasks_by_number.append([])
        for task in tasks:
            task.block = number
            self._tasks_by_number[number].append(task)

    def note_change(self, task: Task) -> None:
        """Have the block of a task written again, if it has one."""
        if task.block is not None:
            self._changed.add(task.block)

    def take_changed(self) -> list[BlockNumber]:
        """Return the blocks changed since the last call, in order."""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed

    def numbers(self) -> list[BlockNumber]:
        """Return the numbers of all blocks."""
        return list(map(BlockNumber, range(len(self))))

    def tasks_in(self, number: BlockNumber) -> list[Task]:
        """Return the tasks of a block."""
        return self._tasks_by_number[number] if number < len(self) else []

    def tasks(self) -> Iterator[Task]:
        """Yield all started tasks."""
        return itertools.chain.from_iterable(self._tasks_by_number)
