"""Tests of the decision engine."""

from __future__ import annotations

from random import Random

import testtools

from orchidrail.bundles.model import (
    Bundle,
    PackingPolicy,
    Quota,
    Tenant,
    WorkClass,
    WorkKind,
    Zone,
)
from orchidrail.deciding.engine import (
    Declined,
    Engine,
    Placed,
    Queued,
    WorkItem,
)
from orchidrail.deciding.shard import Place
from orchidrail.leasing.ledger import Ledger, Proof
from orchidrail.resources import Resources
from orchidrail.types import (
    ClassName,
    RefusalCode,
    TaskId,
    TenantId,
    WorkerId,
    ZoneId,
)

_ZONE = ZoneId('z')
_SHAPE = Resources(8, 8, 0, slots=2, connections=8)
_REQUEST, _BATCH, _GANG, _URGENT = map(
    ClassName,
    ('request', 'batch', 'gang', 'urgent'),
)
_TEAM, _OTHER = TenantId('team'), TenantId('other')
_ONE = Resources(1, 1, 0, slots=1, connections=1)


def _bundle() -> Bundle:
    packing = PackingPolicy()
    return Bundle(
        tenants={_TEAM: Tenant(quota=Quota(cores=12)), _OTHER: Tenant()},
        classes={
            _REQUEST: WorkClass(kind=WorkKind.REQUEST, priority=50),
            _BATCH: WorkClass(
                kind=WorkKind.BATCH,
                policy=packing,
                preemptible=True,
            ),
            _GANG: WorkClass(kind=WorkKind.GANG, policy=packing),
            _URGENT: WorkClass(
                kind=WorkKind.BATCH,
                policy=packing,
                priority=90,
                urgent=True,
            ),
        },
        zones={_ZONE: Zone(headroom=Resources(cores=2))},
    )


def _item(
    key: str,
    class_name: ClassName = _BATCH,
    cores: float = 2,
    tenant: TenantId = _OTHER,
    deadline: float = 1e9,
    gang: int = 1,
) -> WorkItem:
    size = _ONE if class_name == _REQUEST else Resources(cores, 1)
    return WorkItem(
        TaskId(key),
        tenant,
        class_name,
        size,
        deadline=deadline,
        gang=gang,
    )


class EngineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = Engine(Random(1))
        self.engine.use_bundle(_bundle(), _ZONE)
        for number in range(3):
            worker = WorkerId(f'w-{number}')
            self.engine.add_place(Place(worker, 'r', Ledger(_SHAPE)))

    def fill(self, class_name: ClassName = _BATCH) -> list[Placed]:
        """Offer items until one is queued; return those placed."""
        placed = []
        for number in range(100):
            item = _item(f'{class_name}-{number}', class_name)
            decision = self.engine.offer(item, 0)
            if not isinstance(decision, Placed):
                self.engine.cancel(item)
                return placed
            placed.append(decision)
        raise AssertionError('100 items were placed; expected full workers')

    def test_batch_work_leaves_headroom_for_requests(self) -> None:
        self.fill()
        for place in self.engine.shard.place_by_worker.values():
            self.assertEqual(2, place.ledger.free.cores)
        answer = self.engine.offer(_item('r', _REQUEST), 0)
        self.assertIsInstance(answer, Placed)

    def test_items_that_never_fit_are_declined_at_once(self) -> None:
        cases = (
            (_item('a', cores=7), RefusalCode.NEVER_FITS),
            (_item('b', cores=4, gang=4), RefusalCode.NEVER_FITS),
            (_item('c', cores=13, tenant=_TEAM), RefusalCode.NEVER_FITS),
            (_item('d', ClassName('unknown')), RefusalCode.INVALID),
        )
        shapes = [_SHAPE for _ in range(3)]
        self.engine.set_zone_shapes(shapes)
        for item, code in cases:
            declined = self.engine.offer(item, 0)
            self.assertIsInstance(declined, Declined, item.key)
            self.assertIs(code, declined.code)

    def test_items_beyond_the_quota_stay_queued(self) -> None:
        for number in range(3):
            item = _item(f'a{number}', cores=4, tenant=_TEAM)
            self.assertIsInstance(self.engine.offer(item, 0), Placed)
        more = _item('more', cores=1, tenant=_TEAM)
        self.assertIsInstance(self.engine.offer(more, 0), Queued)
        self.assertEqual([], self.engine.pump(1))

    def test_expired_items_behind_others_are_returned(self) -> None:
        self.fill(_REQUEST)
        self.engine.offer(_item('long', _REQUEST, deadline=90), 0)
        self.engine.offer(_item('short', _REQUEST, deadline=1), 0)
        late = self.engine.expired(now=2)
        self.assertEqual(['short'], [item.key for item in late])
        self.assertEqual(1, len(self.engine.queue))

    def test_urgent_item_gets_the_preempted_capacity(self) -> None:
        self.fill()
        for number in range(5):
            self.engine.offer(_item(f'wait{number}'), 0)
        urgent = _item('urgent', _URGENT, cores=6)
        self.assertIsInstance(self.engine.offer(urgent, 0), Queued)
        plan = self.engine.preempt_for(0)
        self.assertIsNone(self.engine.preempt_for(0))
        for victim in plan.victims:
            self.engine.give_back(victim.worker, victim.task, Proof.ENDED)
            self.engine.pump(0.1)
        place = self.engine.shard.place_by_worker[plan.worker]
        self.assertIn(urgent.key, place.ledger)

    def test_a_gang_is_placed_all_or_nothing(self) -> None:
        self.engine.offer(_item('a', cores=4), 0)
        gang = _item('g', _GANG, cores=6, gang=3)
        self.assertIsInstance(self.engine.offer(gang, 0), Queued)
        free = [
            place.ledger.free.cores
            for place in self.engine.shard.place_by_worker.values()
        ]
        self.assertEqual([4, 8, 8], sorted(free))

    def test_a_gang_is_not_starved_by_small_tasks(self) -> None:
        placed = self.fill()
        gang = _item('g', _GANG, cores=6, gang=2)
        self.engine.offer(gang, 0)
        now = 10.0
        self.engine.earmark_for(now)
        for number, one in enumerate(placed):
            self.engine.offer(_item(f'small{number}'), now)
            worker = one.place.worker
            self.engine.note_end(worker, one.item.key, ok=True, now=now)
            started = self.engine.pump(now)
            if any(found.item is gang for found in started):
                return
        self.fail('the gang was starved')

    def test_reservation_ends_when_its_item_is_declined(self) -> None:
        placed = self.fill()
        gang = _item('g', _GANG, cores=6, gang=3)
        self.engine.offer(gang, 0)
        self.engine.earmark_for(10)
        self.engine.decline_all()
        for one in placed:
            worker = one.place.worker
            self.engine.note_end(worker, one.item.key, ok=True, now=10)
        self.assertEqual(len(placed), len(self.fill()))

    def test_avoided_workers_are_used_after_a_delay(self) -> None:
        item = _item('a')
        item.avoid = frozenset(self.engine.shard.place_by_worker)
        self.assertIsInstance(self.engine.offer(item, 0), Queued)
        self.assertEqual([], self.engine.pump(1))
        self.assertEqual([item], [one.item for one in self.engine.pump(10)])

    def test_cancelling_many_items_empties_the_queue(self) -> None:
        self.fill()
        items = [_item(f'c{number}') for number in range(10_000)]
        for item in items:
            self.engine.offer(item, 0)
        for item in items:
            self.assertTrue(self.engine.cancel(item))
        self.assertEqual(0, len(self.engine.queue))
        self.assertEqual([], self.engine.pump(1))

    def test_requests_are_redirected_without_workers(self) -> None:
        for number in range(3):
            self.engine.remove_place(WorkerId(f'w-{number}'))
        self.engine.accepting = False
        declined = self.engine.offer(_item('r', _REQUEST), 0)
        self.assertIs(RefusalCode.NOT_HOLDER, declined.code)
