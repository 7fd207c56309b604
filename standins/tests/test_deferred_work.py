"""Tests that work deferred in favour of other work waits for a bounded time."""

from __future__ import annotations

import msgspec
from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad, Surge
from standins.model.load import Draw
from standins.model.tenants import TenantLoad
from standins.tests.loads import LISTENERS

#: Its estimates far exceed the time for which a task may be interrupted.
_LONG = msgspec.structs.replace(
    LISTENERS,
    per_s=0.5,
    work=Draw(60),
    fails=0.5,
)
_QUICK = QueueLoad(
    name='quick',
    per_s=30,
    worth=0.4,
    priority=0,
    stretch=1.5,
    target=0.25,
    tasks=Draw(2),
    cores=Draw(4),
    megabytes=Draw(500),
    work=Draw(0.6, 0.3, 2),
)
_GANGS = QueueLoad(
    name='gangs',
    per_s=0.1,
    worth=5,
    priority=1,
    stretch=4,
    target=4,
    tasks=Draw(16),
    cores=Draw(8),
    megabytes=Draw(500),
    work=Draw(1),
    gang=1,
)
_SMALL = QueueLoad(
    name='small',
    per_s=1,
    worth=1,
    priority=1,
    stretch=4,
    target=4,
    tasks=Draw(2),
    cores=Draw(2),
    megabytes=Draw(500),
    work=Draw(1),
)


class DeferredWorkTest(TestCase):
    def test_a_long_running_task_is_not_deferred_by_its_estimate(self) -> None:
        """The estimate bounds how long a task runs, not how long it waits."""
        surges = [
            Surge('quick', at, lasts=3, times=2) for at in range(2, 40, 6)
        ]
        load = CellLoad(
            [_LONG, _QUICK],
            workers=12,
            lasts=40,
            surges=surges,
        )
        model = CellModel(load, seed=5)
        model.play()
        self.assertEqual([], model.lasting.left_waiting)

    def test_no_tenant_waits_for_a_gang_that_never_fits(self) -> None:
        """Long-running tasks use the rest of its limit, and never end."""
        tenant = TenantLoad('stores', share=1, weight=50, cores=150)
        lasting = msgspec.structs.replace(
            LISTENERS,
            name='lasting',
            per_s=0.08,
            cores=Draw(3),
            fails=0,
        )
        load = CellLoad(
            [lasting, _GANGS, _SMALL],
            workers=12,
            tenants=[tenant],
        )
        late = [
            (seed, CellModel(load, seed).play().by_queue['small'].late)
            for seed in (1, 2, 3)
        ]
        self.assertEqual([(1, 0), (2, 0), (3, 0)], late)

    def test_a_long_running_task_is_not_deferred_for_a_gang(self) -> None:
        """Workers are reserved for the gang, which never fits on the rest."""
        wide = msgspec.structs.replace(
            _LONG,
            name='wide',
            per_s=0.15,
            tasks=Draw(6),
            cores=Draw(34),
            work=Draw(6),
            fails=0,
            apart=1,
            stays=Draw(200),
        )
        small = msgspec.structs.replace(
            wide,
            name='small',
            per_s=0.2,
            tasks=Draw(4),
            cores=Draw(4),
            fails=0.5,
            apart=0,
        )
        gangs = msgspec.structs.replace(
            _GANGS,
            per_s=0.2,
            stretch=2,
            target=1,
            tasks=Draw(10),
            cores=Draw(16),
            work=Draw(3),
        )
        load = CellLoad([wide, small, gangs], workers=6, lasts=40)
        for seed in (2, 5, 8):
            model = CellModel(load, seed)
            model.play()
            self.assertEqual((seed, []), (seed, model.lasting.left_waiting))
