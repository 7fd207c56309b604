"""``make bench``: compares scheduling decisions with baselines and ablations.

Prints tables and writes one JSON file. All inputs are seeded, but measured
processor times differ from run to run.
"""

from __future__ import annotations

import gc
import json
import pathlib
import statistics
import sys
import time
from collections.abc import Callable
from random import Random

import fire

from benchmarks.baselines import EngineDecider, FirstFit, RandomOfTwo
from benchmarks.replay import Arrival, Replay
from orchidrail.bundles.model import (
    Bundle,
    PackingPolicy,
    Quota,
    Tenant,
    WaitingPolicy,
    WorkClass,
    WorkKind,
    Zone,
)
from orchidrail.deciding.engine import Engine, Placed, WorkItem
from orchidrail.deciding.shard import Place
from orchidrail.leasing.ledger import Ledger
from orchidrail.resources import NOTHING, Resources
from orchidrail.types import ClassName, TaskId, TenantId, WorkerId, ZoneId

ZONE = ZoneId('z')
OUTLET = Resources(64, 128, 0, slots=8, connections=64)
ARCHIVE = Resources(64, 256, 0, slots=8, connections=64)
REQUEST = Resources(1, 1, 0, slots=1, connections=1)
HEADROOM = Resources(8, 16, 0)
TAG, PREVIEW, BATCH, GANG, URGENT = map(
    ClassName,
    ('tag-check', 'preview', 'stack', 'gang', 'urgent'),
)
TENANT = TenantId('t')
_WORKERS = 24
Row = dict[str, object]


def bundle(**changes: object) -> Bundle:
    """Return the bundle of the benchmarks with the given fields replaced."""
    fields: dict[str, object] = {
        'tenants': {TENANT: Tenant(quota=Quota())},
        'classes': {
            TAG: WorkClass(
                kind=WorkKind.REQUEST,
                policy=WaitingPolicy(),
                priority=100,
                urgent=True,
            ),
            PREVIEW: WorkClass(
                kind=WorkKind.REQUEST,
                policy=WaitingPolicy(),
                priority=50,
                repeatable=True,
            ),
            BATCH: WorkClass(
                kind=WorkKind.BATCH,
                policy=PackingPolicy(),
                priority=5,
                preemptible=True,
            ),
            GANG: WorkClass(
                kind=WorkKind.GANG,
                policy=PackingPolicy(),
                priority=5,
            ),
            URGENT: WorkClass(
                kind=WorkKind.BATCH,
                policy=PackingPolicy(),
                priority=90,
                urgent=True,
            ),
        },
        'zones': {ZONE: Zone(headroom=HEADROOM)},
    }
    fields.update(changes)
    return Bundle(**fields)  # type: ignore[arg-type]


def make_engine(
    workers: int,
    shape: Resources = OUTLET,
    seed: int = 1,
    custom_bundle: Bundle | None = None,
) -> Engine:
    """Return an engine with a number of idle workers."""
    engine = Engine(Random(seed))
    engine.use_bundle(custom_bundle or bundle(), ZONE)
    for place in places(workers, shape):
        engine.add_place(place)
    return engine


def places(workers: int, shape: Resources) -> list[Place]:
    """Return places without reservations, eight to a rack."""
    return [
        Place(WorkerId(f'w-{number}'), f'r-{number // 8}', Ledger(shape))
        for number in range(workers)
    ]


def measure_decisions(workers: int, seed: int, count: int = 20_000) -> Row:
    """Measure the time to place one request or task on a cell 85% full."""
    engine = make_engine(workers, seed=seed)
    random = Random(seed)
    running: list[Placed] = []
    _fill(engine, running, random, workers)
    times = []
    gc.collect()
    gc.freeze()
    for number in range(count):
        index = int(random.random() * len(running))
        ended = running[index]
        class_name = TAG if number % 4 else BATCH
        size = REQUEST if number % 4 else Resources(4, 8)
        item = WorkItem(TaskId(f'm{number}'), TENANT, class_name, size)
        started = time.perf_counter()
        worker = ended.place.worker
        engine.note_end(worker, ended.item.key, ok=True, now=number)
        decision = engine.offer(item, number)
        times.append(time.perf_counter() - started)
        if isinstance(decision, Placed):
            running[index] = decision
        else:
            engine.cancel(item)
            running[index] = running[-1]
            running.pop()
    gc.unfreeze()
    times.sort()
    mean = statistics.fmean(times)
    return {
        'workers': workers,
        'mean_us': mean * 1e6,
        'p99_us': times[int(count * 0.99)] * 1e6,
        'per_second': 1 / mean,
    }


