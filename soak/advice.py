"""Stand-in for the advice service, which permits workers for a step."""

from __future__ import annotations

import asyncio
import json
import time
import zlib
from collections import Counter, defaultdict
from random import Random

from blacksheep import Request, Response

from soak.http import json_response

#: Duration of an advice request, a base and a share per worker, and validity of
#: tickets, in milliseconds.
ADVICE = {'decide_ms': 500, 'each_ms': 7, 'valid_ms': 2000}
#: Advice requests of one lane that may be queued or in flight.
MAX_WAITING = 32
_MILLIS = 1000


class AdviceStandIn:
    """Issues tickets; answers one request at a time for each lane.

    A step may run on half of the workers. Workers are identified by index, so
    that their permits stay the same when they restart under another name.

    Parameters
    ----------
    worker_count : int
    """

    def __init__(self, worker_count: int) -> None:
        """Start without known workers."""
        self.index_by_name: dict[str, int] = {}
        self._worker_count = worker_count
        self._lock_by_lane: defaultdict[int, asyncio.Lock] = defaultdict(
            asyncio.Lock
        )
        self._waiting_by_lane: Counter[int] = Counter()

    def permits(self, step_key: str, index: int) -> bool:
        """Whether the worker of an index may run a step."""
        random = Random(zlib.crc32(step_key.encode()))
        return index in random.sample(
            range(self._worker_count),
            self._worker_count // 2,
        )

    async def serve(self, request: Request) -> Response:
        """Answer an advice request; each lane has its own port."""
        lane = request.scope['server'][1]
        body = json.loads(await request.read() or b'{}')
        permitted = await self.decide(lane, body['phase'], body['workers'])
        if permitted is None:
            return json_response(429)
        return json_response(
            200, {'good': permitted, 'valid_ms': ADVICE['valid_ms']}
        )

    async def decide(
        self,
        lane: int,
        step_key: str,
        names: list[str],
    ) -> list[tuple[str, str]] | None:
        """Return the permitted workers of a step with their tickets.

        Returns None if too many requests of the lane are pending.
        """
        if self._waiting_by_lane[lane] >= MAX_WAITING:
            return None
        self._waiting_by_lane[lane] += 1
        try:
            async with self._lock_by_lane[lane]:
                duration = ADVICE['decide_ms'] + ADVICE['each_ms'] * len(names)
                await asyncio.sleep(duration / _MILLIS)
        finally:
            self._waiting_by_lane[lane] -= 1
        return [
            (name, make_ticket(step_key, name))
            for name in names
            if name in self.index_by_name
            and self.permits(step_key, self.index_by_name[name])
        ]


def make_ticket(step_key: str, name: str) -> str:
    """Return a ticket for a step on a worker, valid from now on."""
    until = time.monotonic() + ADVICE['valid_ms'] / _MILLIS
    return f'{step_key} {name} {until}'


def is_ticket_valid(ticket: str, step_key: str, name: str) -> bool:
    """Whether a ticket is for this step and worker, and has not expired."""
    prefix, _, until = ticket.rpartition(' ')
    return prefix == f'{step_key} {name}' and time.monotonic() <= float(until)
