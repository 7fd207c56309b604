"""Properties of the ledger and the queue under any order of calls."""

from __future__ import annotations

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle as Values,
)
from hypothesis.stateful import (
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    rule,
)

from orchidrail.bundles.model import Bundle, Tenant, WorkClass, WorkKind
from orchidrail.deciding.engine import Engine, Placed, WorkItem, member_key
from orchidrail.deciding.shard import Place
from orchidrail.leasing.ledger import Ledger
from orchidrail.resources import NOTHING, Resources
from orchidrail.types import ClassName, TaskId, TenantId, WorkerId, ZoneId

_SHAPE = Resources(8, 8, 1, slots=3, connections=4)
_CLASSES = {
    ClassName('request'): WorkClass(kind=WorkKind.REQUEST, priority=9),
    ClassName('batch'): WorkClass(kind=WorkKind.BATCH, preemptible=True),
    ClassName('gang'): WorkClass(kind=WorkKind.GANG),
}
_TENANTS = {TenantId(name): Tenant() for name in ('a', 'b')}


class EngineMachine(RuleBasedStateMachine):
    """Offers, ends, cancellations, lost workers: never overcommits capacity."""

    running = Values('running')
    waiting = Values('waiting')

    @initialize(workers=st.integers(1, 4))
    def start(self, workers: int) -> None:
        self.engine = Engine(Random(1))
        bundle = Bundle(tenants=_TENANTS, classes=_CLASSES)
        self.engine.use_bundle(bundle, ZoneId('z'))
        for number in range(workers):
            self.add_worker(number)
        self.number = 0
        self.now: float = 0
        self.placed: dict[TaskId, tuple[WorkerId, Resources]] = {}

    def add_worker(self, number: int) -> None:
        place = Place(WorkerId(f'w-{number}'), 'r', Ledger(_SHAPE))
        self.engine.add_place(place)

    @rule(
        target=waiting,
        class_name=st.sampled_from(sorted(_CLASSES)),
        tenant=st.sampled_from(sorted(_TENANTS)),
        cores=st.integers(0, 5),
        gang=st.integers(1, 3),
        timeout=st.sampled_from((0.5, 1e9)),
    )
    def offer(
        self,
        class_name: ClassName,
        tenant: TenantId,
        cores: int,
        gang: int,
        timeout: float,
    ) -> WorkItem:
        self.number += 1
        request = class_name == 'request'
        item = WorkItem(
            TaskId(f't{self.number}'),
            tenant,
            class_name,
            Resources(cores, 1, 0, slots=int(request)),
            queued_at=self.now,
            deadline=self.now + timeout,
            gang=gang if class_name == 'gang' else 1,
        )
        decision = self.engine.offer(item, self.now)
        if isinstance(decision, Placed):
            self.note(decision)
        return item

    @rule(item=consumes(waiting))
    def end_or_cancel(self, item: WorkItem) -> None:
        self.engine.cancel(item)
        for index in range(item.gang):
            task = member_key(item, index)
            if task in self.placed:
                worker, _ = self.placed.pop(task)
                self.engine.note_end(worker, task, ok=True, now=self.now)

    @rule(seconds=st.floats(0.01, 5))
    def pump(self, seconds: float) -> None:
        self.now += seconds
        expired_keys = {item.key for item in self.engine.expired(self.now)}
        self.engine.earmark_for(self.now)
        for placed in self.engine.pump(self.now):
            assert placed.item.key not in expired_keys
            self.note(placed)

    @rule(number=st.integers(0, 3))
    def lose_and_regain_worker(self, number: int) -> None:
        worker = WorkerId(f'w-{number}')
        if worker not in self.engine.shard.place_by_worker:
            return
        self.engine.remove_place(worker)
        self.placed = {
            task: where
            for task, where in self.placed.items()
            if where[0] != worker
        }
        self.add_worker(number)

    def note(self, placed: Placed) -> None:
        for index, place in enumerate(placed.places):
            task = member_key(placed.item, index)
            assert task not in self.placed
            self.placed[task] = (place.worker, placed.item.size)

    @invariant()
    def free_capacity_matches_placed_tasks(self) -> None:
        used: dict[WorkerId, Resources] = {}
        for worker, size in getattr(self, 'placed', {}).values():
            used[worker] = used.get(worker, NOTHING) + size
        for worker, place in self.engine.shard.place_by_worker.items():
            taken = used.get(worker, NOTHING)
            assert taken.fits(_SHAPE)
            assert place.ledger.free == _SHAPE - taken


EngineMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
EngineTest = EngineMachine.TestCase
