"""Runs of gangs, whose members on several workers end together."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum
from typing import Self


class GangState(Enum):
    """State of a gang run; a single task is a gang of one."""

    GATHERING = 'gathering'
    WORKING = 'working'
    DONE = 'done'
    BROKEN = 'broken'


class GangRun:
    """One run of a gang, as observed by its workers."""

    def __init__(self) -> None:
        """Start without members."""
        self.state = GangState.GATHERING
        self._present: set[str] = set()

    @classmethod
    def of_one(cls) -> Self:
        """Return the run of a single task, which waits for no members."""
        run = cls()
        run.state = GangState.WORKING
        return run

    def join(self, task: str, members: int) -> None:
        """Record that a member started, out of `members` in total."""
        self._present.add(task)
        if self.state is GangState.GATHERING and len(self._present) == members:
            self.state = GangState.WORKING

    def leave(self, ending: str) -> None:
        """Record that a member ended; one `done` completes the gang."""
        if self.state is not GangState.DONE:
            done = ending == 'done'
            self.state = GangState.DONE if done else GangState.BROKEN


class Gangs:
    """All gang runs by step key and run number."""

    def __init__(self) -> None:
        """Start without runs."""
        self._run_by_key: defaultdict[tuple[str, int], GangRun] = defaultdict(
            GangRun
        )

    def join(self, task: str, run: int, members: int) -> GangRun:
        """Add a task to the run of its gang; return that run."""
        gang = self._run_by_key[task.rpartition('.')[0], run]
        gang.join(task, members)
        return gang
