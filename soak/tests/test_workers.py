"""Tests of the worker stand-ins: failures, capacity and tickets."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from blacksheep import JSONContent, Request
from testtools import TestCase

from soak.advice import AdviceStandIn, make_ticket
from soak.gangs import Gangs
from soak.ledger import Failing, Ledger, SentJob
from soak.store import StoreStandIn
from soak.workers import _EXPECTED_INSTANCE_HEADER, WorkerStandIn

_JOB = 'a' * 16
_RUNS = 400
_LONG_SECONDS = 100.0


class WorkerTest(TestCase):
    def start(self, step: dict[str, Any], runs: int = 1) -> None:
        """Start the tasks of a step, with little CPU each so that all fit."""
        self.ledger = Ledger()
        self.worker = WorkerStandIn(
            0,
            'w:1',
            StoreStandIn(),
            self.ledger,
            Gangs(),
            AdviceStandIn(8),
        )
        steps = [{'count': runs, 'cpu': 1, 'estimatedMs': 100, **step}]
        job = SentJob(_JOB, 'text', steps)
        self.ledger.job_by_id[_JOB] = job
        job.failing = step.get('failing', Failing.NEVER)
        if step.get('broken'):
            self.worker.break_for(1)
        for task in job.tasks:
            order = {'taskId': task, 'runId': 1, 'spec': 'text'}
            deadline = self.worker._clock_ms() + 1000
            self.worker._start({**order, 'deadlineMs': deadline})
        self.worker._lease_ends = time.monotonic() + 2 * _LONG_SECONDS

    def advance_far(self) -> list[str]:
        """Advance far in time; return the endings of runs."""
        self.worker._advance(_LONG_SECONDS, time.monotonic() + _LONG_SECONDS)
        return [ending for _, _, _, ending, _ in self.worker._ended]

    def test_a_tenth_of_long_running_runs_fails(self) -> None:
        self.start({'longRunning': True}, _RUNS)
        endings = self.advance_far()
        self.assertEqual({'failed'}, set(endings))
        self.assertAlmostEqual(0.1, len(endings) / _RUNS, delta=0.04)

    def test_other_runs_complete(self) -> None:
        self.start({}, _RUNS)
        self.assertEqual({'done'}, set(self.advance_far()))

    def test_broken_worker_fails_all_runs(self) -> None:
        self.start({'broken': True}, _RUNS)
        self.assertEqual(['failed'] * _RUNS, self.advance_far())

    def test_runs_of_an_always_failing_job_fail(self) -> None:
        self.start({'failing': Failing.ALWAYS}, _RUNS)
        self.assertEqual(['failed'] * _RUNS, self.advance_far())

    def test_run_that_will_fail_does_not_complete_before(self) -> None:
        self.start({'failing': Failing.ALWAYS}, _RUNS)
        self.worker._advance(_LONG_SECONDS, time.monotonic() - 1)
        self.assertEqual([], self.worker._ended)
        self.assertEqual(['failed'] * _RUNS, self.advance_far())

    def test_some_runs_of_an_ordinary_job_fail(self) -> None:
        self.start({'failing': Failing.SOMETIMES}, _RUNS)
        endings = self.advance_far()
        share = endings.count('failed') / _RUNS
        self.assertAlmostEqual(0.1, share, delta=0.04)
        self.assertEqual({'failed', 'done'}, set(endings))

    def test_capacity_considers_runs_copies_and_labels(self) -> None:
        self.start({'cpu': 5000, 'antiAffinity': 3}, 2)
        key = f'{_JOB}.0.0'
        step = {'cpu': 1000}
        self.assertEqual(6, self.worker.max_additional_tasks('b.0.0', step))
        self.assertEqual(6, self.worker.max_additional_tasks(key, step))
        step['antiAffinity'] = 3
        self.assertEqual(1, self.worker.max_additional_tasks(key, step))
        elsewhere = step | {'requirements': 'r-1'}
        self.assertEqual(0, self.worker.max_additional_tasks(key, elsewhere))

    def test_each_resource_counts(self) -> None:
        for kind, full_amount in (
            ('cpu', 16_000),
            ('memMb', 64_000),
            ('gpu', 4),
        ):
            with self.subTest(kind=kind):
                step = {'cpu': 0, kind: full_amount}
                self.start(step)
                self.assertEqual([], self.ledger.violations)
                additional_tasks = self.worker.max_additional_tasks(
                    'b.0.0', {kind: 1}
                )
                self.assertEqual(0, additional_tasks)
                self.start(step, 2)
                self.assertEqual(1, len(self.ledger.violations))
                self.assertIn('LIMIT', self.ledger.violations[0])

    def test_stopping_run_still_uses_capacity(self) -> None:
        self.start({'gpu': 3})
        order = {'taskId': f'{_JOB}.0.0.0', 'runId': 1}
        self.worker._stop(order)
        self.assertEqual(
            1, self.worker.max_additional_tasks('b.0.0', {'gpu': 1})
        )
        self.advance_far()
        self.assertEqual(
            4, self.worker.max_additional_tasks('b.0.0', {'gpu': 1})
        )

    def test_some_workers_have_no_accelerators(self) -> None:
        workers = [
            WorkerStandIn(
                number,
                'w:1',
                StoreStandIn(),
                Ledger(),
                Gangs(),
                AdviceStandIn(8),
            )
            for number in range(8)
        ]
        counts = [worker.capacity.accelerators for worker in workers]
        self.assertEqual([4, 4, 4, 0, 4, 4, 4, 0], counts)

    def let_lease_lapse(self) -> None:
        self.worker._lease_ends = time.monotonic() - 1

    def hold(self, last_seen: int) -> list[list[Any]]:
        """Acknowledge ends, extend the lease and return the active runs."""
        order = {
            'fencingToken': 1,
            'lastSeen': last_seen,
            'deadlineMs': self.worker._clock_ms() + 1000,
        }
        request = Request('POST', b'/hold', None)
        request.add_header(_EXPECTED_INSTANCE_HEADER, self.worker.name.encode())
        body = JSONContent(order)
        response = asyncio.run(self.worker.serve(request.with_content(body)))
        assert response.content is not None
        active: list[list[Any]] = json.loads(response.content.body)['active']
        return active

    def start_again(self) -> None:
        self.ledger.record_start(f'{_JOB}.0.0.0', 'text', 'w-2')

    def test_acknowledged_end_must_not_be_followed_by_a_start(self) -> None:
        self.start({})
        self.advance_far()
        self.hold(1)
        self.let_lease_lapse()
        self.hold(1)
        self.start_again()
        self.assertIn('TWICE', self.ledger.violations[0])

    def test_end_acknowledged_after_the_lease_lapsed_has_no_effect(
        self,
    ) -> None:
        """Guards against a false alarm after a worker was not reached.

        An owner that does not hear of an end while the lease lapses may start
        the task elsewhere. It acknowledges the end when it reaches the worker.
        """
        self.start({})
        self.advance_far()
        self.let_lease_lapse()
        self.hold(0)
        self.hold(1)
        self.start_again()
        self.assertEqual([], self.ledger.violations)

    def test_order_does_not_extend_a_lease_that_is_over(self) -> None:
        """Guards against runs that outlive their lease.

        An order that arrived while the soak's process stood still is served
        before the runs advance.
        """
        self.start({'estimatedMs': 60_000})
        self.let_lease_lapse()
        self.assertEqual([], self.hold(0))
        self.assertEqual('lapsed', self.worker._ended[0][3])

    def order(self, ticket: str) -> int:
        """Request a start with a ticket; return the status."""
        deadline = self.worker._clock_ms() + 1000
        order = {'taskId': f'{_JOB}.0.0.0', 'runId': 2, 'deadlineMs': deadline}
        return self.worker._start(
            {**order, 'spec': 'text', 'ticket': ticket}
        ).status

    def test_advised_job_needs_a_valid_ticket(self) -> None:
        self.start({})
        self.advance_far()
        self.ledger.job_by_id[_JOB].advised = True
        step_key, name = f'{_JOB}.0.0', self.worker.name
        ticket = make_ticket(step_key, name)
        expired = f'{step_key} {name} {time.monotonic() - 0.1}'
        for wrong in ('', make_ticket(step_key, 'w'), expired):
            self.assertEqual(409, self.order(wrong))
        self.assertEqual(200, self.order(ticket))

    def test_only_permitted_workers_have_capacity(self) -> None:
        self.start({})
        self.ledger.job_by_id[_JOB].advised = True
        keys = [f'{_JOB}.0.{number}' for number in range(_RUNS)]
        additional_tasks = [
            self.worker.max_additional_tasks(key, {'gpu': 4}) for key in keys
        ]
        permits = [self.worker._advice.permits(key, 0) for key in keys]
        self.assertEqual(permits, [bool(room) for room in additional_tasks])
        self.assertAlmostEqual(0.5, sum(permits) / _RUNS, delta=0.1)

    def test_start_over_max_copies_or_without_label(self) -> None:
        self.start({'antiAffinity': 1}, 2)
        self.assertIn('ROUTE', self.ledger.violations[0])
        self.start({'requirements': 'r-1'})
        self.assertIn('ROUTE', self.ledger.violations[0])
