"""Tests that the judge of jobs left waiting finds what it is there for."""

from __future__ import annotations

from typing import Any

from testtools import TestCase

from orchidrail.work.size import Size
from soak.ledger import Failure, Ledger, SentJob
from soak.rooms import size_of
from soak.starvation import StarvationWatch

_JOB = 'a' * 16
#: Times of the steady clock.
_CALM_SINCE, _ACCEPTED_AT = 100.0, 110.0
_LEFT_WAITING = _ACCEPTED_AT + 3.2


class _Worker:
    """A worker with room of two kinds."""

    def __init__(self) -> None:
        """Run nothing."""
        self.capacity = Size(8000, 0, 4)
        self.used = Size()

    def rooms_for(self, step_key: str, step: dict[str, Any]) -> int:
        return size_of(step).copies_in(self.capacity - self.used)


class _Limits:
    """Limits of tenants that let this much more run."""

    def __init__(self, left: int) -> None:
        self._left = left

    def note_start(self, tenant: str, cpu: int) -> None:
        """Ignore it."""

    def note_end(self, tenant: str, cpu: int) -> None:
        """Ignore it."""

    def allows(self, tenant: str, cpu: int) -> bool:
        return cpu <= self._left


class StarvationTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = Ledger()
        self.ledger.calm_since = _CALM_SINCE
        self.workers = [_Worker(), _Worker()]
        self.watch = StarvationWatch(self.ledger, self.workers)
        self.accept({'count': 1, 'cpu': 1000})

    def accept(self, *steps: dict[str, Any]) -> None:
        """Have this job waiting, and no other."""
        self.job = SentJob(_JOB, 'text', list(steps), accepted=True)
        self.job.accepted_at = _ACCEPTED_AT
        self.ledger.job_by_id[_JOB] = self.job
        self.tasks = [self.ledger.task_by_key[key] for key in self.job.tasks]

    def look_until(self, until: float, since: float = _ACCEPTED_AT) -> None:
        """Look each tenth of a second."""
        for tenths in range(round(since * 10), round(until * 10) + 1):
            self.watch.look(tenths / 10)

    def assert_told(self, count: int) -> None:
        rules = [line.partition(' ')[0] for line in self.ledger.broken]
        self.assertEqual(['LOST'] * count, rules)

    def assert_told_once_waited(self, count: int) -> None:
        self.look_until(_LEFT_WAITING)
        self.assert_told(count)

    def test_a_job_left_waiting(self) -> None:
        self.look_until(_ACCEPTED_AT + 2.9)
        self.assert_told(0)
        self.look_until(_LEFT_WAITING, _ACCEPTED_AT + 3)
        self.assert_told(1)

    def test_a_job_that_waits_on_is_told_of_once(self) -> None:
        self.look_until(_LEFT_WAITING + 20)
        self.assert_told(1)

    def test_a_job_that_is_left_waiting_again_is_told_of_again(self) -> None:
        self.look_until(_LEFT_WAITING)
        self.tasks[0].running.add('w')
        self.watch.look(_LEFT_WAITING)
        self.tasks[0].running.clear()
        self.tasks[0].ended_at = _LEFT_WAITING
        self.look_until(_LEFT_WAITING + 3.2, _LEFT_WAITING)
        self.assert_told(2)

    def test_the_longest_time_with_room(self) -> None:
        self.workers[0].used = self.workers[1].used = Size(8000)
        self.look_until(_ACCEPTED_AT + 2)
        self.workers[0].used = self.workers[1].used = Size()
        self.look_until(_ACCEPTED_AT + 4, _ACCEPTED_AT + 2.1)
        self.assertAlmostEqual(1.9, self.watch.timer.longest)
        self.assert_told(0)

    def test_a_job_that_runs_in_part(self) -> None:
        self.accept({'count': 2, 'cpu': 1000})
        self.tasks[1].running.add('w')
        self.assert_told_once_waited(0)

    def test_a_job_that_ran_between_two_looks(self) -> None:
        self.tasks[0].ended_at = _ACCEPTED_AT + 1
        self.assert_told_once_waited(0)
        self.look_until(_LEFT_WAITING + 1, _LEFT_WAITING)
        self.assert_told(1)

    def test_a_step_whose_turn_has_come(self) -> None:
        self.accept(
            {'count': 1, 'cpu': 1000},
            {'count': 1, 'cpu': 1000, 'afterRevision': [0]},
        )
        self.ledger.ends_of(self.job.tasks[0]).done = True
        self.assert_told_once_waited(1)

    def test_a_step_whose_turn_has_not_come(self) -> None:
        self.accept(
            {'count': 1, 'cpu': 8001},
            {'count': 1, 'cpu': 1000, 'afterRevision': [0]},
        )
        self.assert_told_once_waited(0)

    def test_room_must_be_there_twice_over(self) -> None:
        self.accept({'count': 1, 'cpu': 8000})
        self.workers[0].used = Size(1)
        self.assert_told_once_waited(0)

    def test_a_gang_needs_room_for_all_of_it_twice_over(self) -> None:
        self.accept({'count': 2, 'cpu': 4000, 'gangScheduled': True})
        self.assert_told_once_waited(1)

    def test_a_gang_with_room_for_part_of_it(self) -> None:
        self.accept({'count': 2, 'cpu': 4000, 'gangScheduled': True})
        self.workers[0].used = Size(1)
        self.assert_told_once_waited(0)

    def test_each_kind_of_room_counts(self) -> None:
        self.accept({'count': 1, 'gpu': 4})
        self.workers[0].used = Size(0, 0, 1)
        self.assert_told_once_waited(0)

    def test_less_than_half_of_each_kind_must_be_in_use(self) -> None:
        for used, count in ((Size(8000), 0), (Size(0, 0, 4), 0)):
            self.workers[0].used = used
            self.assert_told_once_waited(count)
        self.workers[0].used = Size(7999, 0, 3)
        self.assert_told_once_waited(1)

    def test_a_tenant_whose_limit_is_reached(self) -> None:
        self.accept({'count': 2, 'cpu': 1000, 'gangScheduled': True})
        self.ledger.limits = _Limits(1999)
        self.assert_told_once_waited(0)
        self.ledger.limits = _Limits(2000)
        self.assert_told_once_waited(1)

    def test_a_wait_near_a_fault(self) -> None:
        self.ledger.calm_since = _ACCEPTED_AT - 3
        self.look_until(_ACCEPTED_AT + 3.9)
        self.assert_told(0)
        self.look_until(_ACCEPTED_AT + 4.2, _ACCEPTED_AT + 4)
        self.assert_told(1)
        self.ledger.calm_since = None
        self.look_until(_ACCEPTED_AT + 20)
        self.assert_told(1)

    def test_a_wait_near_a_crash(self) -> None:
        self.ledger._crashed_at = _ACCEPTED_AT - 3
        self.look_until(_ACCEPTED_AT + 3.9)
        self.assert_told(0)
        self.look_until(_ACCEPTED_AT + 4.2, _ACCEPTED_AT + 4)
        self.assert_told(1)

    def test_jobs_that_need_not_run(self) -> None:
        spent = self.ledger.ends_of(self.job.tasks[0])
        for owed in (
            {'accepted': False},
            {'cancel_sent': True},
            {'state': 'completed'},
        ):
            self.accept({'count': 1, 'cpu': 1000})
            for name, setting in owed.items():
                setattr(self.job, name, setting)
            self.assert_told_once_waited(0)
        self.accept({'count': 1, 'cpu': 1000})
        spent.failures.update(Failure(run, 'w') for run in (1, 2, 3))
        self.assert_told_once_waited(0)

    def test_a_crashing_job_that_may_be_given_up(self) -> None:
        self.job.crashing = True
        self.tasks[0].crashes = 2
        self.assert_told_once_waited(0)
        self.tasks[0].crashes = 1
        self.assert_told_once_waited(1)
