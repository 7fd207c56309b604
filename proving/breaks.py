"""One mechanism at a time switched off, to show that its check can fail.

These hooks patch classes from outside; no setting reaches them.
"""

from __future__ import annotations

import asyncio
import itertools
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any
from unittest import mock

from result import Ok

from orchidrail.gateway import request_runner
from orchidrail.gateway.request_runner import RequestRunner
from orchidrail.gateway.verdicts import (
    VERDICT_BY_POINT,
    FailurePoint,
    Reply,
)
from orchidrail.leasing.ledger import Ledger
from orchidrail.logstream.follower import Follower
from orchidrail.logstream.group_commit import GroupCommit
from orchidrail.resources import Resources
from orchidrail.scheduler import request_desk
from orchidrail.scheduler.boot_book import BootBook
from orchidrail.scheduler.daemon import BUNDLE_STREAM, SchedulerDaemon
from orchidrail.scheduler.fleet_list import FleetList
from orchidrail.scheduler.gossiper import Gossiper
from orchidrail.types import Offset, TaskId, Verdict
from orchidrail.wire.messages import TaskReport
from proving.virtual import Network

if TYPE_CHECKING:
    from collections.abc import Callable

_LOST_EVERY = 20
_NO_POLL = 60
_NEVER = 1e9
_POLL = 0.5


def _reserve_without_room(
    self: Ledger,
    task: TaskId,
    size: Resources,
) -> bool:
    self.adopt(task, size)
    return True


def _check_nothing(
    self: RequestRunner,
    answer: Any,
    failure: Any,
    task: TaskId,
) -> Any:
    return (
        answer if isinstance(answer, TaskReport) else FailurePoint.ANSWER_LOST
    )


async def _commit_nothing(
    self: GroupCommit, record: str, patience: float
) -> Any:
    await asyncio.sleep(0)
    return Ok(Offset(0))


async def _hand_over_nothing(self: SchedulerDaemon, patience: float) -> None:
    await asyncio.sleep(0)


def _break_capacity(stack: ExitStack) -> None:
    stack.enter_context(
        mock.patch.object(Ledger, 'reserve', _reserve_without_room),
    )
    stack.enter_context(
        mock.patch(
            'orchidrail.deciding.shard.Place.has_room',
            lambda self, size, headroom=None: True,
        ),
    )


def _break_proof_of_loss(stack: ExitStack) -> None:
    """Take every 20th task that is asked about for lost."""
    calls = itertools.count()
    stack.enter_context(
        mock.patch.object(
            BootBook,
            'is_lost',
            lambda *_: next(calls) % _LOST_EVERY == 0,
        ),
    )


def _break_matching(stack: ExitStack) -> None:
    stack.enter_context(
        mock.patch.object(RequestRunner, '_check', _check_nothing),
    )
    crossing = Network.__init__

    def crossed(self: Network, random: Any) -> None:
        crossing(self, random)
        self.cross_answers = True

    stack.enter_context(mock.patch.object(Network, '__init__', crossed))


def _break_verdicts(stack: ExitStack) -> None:
    table = dict.fromkeys(VERDICT_BY_POINT, Verdict.NOT_RUN)
    stack.enter_context(
        mock.patch.object(request_runner, 'VERDICT_BY_POINT', table),
    )
    refused = Reply(Verdict.NOT_RUN)
    stack.enter_context(
        mock.patch.object(request_runner, '_unknowable', lambda _: refused),
    )


def _break_claims(stack: ExitStack) -> None:
    stack.enter_context(
        mock.patch.object(request_desk, '_is_new', lambda *_: True),
    )


def _break_leaving(stack: ExitStack) -> None:
    stack.enter_context(
        mock.patch.object(FleetList, 'is_leaving', lambda *_: False),
    )


def _break_hand_over(stack: ExitStack) -> None:
    """Stop without handing over, and don't wait for another holder."""
    stack.enter_context(
        mock.patch.object(request_runner, '_HOLDER_PAUSE', _NEVER),
    )
    stack.enter_context(
        mock.patch.object(SchedulerDaemon, 'hand_over', _hand_over_nothing),
    )


async def _poll_seldom(self: Follower) -> None:
    bundle = self.next > 0 and self.stream == BUNDLE_STREAM
    await asyncio.sleep(_NO_POLL if bundle else _POLL)


async def _catch_nothing(_: Any) -> None:
    await asyncio.sleep(0)


def _break_versions(stack: ExitStack) -> None:
    stack.enter_context(
        mock.patch.object(Follower, '_wait_for_next_poll', _poll_seldom),
    )
    stack.enter_context(
        mock.patch.object(Gossiper, '_catch_up', _catch_nothing),
    )


def _break_commit(stack: ExitStack) -> None:
    stack.enter_context(
        mock.patch.object(GroupCommit, 'commit', _commit_nothing),
    )


#: The mechanism behind each promise, switched off.
BREAKS: dict[str, Callable[[ExitStack], None]] = {
    'P1': _break_capacity,
    'P2': _break_proof_of_loss,
    'P3': _break_matching,
    'P4': _break_verdicts,
    'P5': _break_claims,
    'P6': _break_leaving,
    'P7': _break_hand_over,
    'P8': _break_versions,
    'P9': _break_commit,
}
