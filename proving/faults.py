"""The table of faults: how each is brought about and ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from orchidrail.types import Seconds

if TYPE_CHECKING:
    from proving.cell import SchedulerNode, VirtualCell, WorkerNode

_LEASE: Seconds = 3


async def kill_scheduler(cell: VirtualCell) -> None:
    """Kill a scheduler; it comes back with an empty memory."""
    scheduler = _scheduler(cell)
    await scheduler.kill()
    await _wait(cell, 0.2, 6)
    scheduler.start()


async def kill_gateway(cell: VirtualCell) -> None:
    """Kill a gateway; it comes back with an empty memory."""
    gateway = cell.random.choice(list(cell.gateways.values()))
    if not gateway.node.dead:
        await gateway.kill()
        await _wait(cell, 0.2, 3)
        gateway.start()


async def pause_scheduler(cell: VirtualCell) -> None:
    """Pause a scheduler for longer than a lease."""
    node = _scheduler(cell).node
    node.pause()
    await _wait(cell, _LEASE, 2 * _LEASE)
    node.resume()


async def pause_gateway(cell: VirtualCell) -> None:
    """Pause a gateway for longer than a grant is valid."""
    node = cell.random.choice(list(cell.gateways.values())).node
    node.pause()
    await _wait(cell, 1, 4)
    node.resume()


async def pause_worker(cell: VirtualCell) -> None:
    """Pause a worker's agent for longer than a lease."""
    node = _worker(cell).node
    node.pause()
    await _wait(cell, _LEASE, 2 * _LEASE)
    node.resume()


async def restart_worker(cell: VirtualCell) -> None:
    """Restart a worker: its tasks end and its memory is lost."""
    _worker(cell).restart()
    await asyncio.sleep(0)


async def replace_worker(cell: VirtualCell) -> None:
    """Power a worker off; another one takes its place later."""
    worker = _worker(cell)
    worker.power_off()
    cell.note_listing()
    await _wait(cell, 1, 6)
    _add_replacement(cell, worker)


async def drain_worker(cell: VirtualCell) -> None:
    """Have a worker leave: listed so first, powered off when empty."""
    worker = _worker(cell)
    worker.leaving_since = cell.now()
    cell.note_listing()
    if cell.workers_know:
        # The list may be out of reach: the worker's agent refuses, too.
        await asyncio.sleep(2)
        worker.machine.leaving = True
    await _wait(cell, 4, 10)
    while worker.machine.running:
        await asyncio.sleep(0.5)
    # The last answers are still on their way.
    await asyncio.sleep(1)
    worker.power_off()
    cell.note_listing()
    _add_replacement(cell, worker)


async def cut_zones(cell: VirtualCell) -> None:
    """Cut the two zones from each other."""
    await _cut(cell, 'hall-1', 'hall-2')


async def cut_zone_from_platform(cell: VirtualCell) -> None:
    """Cut a zone from the platform."""
    zone = cell.random.choice(('hall-1', 'hall-2'))
    await _cut(cell, zone, 'platform')


async def cut_one_from_platform(cell: VirtualCell) -> None:
    """Cut one process from the platform."""
    await _cut(cell, _scheduler(cell).name, 'platform')


async def cut_schedulers(cell: VirtualCell) -> None:
    """Cut two schedulers from each other; both still reach the workers."""
    zone = cell.random.choice(('hall-1', 'hall-2'))
    await _cut(cell, f'scheduler-{zone}-0', f'scheduler-{zone}-1')


async def cut_scheduler_from_worker(cell: VirtualCell) -> None:
    """Cut one scheduler from one worker."""
    await _cut(cell, _scheduler(cell).name, _worker(cell).node.name)


async def cut_one_way(cell: VirtualCell) -> None:
    """Lose a worker's answers to a scheduler, but not its messages."""
    worker = _worker(cell).node.name
    pair = (worker, _scheduler(cell).name)
    cell.network.cuts.add(pair)
    await _wait(cell, 2, 6)
    cell.network.cuts.discard(pair)


async def log_down(cell: VirtualCell) -> None:
    """Have the platform's log refuse everything."""
    cell.log.faults.down = True
    await _wait(cell, 3, 12)
    cell.log.faults.down = False


