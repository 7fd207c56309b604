"""``make capacity``: measures unit costs and writes docs/CAPACITY.md.

Every figure of the page comes from the JSON file of the same run.
"""

from __future__ import annotations

import asyncio
import gc
import json
import math
import pathlib
import platform
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import httpx
import msgspec

from benchmarks.bench import TENANT, bundle, make_engine, measure_decisions
from orchidrail.bundles.fold import BundleFold
from orchidrail.bundles.model import Bundle, Tenant
from orchidrail.bundles.records import encode_record as encode_bundle_record
from orchidrail.deciding.engine import WorkItem
from orchidrail.jobs.book import JobBook
from orchidrail.jobs.records import JobAccepted, encode_record
from orchidrail.logservice.ports import LogRecord
from orchidrail.resources import Resources
from orchidrail.types import (
    BundleVersion,
    ClassName,
    Epoch,
    JobId,
    Offset,
    SchedulerId,
    TaskId,
    TaskState,
    TenantId,
    WorkerId,
    ZoneId,
)
from orchidrail.wire.codec import decode, encode
from orchidrail.wire.messages import (
    Gossip,
    Grant,
    GrantRequest,
    JobSpec,
    LeaseRenewed,
    MemberState,
    Message,
    RenewLease,
    StartTasks,
    TaskReport,
    TaskReports,
    TasksEnded,
    TaskSpec,
    ZoneDigest,
)
from proving.cell import VirtualCell
from proving.load import bundle_change
from standins.model.loop import VirtualLoop

ROOT = pathlib.Path(__file__).parents[1]
#: Size and load that the users require.
DESIGN_LOAD = {
    'workers': 32_000,
    'jobs_a_day': 230_000,
    'starts_a_second': 5_000,
    'tasks_running': 340_000,
    'tenants': 120,
    'zones': 23,
    'changes_a_day': 29_000,
}
LIMITS = {'core_share': 0.023, 'memory_mb': 256, 'bytes_a_second': 5_000}
_DAY = 86_400
_UUID = '0192f1c0-1a2b-7000-8000-000000000000'
_TASK_SIZE = Resources(4, 8)


