"""Gangs on the simulated workers: members of one run start and end together."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import NamedTuple

from orchidrail.types import RunNumber, Seconds
from orchidrail.workers.port import RunEnding, RunKey
from standins.model.worker import ModelRun, ModelWorker

#: Seconds for which a member waits for the others.
GANG_WAIT: Seconds = 3.0


class Member(NamedTuple):
    """One member's run, and the worker that runs it."""

    worker: ModelWorker
    run: ModelRun


class LoneEnd(NamedTuple):
    """A member that ended because the others did not start in time."""

    key: RunKey
    ended_at: Seconds


class _GangId(NamedTuple):
    """Identifies the members of a gang started under one run number."""

    step_key: str
    run: RunNumber

    @classmethod
    def of(cls, key: RunKey) -> _GangId:
        return cls(key.task.rpartition('.')[0], key.run)


class _Gang:
    """The members that have started, and the timer of their joint end."""

    def __init__(self) -> None:
        self.members: list[Member] = []
        self.working = False
        self.timer: asyncio.TimerHandle | None = None

    def complete(self, count: int) -> bool:
        """Whether all members have started; one may have two runs."""
        return len({member.run.key for member in self.members}) == count

    def first_to_end(self) -> Member:
        """Return the member whose own end would end the gang.

        It is the first one to fail, or else the slowest.
        """
        failing = [
            member
            for member in self.members
            if member.run.ending is RunEnding.FAILED
        ]
        if failing:
            return min(failing, key=_duration)
        return max(self.members, key=_duration)


class Gangs:
    """Makes the members of each run of a gang start and end together.

    They begin to work once all have started under one run number. A member
    that has waited `GANG_WAIT` for the others ends as alone. When a member
    ends, the others end too: as done if it is done, else as broken, also if
    it was stopped or crashed with its worker. Members notice each other's
    ends at once, even while their workers do not respond to orders.

    The model has neither checkpoints of members nor lapsed leases.

    Parameters
    ----------
    begin : callable
        Begins the work of a member.
    end : callable
        Ends a member's run.
    """

    def __init__(
        self,
        begin: Callable[[ModelWorker, ModelRun], None],
        end: Callable[[ModelWorker, RunKey, RunEnding], None],
    ) -> None:
        """Start with no gang."""
        #: Members that ended as alone.
        self.lone_ends: list[LoneEnd] = []
        self._begin = begin
        self._end = end
        self._gang_by_id: dict[_GangId, _Gang] = {}

    def join(self, member: Member, count: int) -> None:
        """Add a member, and begin the gang's work if it is complete.

        Parameters
        ----------
        count : int
            Number of members of the gang.
        """
        gang_id = _GangId.of(member.run.key)
        gang = self._gang_by_id.setdefault(gang_id, _Gang())
        gang.members.append(member)
        if gang.working:
            # A second run of a member that works already.
            self._begin(*member)
        elif gang.complete(count):
            self._begin_all(gang)
        else:
            member.run.timer = asyncio.get_running_loop().call_later(
                GANG_WAIT,
                self._end_alone,
                member,
            )

    def leave(
        self,
        key: RunKey,
        ending: RunEnding | None,
    ) -> None:
        """Remove a member whose run has ended, and end the others.

        Parameters
        ----------
        ending : RunEnding, optional
            How the run ended; None if its worker crashed.
        """
        gang = self._gang_by_id.pop(_GangId.of(key), None) or _Gang()
        if gang.timer is not None:
            gang.timer.cancel()
        done = ending is RunEnding.DONE
        shared = RunEnding.DONE if done else RunEnding.BROKEN
        # Ending the run that has left already has no effect.
        for member in gang.members:
            self._end(member.worker, member.run.key, shared)

    def _begin_all(self, gang: _Gang) -> None:
        gang.working = True
        for member in gang.members:
            member.run.cancel()
            self._begin(*member)
        first = gang.first_to_end()
        if math.isinf(first.run.duration):
            return
        gang.timer = asyncio.get_running_loop().call_later(
            first.run.duration,
            self._end,
            first.worker,
            first.run.key,
            first.run.ending,
        )

    def _end_alone(self, member: Member) -> None:
        now = asyncio.get_running_loop().time()
        self.lone_ends.append(LoneEnd(member.run.key, now))
        self._end(member.worker, member.run.key, RunEnding.ALONE)


def _duration(member: Member) -> Seconds:
    return member.run.duration
