"""Duration of a placement pass of the shard owner, by cell size.

As on the users' cells, workers are nearly full, 1,000 tasks wait in steps of
20, a quarter of the workers is permitted for each step, and some runs end
before each pass. Orders to workers and the journal are left out.
"""

from __future__ import annotations

import gc
import statistics
import time
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import fire
import msgspec

from orchidrail.metrics import InstanceMetrics
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.placer import Placer
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import Epoch, JobId, RunNumber, Seconds, WorkerId
from orchidrail.work.job import Job
from orchidrail.work.model import AdviceCost, JobSpec, StepSpec
from orchidrail.work.records import JobRecord, TaskPhase
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.workers.port import RunKey
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession
from orchidrail.workers.tests.fakes import FakeWorker, make_entry
from standins.model.load import Draw, QueueLoad

_QUEUE = QueueLoad(
    name='wide', per_s=1, worth=1, priority=1, stretch=2, target=1,
    tasks=Draw(20), cores=Draw(18), megabytes=Draw(1), work=Draw(6),
    advice=(0.6, 0.0086, 1e6),
)  # fmt: skip
_WAITING_TASKS = 1000
_STEP_TASKS = 20
_PERMITTED_SHARE = 0.25
#: Runs that end before each pass.
_ENDS_PER_PASS = 6
_MEASURED_PASSES = 300
_CORES = 64
_PERCENT = 100


class _FakeRunTracker:
    """Allocates capacity as the run tracker does, but sends no orders."""

    def __init__(self, state: ShardState) -> None:
        self.placed: list[tuple[TrackedWorker, RunKey]] = []
        self._state = state

    def launch(self, step: StepState, chosen: list[Any]) -> None:
        for task, tracked in chosen:
            key = RunKey(task.key, RunNumber(1))
            run = PlacedRun(key, step.spec.charged, task, 0, confirmed_at=0)
            tracked.allocate(run, step.key)
            task.phase = TaskPhase.PLACED
            self.placed.append((tracked, key))
        self._state.changed_jobs.add(step.job.job_id)


class _Cell:
    def __init__(self, workers: int, random: Random) -> None:
        self.random = random
        writer = SimpleNamespace(
            owner=SimpleNamespace(epoch=Epoch(1)),
            time_since_confirmed=lambda: 0,
        )
        self.state = ShardState(
            cast('Any', writer), time.monotonic, time.time, InstanceMetrics()
        )
        self.runs = _FakeRunTracker(self.state)
        self.placer = Placer(
            self.state,
            cast('Any', self.runs),
            AdviceDispatcher(cast('Any', None), time.monotonic),
        )
        for number in range(workers):
            self._add_worker(f'w-{number}')
        self.jobs = 0

    def _add_worker(self, name: str) -> None:
        session = WorkerSession(
            make_entry(name, _CORES), FakeWorker(), Epoch(1), RunLease(6, 0),
            cast('Any', None), time.monotonic, lambda: True,
        )  # fmt: skip
        session.reachable = True
        self.state.tracked_by_worker[session.worker] = TrackedWorker(session)

    def add_job(self) -> None:
        """Add a job whose step has advice for all workers."""
        self.jobs += 1
        cores = self.random.randint(10, 26)
        step = StepSpec(_STEP_TASKS, Size(cores * 1000, 1), estimate=6)
        queue = _QUEUE.settings
        if self.jobs % 8 == 0:
            queue = msgspec.structs.replace(
                queue,
                priority=0,
                advice=AdviceCost(0.016, 0.0002, 1e6),
            )
        record = JobRecord(queue, JobSpec('', (step,)), time.time())
        job = Job(JobId(f'{self.jobs:016x}'), record)
        waiting = next(job.open_steps(0))
        all_workers = list(self.state.tracked_by_worker)
        permitted = self.random.sample(
            all_workers, max(1, int(_PERMITTED_SHARE * len(all_workers)))
        )
        tickets = {WorkerId(worker): 't' for worker in permitted}
        waiting.permits.record_advice(
            all_workers, tickets, time.monotonic() + 1e6
        )
        self.state.job_by_id[job.job_id] = job
        self.state.changed_jobs.add(job.job_id)

    def end_runs(self) -> None:
        """End some randomly chosen runs."""
        for _ in range(min(_ENDS_PER_PASS, len(self.runs.placed))):
            index = self.random.randrange(len(self.runs.placed))
            tracked, key = self.runs.placed.pop(index)
            run = tracked.release(key)
            assert run is not None
            assert run.task is not None
            run.task.phase = TaskPhase.DONE
            job = run.task.step.job
            self.state.changed_jobs.add(job.job_id)
            if run.task.step.done:
                self.state.job_by_id.pop(job.job_id)


def measure(workers: int) -> dict[str, float]:
    """Return pass durations and the mean time per task placed."""
    cell = _Cell(workers, Random(1))
    while True:
        while cell.placer.waiting_tasks() < _WAITING_TASKS:
            cell.add_job()
            cell.placer._refresh_waiting()
        before = len(cell.runs.placed)
        cell.placer.place_all()
        if len(cell.runs.placed) == before:
            break
    passes: list[Seconds] = []
    placed = 0
    gc.collect()
    for _ in range(_MEASURED_PASSES):
        cell.end_runs()
        while cell.placer.waiting_tasks() < _WAITING_TASKS:
            cell.add_job()
            cell.placer._refresh_waiting()
        before = len(cell.runs.placed)
        started = time.process_time()
        cell.placer.place_all()
        passes.append(time.process_time() - started)
        placed += len(cell.runs.placed) - before
    return {
        'pass_mean_ms': 1000 * statistics.fmean(passes),
        'pass_p99_ms': 1000 * statistics.quantiles(passes, n=_PERCENT)[-1],
        'task_mean_us': 1e6 * sum(passes) / max(1, placed),
    }


def main(*sizes: int) -> None:
    """Print a row for each number of workers."""
    for workers in sizes or (24, 270, 1400):
        row = measure(workers)
        print(workers, {name: round(value, 2) for name, value in row.items()})


if __name__ == '__main__':
    fire.Fire(main)