def _memory(build: Callable[[int], object], count: int) -> float:
    """Return the bytes per object of the `count` that `build` creates."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build(count)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return (after - before) / count


def _build_workers(count: int) -> object:
    return make_engine(count)


def _build_tasks(count: int) -> object:
    engine = make_engine(count // 10)
    for number in range(count):
        name = TaskId(f'{_UUID}#{number}#0.1')
        item = WorkItem(name, TENANT, ClassName('stack'), Resources(1, 1))
        engine.offer(item, 0)
    return engine


def _build_queue(count: int) -> object:
    engine = make_engine(1)
    for number in range(count):
        name = TaskId(f'{_UUID}#{number}#0.1')
        engine.offer(WorkItem(name, TENANT, ClassName('stack'), _TASK_SIZE), 0)
    return engine


def _job_record(number: int) -> str:
    spec = JobSpec(
        key=JobId(f'{_UUID}{number}'),
        tenant=TENANT,
        class_name=ClassName('stack'),
        zone=ZoneId('hall-1'),
        witness=WorkerId('w-1'),
        witness_boot='0a1b2c3d',
        backup=WorkerId('w-2'),
        backup_boot='0a1b2c3d',
        size=_TASK_SIZE,
        payload='{"plate": 12345}',
    )
    return encode_record(JobAccepted(job=spec))


def _build_jobs(count: int) -> object:
    book = JobBook()
    for number in range(count):
        payload = msgspec.json.encode([_job_record(number)]).decode()
        book.apply(LogRecord(Offset(number), 0, payload))
    return book


def _build_tenants(count: int) -> object:
    tenants = {
        TenantId(f'team-{number}'): Tenant(keys=['sha256:' + 'a' * 64])
        for number in range(count)
    }
    return bundle(tenants=tenants)


def measure_memory() -> dict[str, float]:
    """Return the bytes of each kind of object that a daemon keeps."""
    return {
        'worker': _memory(_build_workers, 2_000),
        'running task': _memory(_build_tasks, 10_000),
        'queued task': _memory(_build_queue, 20_000),
        'open job': _memory(_build_jobs, 10_000),
        'tenant': _memory(_build_tenants, 1_000),
    }


def _report(state: TaskState = TaskState.FINISHED) -> TaskReport:
    return TaskReport(
        key=TaskId(f'{_UUID}#0#0.1'),
        state=state,
        job=JobId(_UUID),
        size=_TASK_SIZE,
        tenant=TENANT,
        class_name=ClassName('stack'),
    )


def _start_spec() -> TaskSpec:
    return TaskSpec(
        key=TaskId(f'{_UUID}#0#0.1'),
        tenant=TENANT,
        class_name=ClassName('stack'),
        size=_TASK_SIZE,
        payload='{"plate": 12345}',
        ttl=60,
        job=JobId(_UUID),
    )


def _member(number: int) -> MemberState:
    return MemberState(
        name=SchedulerId(f'scheduler-{number}'),
        address='10.0.0.1:7000',  # type: ignore[arg-type]
        zone=ZoneId('hall-1'),
        incarnation=1_700_000_000_000,
        beat=100,
        bundle=BundleVersion(7),
        largest_free=_TASK_SIZE,
    )


def messages() -> dict[str, Message]:
    """Return samples of the periodic and the per-task messages."""
    digests = [
        ZoneDigest(
            zone=ZoneId(f'zone-{number}'),
            beat=1_700_000_000,
            workers=1391,
            queued=0,
            bundle=BundleVersion(7),
            contact='10.0.0.1:7000',  # type: ignore[arg-type]
        )
        for number in range(DESIGN_LOAD['zones'])
    ]
    renewal = RenewLease(
        holder=SchedulerId('scheduler-1'),
        epoch=Epoch(1_700_000_000),
        sequence=100,
        ttl=3,
    )
    return {
        'RenewLease, idle': renewal,
        'LeaseRenewed, idle': LeaseRenewed(
            sequence=100, tasks=[], used=_TASK_SIZE
        ),
        'LeaseRenewed, one end': LeaseRenewed(sequence=100, tasks=[_report()]),
        'StartTasks, one task': StartTasks(
            tasks=[_start_spec()],
            epoch=Epoch(1),
            sequence=100,
        ),
        'StartTasks, 16 tasks': StartTasks(
            tasks=[_start_spec()] * 16,
            epoch=Epoch(1),
            sequence=100,
        ),
        'TaskReports, one task': TaskReports(
            tasks=[_report(TaskState.RUNNING)]
        ),
        'TaskReports, 16 tasks': TaskReports(
            tasks=[_report(TaskState.RUNNING)] * 16,
        ),
        'GrantRequest': GrantRequest(
            tenant=TENANT,
            class_name=ClassName('tag-check'),
            size=_TASK_SIZE,
            patience=10,
        ),
        'Grant': Grant(
            task=TaskId(_UUID),
            worker=WorkerId('w-1'),
            boot='0a1b2c3d',
            address='10.0.0.1:7000',  # type: ignore[arg-type]
            epoch=Epoch(1_700_000_000),
            sequence=100,
            validity=1,
        ),
        'TasksEnded, 16 tasks': TasksEnded(tasks=[_report()] * 16),
        'Gossip, 6 members': Gossip(members=[_member(n) for n in range(6)]),
        'Gossip, 6 members and all zones': Gossip(
            members=[_member(n) for n in range(6)],
            digests=digests,
        ),
    }


def measure_messages() -> dict[str, dict[str, float]]:
    """Return frame sizes, and times to encode and decode in microseconds."""
    rows = {}
    for name, message in messages().items():
        frame = encode(1, message)
        rows[name] = {
            'bytes': len(frame) + 4,
            'encode_us': _time(lambda message=message: encode(1, message)),
            'decode_us': _time(lambda frame=frame: decode(frame)),
        }
    return rows


def _time(call: Callable[[], object], count: int = 3_000) -> float:
    """Return the processor time per call in microseconds."""
    call()
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) / count * 1e6


def measure_bundle() -> dict[str, float]:
    """Return the cost of one published change at 120 tenants."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_measure_bundle())


async def _measure_bundle() -> dict[str, float]:
    await asyncio.sleep(0)
    cell = VirtualCell(1)
    cell.publish(bundle_change(cell))
    tenants = _build_tenants(DESIGN_LOAD['tenants'])
    raw = msgspec.to_builtins(tenants)['tenants']
    cell.publish([{'op': 'replace', 'path': '/tenants', 'value': raw}])
    fold = cell.fold()
    path = '/tenants/team-7/weight'
    record = cell.signed_publish(
        fold,
        [{'op': 'replace', 'path': path, 'value': 2}],
    )
    payload = encode_bundle_record(record)
    folds = []
    for _ in range(50):
        copy = BundleFold(Bundle(operators=cell.operators))
        copy.adopt(fold.snapshot(), fold.offset)  # type: ignore[arg-type]
        folds.append(copy)
    log_record = LogRecord(Offset(99), 0, payload)
    started = time.process_time()
    for copy in folds:
        copy.apply(log_record)
    spent = (time.process_time() - started) / len(folds) * 1e6
    return {
        'change_bytes': len(payload),
        'whole_bytes': len(fold.document),
        'fold_us': spent,
    }


