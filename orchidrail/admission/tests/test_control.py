"""Tests of admission control: who is refused, when, and what it costs."""

from __future__ import annotations

import time

import msgspec
import structlog
from testtools import TestCase

from orchidrail.admission import decode_digest
from orchidrail.admission.digest import find_gate
from orchidrail.admission.tests.cell import CellView
from orchidrail.admission.tests.test_forecast import make_queue, make_spec
from orchidrail.types import Epoch, JobId, QueueName, TenantId, WorkCode
from orchidrail.work.model import QueueSettings
from orchidrail.work.size import Size
from orchidrail.work.tenant import Tenant

#: Of use until 3 x (2 x 1 + 1) = 9 s, so a task of 1 s may start after 8 s.
_URGENT = make_queue(priority=0)
_TASK = make_spec(1)
_WIDE = make_spec(60, gang=True)
_EPOCH = Epoch(1)


def _named(queue: QueueSettings, name: str) -> QueueSettings:
    return msgspec.structs.replace(queue, name=QueueName(name))


def _overload(cell: CellView, seconds: int = 40) -> None:
    """Let urgent work wait that takes the whole cell so many seconds."""
    cell.fill_workers(_URGENT, make_spec(1, cores=10))
    cell.queue_up(_URGENT, make_spec(10), 10 * seconds)


class NoPressureTest(TestCase):
    def test_with_room_every_job_is_accepted_as_before(self) -> None:
        """Whatever is known of durations and errors of earlier forecasts."""
        cell = CellView()
        for number in range(100):
            cell.durations.note(_URGENT.name, 50, 1)
            cell.accuracy.expect(JobId(f'{number}'), _URGENT.name, 0, cell.now)
            cell.accuracy.note_start(JobId(f'{number}'), cell.now + 60)
        for number in range(1000):
            cell.now += 1
            for spec in (_TASK, _WIDE, make_spec(5000)):
                found = cell.find(f'job-{number}', _URGENT, spec)
                self.assertIsNone(found)
        self.assertEqual(b'', cell.control.digest(_EPOCH))

    def test_jobs_beyond_all_room_at_once_are_accepted(self) -> None:
        """A burst between two snapshots: releases are not known."""
        cell = CellView()
        for number in range(500):
            self.assertIsNone(cell.find(f'job-{number}', _URGENT, _TASK))


class OverloadTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cell = CellView()
        for _ in range(50):
            self.cell.durations.note(_URGENT.name, 1, 1)

    def test_what_certainly_starts_too_late_is_refused_at_once(self) -> None:
        _overload(self.cell)
        found = self.cell.find('job', _URGENT, _TASK)
        assert found is not None
        self.assertIs(WorkCode.REJECTED, found.code)
        self.assertEqual(int(found.retry_after), found.retry_after)
        self.assertTrue(1 <= found.retry_after <= 8, found)

    def test_what_may_be_of_use_is_accepted(self) -> None:
        _overload(self.cell, seconds=6)
        self.assertIsNone(self.cell.find('job', _URGENT, _TASK))

    def test_jobs_accepted_since_the_snapshot_count(self) -> None:
        """All callers at once: only as many are accepted as can be served.

        In some ten seconds the cell serves a thousand of these tasks.
        """
        self.cell.fill_workers(_URGENT, make_spec(1, cores=10))
        self.cell.queue_up(_URGENT, make_spec(10))
        accepted = sum(
            self.cell.find(f'job-{number}', _URGENT, make_spec(10)) is None
            for number in range(500)
        )
        self.assertTrue(60 <= accepted <= 130, accepted)

    def test_small_jobs_are_not_refused_because_large_ones_wait(self) -> None:
        queue = make_queue(stretch=1, target=0.5)
        self.cell.fill_workers(queue, make_spec(1, cores=10))
        self.cell.queue_up(queue, make_spec(60, gang=True, estimate=0.9), 40)
        self.assertIsNotNone(self.cell.find('wide', queue, _WIDE))
        self.assertIsNone(self.cell.find('small', queue, _TASK))

    def test_one_kind_is_not_refused_because_another_bursts(self) -> None:
        """Urgent work goes first, so other work waiting does not matter."""
        other = _named(make_queue(priority=2), 'other')
        self.cell.fill_workers(other, make_spec(1, cores=10))
        self.cell.queue_up(other, make_spec(10), 500)
        self.assertIsNone(self.cell.find('urgent', _URGENT, _TASK))

    def test_it_accepts_again_once_the_load_has_gone(self) -> None:
        _overload(self.cell)
        self.assertIsNotNone(self.cell.find('one', _URGENT, _TASK))
        self.cell.empty_workers()
        self.cell.now += 0.3
        self.assertIsNone(self.cell.find('two', _URGENT, _TASK))

    def test_a_caller_that_returns_is_judged_by_its_first_send(self) -> None:
        _overload(self.cell, seconds=12)
        self.assertIsNotNone(self.cell.find('early', _URGENT, _TASK))
        self.cell.now += 5
        self.cell.waiting = []
        self.cell.queue_up(_URGENT, make_spec(10), 60)
        self.assertIsNotNone(self.cell.find('early', _URGENT, _TASK))

    def test_closed_workers_do_not_count_as_room(self) -> None:
        """A zone that is evacuated or silent."""
        _overload(self.cell, seconds=6)
        for worker in self.cell.workers[3:]:
            worker.accepting = False
        self.assertIsNotNone(self.cell.find('job', _URGENT, _TASK))

    def test_scheduled_and_lasting_jobs_are_accepted(self) -> None:
        _overload(self.cell)
        scheduled = msgspec.structs.replace(_TASK, repeats=2, interval=5)
        self.assertIsNone(self.cell.find('a', _URGENT, scheduled))
        step = msgspec.structs.replace(_TASK.steps[0], lasting=True)
        lasting = msgspec.structs.replace(_TASK, steps=(step,))
        self.assertIsNone(self.cell.find('b', _URGENT, lasting))

    def test_callers_that_return_together_are_spread(self) -> None:
        _overload(self.cell)
        times = []
        for number in range(200):
            found = self.cell.find(f'{number:016x}', _URGENT, _TASK)
            times.append(0 if found is None else found.retry_after)
        returning = [seconds for seconds in times if seconds]
        self.assertEqual(200, len(returning))
        self.assertGreater(len(set(returning)), 1)

    def test_refusals_are_logged_once_a_second_by_tenant(self) -> None:
        _overload(self.cell)
        tenant = Tenant(TenantId('stores'))
        with structlog.testing.capture_logs() as lines:
            for number in range(100):
                self.cell.find(f'job-{number}', _URGENT, _TASK, tenant)
            self.cell.now += 1.1
            self.cell.find('last', _URGENT, _TASK, tenant)
        self.assertEqual([1, 100], [line['count'] for line in lines])
        self.assertEqual('job refused by forecast', lines[0]['event'])


class CorrectionTest(TestCase):
    def test_late_starts_before_do_not_refuse_where_little_waits(self) -> None:
        """Half a second of work waits, and earlier jobs were 5 s late.

        On a busy owner those errors outlived their cause by seconds, in which
        some hundred jobs were refused that would have started at once.
        """
        cell = CellView()
        for number in range(100):
            cell.accuracy.expect(JobId(f'{number}'), _URGENT.name, 0, cell.now)
            cell.accuracy.note_start(JobId(f'{number}'), cell.now + 5)
        cell.now += 5
        queue = make_queue(priority=0, stretch=1, target=0.3)
        cell.fill_workers(queue, make_spec(1, cores=10))
        cell.queue_up(queue, make_spec(10, estimate=0.5), 1)
        for number in range(20):
            self.assertIsNone(cell.find(f'job-{number}', queue, _TASK))