async def log_slow(cell: VirtualCell) -> None:
    """Have the log answer slowly."""
    cell.log.faults.delay = 1.5
    await _wait(cell, 3, 8)
    cell.log.faults.delay = 0


async def lose_acknowledgements(cell: VirtualCell) -> None:
    """Have appends take effect without an answer."""
    cell.log.faults.lose_acknowledgements = cell.random.randint(1, 4)
    await _wait(cell, 1, 3)
    cell.log.faults.lose_acknowledgements = 0


async def list_down(cell: VirtualCell) -> None:
    """Have the instance list refuse everything."""
    cell.list_down = True
    await _wait(cell, 2, 6)
    cell.list_down = False


async def lose_answers(cell: VirtualCell) -> None:
    """Lose a share of all answers."""
    cell.network.answer_loss_share = 0.05
    await _wait(cell, 2, 5)
    cell.network.answer_loss_share = 0


async def duplicate_messages(cell: VirtualCell) -> None:
    """Deliver a share of all messages twice, the second time late."""
    cell.network.duplicate_share = 0.2
    await _wait(cell, 2, 5)
    cell.network.duplicate_share = 0


async def delay_messages(cell: VirtualCell) -> None:
    """Deliver a share of all messages seconds late."""
    cell.network.late_share = 0.03
    await _wait(cell, 2, 5)
    cell.network.late_share = 0


async def fail_worker(cell: VirtualCell) -> None:
    """Have a worker fail everything that it starts."""
    machine = _worker(cell).machine
    machine.behaviour.fail_everything = True
    await _wait(cell, 2, 6)
    machine.behaviour.fail_everything = False


async def race_publishers(cell: VirtualCell) -> None:
    """Have two operators publish on the same base."""
    fold = cell.fold()
    if cell.log.faults.down or not fold.version:
        return
    for weight in (2, 3):
        path = '/tenants/lafreniere/weight'
        change: list[dict[str, object]] = [
            {'op': 'replace', 'path': path, 'value': weight},
        ]
        record = cell.signed_publish(fold, change)
        cell.append_bundle(record)
    await asyncio.sleep(0)


async def stop_scheduler(cell: VirtualCell) -> None:
    """Stop a scheduler in a planned way; another start follows."""
    scheduler = _scheduler(cell)
    await scheduler.stop()
    await _wait(cell, 0.5, 2)
    scheduler.start()


#: Faults that may come at any moment.
FAULTS = (
    kill_scheduler,
    kill_gateway,
    pause_scheduler,
    pause_gateway,
    pause_worker,
    restart_worker,
    replace_worker,
    drain_worker,
    cut_zones,
    cut_zone_from_platform,
    cut_one_from_platform,
    cut_schedulers,
    cut_scheduler_from_worker,
    cut_one_way,
    log_down,
    log_slow,
    lose_acknowledgements,
    list_down,
    lose_answers,
    duplicate_messages,
    delay_messages,
    fail_worker,
    race_publishers,
    stop_scheduler,
)
#: Planned stops, which must not be felt by anybody.
PLANNED = (stop_scheduler, drain_worker)


def _scheduler(cell: VirtualCell) -> SchedulerNode:
    alive = [
        scheduler
        for scheduler in cell.schedulers.values()
        if not scheduler.node.dead and not scheduler.daemon.members.me.leaving
    ]
    return cell.random.choice(alive or list(cell.schedulers.values()))


def _worker(cell: VirtualCell) -> WorkerNode:
    alive = [
        worker
        for worker in cell.workers.values()
        if not worker.node.dead and worker.leaving_since is None
    ]
    return cell.random.choice(alive)


def _add_replacement(cell: VirtualCell, worker: WorkerNode) -> None:
    cell.replaced += 1
    name = f'w-{worker.node.zone}-r{cell.replaced}'
    cell.add_worker(name, worker.node.zone)
    cell.note_listing()


async def _cut(cell: VirtualCell, source: str, target: str) -> None:
    cell.network.cut(source, target)
    await _wait(cell, 2, 10)
    cell.network.cuts -= {(source, target), (target, source)}


async def _wait(cell: VirtualCell, least: Seconds, most: Seconds) -> None:
    await asyncio.sleep(cell.random.uniform(least, most))