def measure_poll() -> dict[str, float]:
    """Return the computed HTTP bytes of a log poll without records."""
    request = httpx.Client(trust_env=False).build_request(
        'GET',
        'http://10.0.0.1:9000/streams/bundle?start=100000&limit=500',
    )
    sent = (
        len(request.url.raw_path)
        + 16
        + sum(len(name) + len(value) + 4 for name, value in request.headers.raw)
    )
    body = len('{"records":[],"first":100000,"end":100000}')
    return {'request_bytes': sent, 'answer_bytes': 110 + body}


def measure_process() -> dict[str, float]:
    """Return the resident memory of this process with all code loaded."""
    import orchidrail.gateway.main  # ruff: ignore[unused-import]
    import orchidrail.scheduler.main  # ruff: ignore[unused-import]

    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return {'resident_mb': pages * 4096 / 1e6}


def measure() -> dict[str, Any]:
    """Measure all unit costs."""
    process = measure_process()
    return {
        'process': process,
        'memory_bytes': measure_memory(),
        'messages': measure_messages(),
        'bundle': measure_bundle(),
        'poll': measure_poll(),
        'decision_us': measure_decisions(1391, 1)['mean_us'],
        'python': platform.python_version(),
    }


def compute_needs(unit_costs: dict[str, Any]) -> dict[str, Any]:
    """Compute the needs of one zone from the unit costs."""
    zone: dict[str, float] = {
        'workers': DESIGN_LOAD['workers'] / DESIGN_LOAD['zones'],
        'starts': DESIGN_LOAD['starts_a_second'] / DESIGN_LOAD['zones'],
        'running': DESIGN_LOAD['tasks_running'] / DESIGN_LOAD['zones'],
        'open_jobs': DESIGN_LOAD['jobs_a_day'] / DESIGN_LOAD['zones'] / 24,
        'changes': DESIGN_LOAD['changes_a_day'] / _DAY,
    }
    rows = unit_costs['messages']
    renewal_us = (
        rows['RenewLease, idle']['encode_us']
        + rows['LeaseRenewed, idle']['decode_us']
    )
    renewal_bytes = (
        rows['RenewLease, idle']['bytes'] + rows['LeaseRenewed, idle']['bytes']
    )
    start_us = _per_start(rows, 'us') + unit_costs['decision_us']
    start_bytes = _per_start(rows, 'bytes')
    plans = [
        _plan(
            unit_costs,
            zone,
            renewal_interval,
            renewal_us,
            renewal_bytes,
            start_us,
            start_bytes,
        )
        for renewal_interval in (1, 5, 15)
    ]
    return {
        'zone': zone,
        'renewal_us': renewal_us,
        'renewal_bytes': renewal_bytes,
        'start_us': start_us,
        'start_bytes': start_bytes,
        'plans': plans,
    }


def _per_start(rows: dict[str, dict[str, float]], unit: str) -> float:
    """Return the cost of one job task: two claims, its start and its end.

    Concurrent claims and starts are sent in messages of 16.
    """
    keys = ('encode_us', 'decode_us') if unit == 'us' else ('bytes', 'bytes')
    sixteenth = (
        rows['StartTasks, 16 tasks'][keys[0]]
        + rows['TaskReports, 16 tasks'][keys[1]]
    ) / 16
    one_end = 'LeaseRenewed, one end'
    idle = 'LeaseRenewed, idle'
    end = rows[one_end][keys[1]] - rows[idle][keys[1]]
    return 3 * sixteenth + end


def _plan(
    unit_costs: dict[str, Any],
    zone: dict[str, float],
    renewal_interval: float,
    renewal_us: float,
    renewal_bytes: float,
    start_us: float,
    start_bytes: float,
) -> dict[str, float]:
    """Return how many schedulers a zone needs at a renewal interval."""
    rows = unit_costs['messages']
    gossip = rows['Gossip, 6 members']
    # Each second a scheduler starts one gossip exchange and answers another:
    # four frames.
    fixed_us = 4 * (gossip['encode_us'] + gossip['decode_us'])
    fixed_us += zone['changes'] * unit_costs['bundle']['fold_us']
    poll = (
        unit_costs['poll']['request_bytes'] + unit_costs['poll']['answer_bytes']
    )
    fixed_bytes = 4 * gossip['bytes'] + 3 * poll
    fixed_bytes += zone['changes'] * unit_costs['bundle']['change_bytes']
    variable_us = (
        zone['workers'] / renewal_interval * renewal_us
        + zone['starts'] * start_us
    )
    variable_bytes = (
        zone['workers'] / renewal_interval * renewal_bytes
        + zone['starts'] * start_bytes
    )
    core_budget = LIMITS['core_share'] * 1e6 - fixed_us
    byte_budget = LIMITS['bytes_a_second'] - fixed_bytes
    by_core = math.ceil(variable_us / core_budget) if core_budget > 0 else 0
    by_bytes = math.ceil(variable_bytes / byte_budget) if byte_budget > 0 else 0
    count = max(by_core, by_bytes, 1)
    bytes_by_item = unit_costs['memory_bytes']
    memory = (
        unit_costs['process']['resident_mb']
        + (
            zone['workers'] / count * bytes_by_item['worker']
            + zone['running'] / count * bytes_by_item['running task']
            + zone['open_jobs'] * bytes_by_item['open job']
            + DESIGN_LOAD['tenants'] * bytes_by_item['tenant']
        )
        / 1e6
    )
    return {
        'renewal_s': renewal_interval,
        'fixed_core_pct': fixed_us / 1e4,
        'fixed_bytes': fixed_bytes,
        'by_core': by_core,
        'by_bytes': by_bytes,
        'memory_mb': memory,
    }