class JournalTest(TestCase):
    def test_an_outage_drops_the_forecasts_made_before(self) -> None:
        cell = CellView()
        self.assertIsNone(cell.find('job', _URGENT, _TASK))
        cell.unconfirmed = 1
        self.assertIsNone(cell.find('other', _URGENT, _TASK, patience=2.9))
        self.assertIsNone(cell.accuracy.note_start(JobId('job'), 102))

    def test_a_short_outage_holds_the_caller(self) -> None:
        cell = CellView()
        for seconds in (0.5, 1, 2):
            cell.unconfirmed = seconds
            self.assertIsNone(cell.find('job', _URGENT, _TASK, patience=2.9))

    def test_a_long_one_refuses_at_once(self) -> None:
        cell = CellView()
        cell.unconfirmed = 4
        found = cell.find('job', _URGENT, _TASK, patience=2.9)
        assert found is not None
        self.assertEqual(4, found.retry_after)


class ShareTest(TestCase):
    def test_work_over_its_share_is_refused_as_before(self) -> None:
        cell = CellView()
        cell.over_share_for = 3.5
        tenant = Tenant(TenantId('stores'))
        self.assertIsNone(cell.find('a', _URGENT, _TASK, tenant))
        for worker in cell.workers:
            worker.free = Size(1000, 1000)
        found = cell.find('b', _URGENT, _TASK, tenant)
        assert found is not None
        self.assertEqual((WorkCode.OVER_SHARE, 3.5), found)

    def test_work_above_its_limit_is_refused_as_before(self) -> None:
        tenant = Tenant(TenantId('stores'), 1, Size(500, 0))
        found = CellView().find('a', _URGENT, _TASK, tenant)
        assert found is not None
        self.assertIs(WorkCode.NEVER_FITS, found.code)


class DigestTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cell = CellView()
        self.cell.find('known', _URGENT, _TASK)
        _overload(self.cell)
        self.cell.now += 1.1

    def published(self) -> bytes:
        return self.cell.control.digest(_EPOCH)

    def test_it_refuses_what_the_owner_refuses(self) -> None:
        self.assertEqual(b'', self.published())
        self.assertIsNotNone(self.cell.find('job', _URGENT, _TASK))
        self.cell.now += 0.2
        digest = decode_digest(self.published())
        assert digest is not None
        for job, refused in (('other', True), ('known', False)):
            gate = find_gate(digest, JobId(job), _URGENT, _TASK)
            self.assertIs(refused, gate is not None)

    def test_known_jobs_are_never_older_than_the_call(self) -> None:
        self.cell.find('job', _URGENT, _TASK)
        self.cell.now += 0.2
        self.published()
        queue = _named(make_queue(priority=0, target=90), 'patient')
        self.assertIsNone(self.cell.find('late', queue, _TASK))
        digest = decode_digest(self.published())
        assert digest is not None
        self.assertIsNone(find_gate(digest, JobId('late'), _URGENT, _TASK))

    def test_jobs_of_the_previous_owner_are_known(self) -> None:
        self.cell.control.note_known(JobId('restored'))
        self.cell.find('job', _URGENT, _TASK)
        self.cell.now += 0.2
        digest = decode_digest(self.published())
        assert digest is not None
        self.assertIsNone(find_gate(digest, JobId('restored'), _URGENT, _TASK))


class CostTest(TestCase):
    def test_walks_do_not_grow_with_the_requests(self) -> None:
        cell = CellView()
        _overload(cell, seconds=5)
        cell.walks = 0
        for number in range(300):
            cell.now += 0.001
            cell.find(f'job-{number}', _URGENT, _TASK)
        self.assertLessEqual(cell.walks, 2)

    def test_a_request_costs_the_same_whatever_waits(self) -> None:
        """A thousand waiting steps against ten thousand."""

        def cost(steps: int) -> float:
            cell = CellView()
            cell.fill_workers(_URGENT, make_spec(1, cores=10))
            cell.queue_up(_URGENT, _TASK, steps)
            cell.find('first', _URGENT, _TASK)
            took = []
            for number in range(100):
                began = time.process_time()
                cell.find(f'job-{number}', _URGENT, _TASK)
                took.append(time.process_time() - began)
            return sorted(took)[50]

        self.assertLess(cost(10_000), 3 * cost(1_000) + 0.0005)
