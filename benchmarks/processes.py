"""Overhead of real processes: processor time, memory and traffic.

Part of ``make bench``. Runs the cell of ``make demo`` on loopback, first idle
and then under load.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time
from contextlib import AsyncExitStack

import fire
import httpx

from tools.callers import Caller
from tools.cell import Cell, open_cell, small_bundle

_TICKS_PER_SECOND = 100
_SETTLE_SECONDS = 5.0
_PROMETHEUS_NAME = 'orchidrail_wire_bytes{'


def _processor_seconds(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS_PER_SECOND


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * 4096 / 1e6


class Meter:
    """Reads the daemons' processor time and memory, and wire traffic."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell

    def processor(self) -> dict[str, float]:
        """Return the processor seconds of each daemon."""
        return {
            name: _processor_seconds(process.process.pid)
            for name, process in self._cell.by_name.items()
            if name.startswith(('scheduler', 'gateway'))
        }

    def memory(self) -> dict[str, float]:
        """Return the resident megabytes of each daemon."""
        return {
            name: _resident_mb(process.process.pid)
            for name, process in self._cell.by_name.items()
            if name.startswith(('scheduler', 'gateway'))
        }

    async def wire_bytes(self) -> float:
        """Return the bytes that all schedulers have sent and received."""
        total = 0.0
        async with httpx.AsyncClient(trust_env=False) as client:
            for address in self._cell.metrics.values():
                response = await client.get(f'http://{address}/metrics')
                total += sum(
                    float(line.rsplit(' ', 1)[1])
                    for line in response.text.splitlines()
                    if line.startswith(_PROMETHEUS_NAME)
                )
        return total

    async def measure_rates(self, seconds: float) -> dict[str, float]:
        """Return processor use, bytes per second and memory over an interval."""
        before, bytes_before = self.processor(), await self.wire_bytes()
        started = time.monotonic()
        await asyncio.sleep(seconds)
        spent = time.monotonic() - started
        after, bytes_after = self.processor(), await self.wire_bytes()
        shares = {name: (after[name] - before[name]) / spent for name in before}
        schedulers = _values_of_kind(shares, 'scheduler')
        gateways = _values_of_kind(shares, 'gateway')
        return {
            'scheduler_core_pct': 100 * sum(schedulers) / len(schedulers),
            'gateway_core_pct': 100 * sum(gateways) / len(gateways),
            'scheduler_bytes_s': (bytes_after - bytes_before)
            / spent
            / len(schedulers),
            'scheduler_mb': max(_values_of_kind(self.memory(), 'scheduler')),
            'gateway_mb': max(_values_of_kind(self.memory(), 'gateway')),
        }


def _values_of_kind(shares: dict[str, float], kind: str) -> list[float]:
    return [share for name, share in shares.items() if name.startswith(kind)]


async def _send_requests(caller: Caller, rate: float, seconds: float) -> None:
    async with asyncio.TaskGroup() as group:
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            keyed = number % 2 == 0
            class_name = 'tag-check' if keyed else 'preview'
            group.create_task(caller.request(class_name, 0.02, keyed=keyed))
            number += 1
            await asyncio.sleep(1 / rate)


async def measure(seconds: float, rate: float) -> dict[str, dict[str, float]]:
    """Measure an idle cell, then the same cell under short requests."""
    async with AsyncExitStack() as stack:
        cell = await open_cell(stack)
        await cell.publish(small_bundle(cell))
        await cell.wait_serving()
        await asyncio.sleep(_SETTLE_SECONDS)
        meter = Meter(cell)
        rows = {'idle': await meter.measure_rates(seconds)}
        caller = Caller(cell.all_gateways(), cell.tenant_key)
        stack.push_async_callback(caller.close)
        loading = asyncio.create_task(_send_requests(caller, rate, seconds + 2))
        await asyncio.sleep(1)
        rows[f'{rate:.0f} requests/s'] = await meter.measure_rates(seconds)
        await loading
        for row in caller.tally.rows():
            sys.stdout.write('| ' + ' | '.join(row) + ' |\n')
    return rows


def run(
    seconds: float = 10, rate: float = 80, out: str = 'out/cost.json'
) -> None:
    """Measure, print a table and write the JSON file."""
    rows = asyncio.run(measure(seconds, rate))
    columns = list(next(iter(rows.values())))
    lines = ['## control cost', '| cell | ' + ' | '.join(columns) + ' |']
    lines.append('|' + ' --- |' * (len(columns) + 1))
    for name, row in rows.items():
        cells = [f'{figure:.2f}' for figure in row.values()]
        lines.append(f'| {name} | ' + ' | '.join(cells) + ' |')
    sys.stdout.write('\n'.join(lines) + '\n')
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(rows, indent=1))


if __name__ == '__main__':
    fire.Fire(run)