def main() -> None:
    """Measure, write the JSON file and render the page."""
    unit_costs = measure()
    document = {'slopes': unit_costs, 'needs': compute_needs(unit_costs)}
    out = ROOT / 'out'
    out.mkdir(exist_ok=True)
    (out / 'capacity.json').write_text(json.dumps(document, indent=1))
    template = (ROOT / 'docs/CAPACITY.template.md').read_text()
    page = render(template, document)
    (ROOT / 'docs/CAPACITY.md').write_text(page)
    sys.stdout.write(f'wrote docs/CAPACITY.md ({len(page)} characters)\n')


def render(template: str, document: dict[str, Any]) -> str:
    """Fill the page template with the figures of a run."""
    unit_costs, needs = document['slopes'], document['needs']
    tables = {
        'MEMORY': _table(
            ('thing', 'bytes'),
            [
                (name, f'{size:.0f}')
                for name, size in unit_costs['memory_bytes'].items()
            ],
        ),
        'MESSAGES': _table(
            ('message', 'bytes', 'encode, µs', 'decode, µs'),
            [
                (
                    name,
                    f'{row["bytes"]:.0f}',
                    f'{row["encode_us"]:.0f}',
                    f'{row["decode_us"]:.0f}',
                )
                for name, row in unit_costs['messages'].items()
            ],
        ),
        'ZONE': _table(
            ('of one zone', 'figure'),
            [(name, f'{size:.2f}') for name, size in needs['zone'].items()],
        ),
        'PLANS': _table(
            (
                'renewal, s',
                'fixed, % of a core',
                'fixed, bytes/s',
                'schedulers for 2.3% of a core',
                'schedulers for 5 KB/s',
                'memory then, MB',
            ),
            [
                (
                    f'{plan["renewal_s"]:.0f}',
                    f'{plan["fixed_core_pct"]:.2f}',
                    f'{plan["fixed_bytes"]:.0f}',
                    _count(plan['by_core']),
                    _count(plan['by_bytes']),
                    f'{plan["memory_mb"]:.0f}',
                )
                for plan in needs['plans']
            ],
        ),
    }
    figures = {
        'DECISION_US': f'{unit_costs["decision_us"]:.0f}',
        'RENEWAL_US': f'{needs["renewal_us"]:.0f}',
        'RENEWAL_BYTES': f'{needs["renewal_bytes"]:.0f}',
        'START_US': f'{needs["start_us"]:.0f}',
        'START_BYTES': f'{needs["start_bytes"]:.0f}',
        'START_KB': f'{needs["zone"]["starts"] * needs["start_bytes"] / 1e3:.0f}',
        'RESIDENT_MB': f'{unit_costs["process"]["resident_mb"]:.0f}',
        'CHANGE_BYTES': f'{unit_costs["bundle"]["change_bytes"]:.0f}',
        'WHOLE_BYTES': f'{unit_costs["bundle"]["whole_bytes"]:.0f}',
        'FOLD_US': f'{unit_costs["bundle"]["fold_us"]:.0f}',
        'POLL_BYTES': f'{sum(unit_costs["poll"].values()):.0f}',
        'PYTHON': unit_costs['python'],
    }
    for name, text in {**tables, **figures}.items():
        template = template.replace('{{' + name + '}}', text)
    return template


def _count(number: float) -> str:
    return str(number) if number else 'not reachable'


def _table(columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = [
        '| ' + ' | '.join(columns) + ' |',
        '|' + ' --- |' * len(columns),
        *('| ' + ' | '.join(row) + ' |' for row in rows),
    ]
    return '\n'.join(lines)


if __name__ == '__main__':
    main()