def _fill(
    engine: Engine,
    running: list[Placed],
    random: Random,
    workers: int,
) -> None:
    """Allocate 85% of the slots and, with the headroom, of the cores."""
    for number in range(int(workers * 8 * 0.85)):
        item = WorkItem(TaskId(f'r{number}'), TENANT, TAG, REQUEST)
        decision = engine.offer(item, 0)
        if isinstance(decision, Placed):
            running.append(decision)
    for number in range(int(workers * 10)):
        item = WorkItem(TaskId(f'b{number}'), TENANT, BATCH, Resources(4, 8))
        decision = engine.offer(item, 0)
        if isinstance(decision, Placed):
            running.append(decision)
        else:
            engine.cancel(item)
            break
    random.shuffle(running)


def outlet_arrivals(seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return tag checks and previews that need a share `load` of the slots."""
    random = Random(seed)
    mean = 0.06
    rate = _WORKERS * 8 * load / mean
    arrivals = []
    at = 0.0
    number = 0
    while at < seconds:
        at += random.expovariate(rate)
        number += 1
        tag = random.random() < 0.5
        # Run times vary by a factor of up to three in either direction; the
        # divisor keeps their mean.
        factor = 3 ** random.uniform(-1, 1)
        run_time = mean * factor / 1.2137
        item = WorkItem(
            TaskId(f'q{number}'),
            TENANT,
            TAG if tag else PREVIEW,
            REQUEST,
            deadline=at + 5,
        )
        arrivals.append(Arrival(at, item, run_time))
    return arrivals


def measure_waiting(
    make_decider: Callable[[], object],
    name: str,
    seed: int,
    load: float = 0.85,
    failing_count: int = 1,
    seconds: float = 12,
) -> Row:
    """Replay the outlet mix with some workers that fail every task."""
    decider = make_decider()
    for place in places(_WORKERS, OUTLET):
        decider.add_place(place)  # type: ignore[attr-defined]
    arrivals = outlet_arrivals(seed, load, seconds)
    failing = frozenset(
        WorkerId(f'w-{number}') for number in range(failing_count)
    )
    outcome = Replay(decider, arrivals, failing).run(seconds + 10)
    answered = outcome.done_by_class[TAG] + outcome.done_by_class[PREVIEW]
    return {
        'decider': name,
        'load': load,
        'tag_p50_ms': outcome.quantile(TAG, 0.5) * 1e3,
        'tag_p99_ms': outcome.quantile(TAG, 0.99) * 1e3,
        'preview_p99_ms': outcome.quantile(PREVIEW, 0.99) * 1e3,
        'failures': outcome.failures,
        'answered': answered,
        'answered_per_s': answered / seconds,
        'sent': len(arrivals),
    }


def measure_previews(seed: int, custom_bundle: Bundle, name: str) -> Row:
    """Measure waits of previews, and packing, with a backlog of stacks."""
    engine = make_engine(_WORKERS, ARCHIVE, seed, custom_bundle)
    random = Random(seed)
    arrivals = [
        Arrival(
            0,
            WorkItem(
                TaskId(f's{number}'),
                TENANT,
                BATCH,
                Resources(
                    random.choice((4, 8, 12, 16)), random.choice((8, 24, 48))
                ),
            ),
            random.uniform(20, 90),
        )
        for number in range(4000)
    ]
    at = 0.0
    number = 0
    while at < 120:
        at += random.expovariate(60)
        number += 1
        item = WorkItem(TaskId(f'p{number}'), TENANT, PREVIEW, REQUEST)
        arrivals.append(Arrival(at, item, random.uniform(0.1, 0.6)))
    total = engine.shard.capacity
    bound = 1 - HEADROOM.cores / ARCHIVE.cores

    def batch_share() -> float:
        taken = total - engine.shard.total_free()
        cores = taken.cores / total.cores
        memory = taken.memory / total.memory
        return max(cores, memory)

    outcome = Replay(
        EngineDecider(engine), arrivals, load=batch_share, measure=(20, 110)
    ).run(
        120,
    )
    return {
        'policy': name,
        'preview_p50_ms': outcome.quantile(PREVIEW, 0.5) * 1e3,
        'preview_p99_ms': outcome.quantile(PREVIEW, 0.99) * 1e3,
        'packing': outcome.packing,
        'of_bound': outcome.packing / bound,
    }


def measure_urgent(seed: int) -> Row:
    """Measure urgent tasks on a cell that is full of preemptible tasks."""
    engine = make_engine(_WORKERS, ARCHIVE, seed)
    arrivals = [
        Arrival(
            0,
            WorkItem(TaskId(f's{number}'), TENANT, BATCH, Resources(8, 16)),
            600,
        )
        for number in range(400)
    ]
    arrivals.extend(
        Arrival(
            10 + number * 0.5,
            WorkItem(TaskId(f'u{number}'), TENANT, URGENT, Resources(24, 48)),
            5,
        )
        for number in range(40)
    )
    outcome = Replay(EngineDecider(engine), arrivals).run(60)
    return {
        'urgent_started': len(outcome.waits_by_class[URGENT]),
        'of': 40,
        'urgent_max_s': outcome.quantile(URGENT, 1),
        'preempted': outcome.preempted,
    }


def measure_gangs(seed: int, *, reservations: bool) -> Row:
    """Measure gangs of a quarter of the workers among many small tasks."""
    engine = make_engine(_WORKERS, ARCHIVE, seed)
    if not reservations:
        engine.earmark_for = lambda now: None  # type: ignore[method-assign]
    random = Random(seed)
    arrivals = [
        Arrival(
            number * 0.05,
            WorkItem(TaskId(f's{number}'), TENANT, BATCH, Resources(8, 16)),
            random.uniform(5, 15),
        )
        for number in range(6000)
    ]
    arrivals.extend(
        Arrival(
            20 + number * 40,
            WorkItem(
                TaskId(f'g{number}'),
                TenantId('gangs'),
                GANG,
                Resources(48, 96),
                gang=_WORKERS // 4,
            ),
            10,
        )
        for number in range(4)
    )
    arrivals.sort(key=lambda arrival: arrival.at)
    outcome = Replay(EngineDecider(engine), arrivals).run(300)
    waits = outcome.waits_by_class[GANG]
    return {
        'earmarks': reservations,
        'gangs_started': len(waits),
        'of': 4,
        'gang_max_s': max(waits, default=float('inf')),
        'small_done': outcome.done_by_class[BATCH],
    }


def measure_fairness(seed: int, teams: int = 120) -> Row:
    """Measure the fair shares of teams with different weights."""
    weights = {
        TenantId(f'team-{number}'): 1 + number % 4 for number in range(teams)
    }
    custom_bundle = bundle(
        tenants={
            name: Tenant(weight=weight) for name, weight in weights.items()
        },
    )
    engine = make_engine(160, ARCHIVE, seed, custom_bundle)
    random = Random(seed)
    arrivals = [
        Arrival(
            0,
            WorkItem(TaskId(f'{name}-{number}'), name, BATCH, Resources(1, 2)),
            random.uniform(2, 6),
        )
        for name in weights
        for number in range(1500)
    ]
    random.shuffle(arrivals)
    outcome = Replay(EngineDecider(engine), arrivals, measure=(15, 40)).run(40)
    total = sum(outcome.used_by_tenant.values())
    weight_total = sum(weights.values())
    errors = [
        abs(
            outcome.used_by_tenant[name] / total / (weight / weight_total) - 1,
        )
        for name, weight in weights.items()
    ]
    return {
        'teams': teams,
        'worst_error': max(errors),
        'mean_error': statistics.fmean(errors),
    }


def without_ejection(seed: int) -> EngineDecider:
    """Return the engine without ejection of failing workers."""
    return EngineDecider(
        make_engine(0, seed=seed, custom_bundle=bundle(max_ejected=0.0))
    )


def without_priorities(seed: int) -> EngineDecider:
    """Return the engine with the same priority for all classes."""
    classes = {
        name: WorkClass(
            kind=found.kind,
            policy=found.policy,
            preemptible=found.preemptible,
        )
        for name, found in bundle().classes.items()
    }
    return EngineDecider(
        make_engine(0, seed=seed, custom_bundle=bundle(classes=classes))
    )


def two_samples(seed: int) -> EngineDecider:
    """Return the engine with a sample of two workers for each request."""
    classes = {
        name: WorkClass(
            kind=found.kind,
            policy=WaitingPolicy(sample=2)
            if isinstance(found.policy, WaitingPolicy)
            else found.policy,
            priority=found.priority,
        )
        for name, found in bundle().classes.items()
    }
    return EngineDecider(
        make_engine(0, seed=seed, custom_bundle=bundle(classes=classes))
    )


def run(seed: int = 1, out: str = 'out/bench.json') -> None:
    """Run all benchmarks, print the tables and write the JSON file."""
    tables: dict[str, list[Row]] = {}
    tables['decisions'] = [
        measure_decisions(workers, seed) for workers in (24, 1400, 32_000)
    ]
    deciders: list[tuple[str, Callable[[], object]]] = [
        ('orchidrail', lambda: EngineDecider(make_engine(0, seed=seed))),
        ('first fit', lambda: FirstFit(Random(seed))),
        ('random of two', lambda: RandomOfTwo(Random(seed))),
        ('orchidrail, no ejection', lambda: without_ejection(seed)),
        ('orchidrail, one priority', lambda: without_priorities(seed)),
        ('orchidrail, two samples', lambda: two_samples(seed)),
    ]
    tables['waiting'] = [
        measure_waiting(make_decider, name, seed)
        for name, make_decider in deciders
    ]
    tables['overload'] = [
        measure_waiting(make_decider, name, seed, load=load, failing_count=0)
        for name, make_decider in deciders[:3]
        for load in (1.0, 2.0)
    ]
    no_headroom = bundle(zones={ZONE: Zone(headroom=NOTHING)})
    tables['archive'] = [
        measure_previews(seed, bundle(), 'orchidrail'),
        measure_previews(seed, no_headroom, 'orchidrail, no headroom'),
        measure_previews(seed, _spread_bundle(), 'orchidrail, waiting policy'),
    ]
    tables['urgent'] = [measure_urgent(seed)]
    tables['gangs'] = [
        measure_gangs(seed, reservations=True),
        measure_gangs(seed, reservations=False),
    ]
    tables['fairness'] = [measure_fairness(seed)]
    for name, rows in tables.items():
        _print_table(name, rows)
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps({'seed': seed, 'tables': tables}, indent=1))


def _spread_bundle() -> Bundle:
    classes = dict(bundle().classes)
    classes[BATCH] = WorkClass(
        kind=WorkKind.BATCH,
        policy=WaitingPolicy(),
        priority=5,
        preemptible=True,
    )
    return bundle(classes=classes)


def _print_table(name: str, rows: list[Row]) -> None:
    lines = [f'## {name}', '| ' + ' | '.join(rows[0]) + ' |']
    lines.append('|' + ' --- |' * len(rows[0]))
    for row in rows:
        cells = [_format_value(value) for value in row.values()]
        lines.append('| ' + ' | '.join(cells) + ' |')
    sys.stdout.write('\n'.join(lines) + '\n\n')
    sys.stdout.flush()


def _format_value(value: object) -> str:
    return f'{value:.3f}' if isinstance(value, float) else str(value)


if __name__ == '__main__':
    fire.Fire(run)
