"""The advice service of a simulated cell, which issues tickets."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

from orchidrail.types import Seconds, WorkerId
from orchidrail.workers.port import Advice
from standins.model.load import DrawnJob


class AdviceService:
    """Answers advice requests after a simulated latency.

    Parameters
    ----------
    find_job : callable
        Returns the drawn job of a job id.
    one_way_latency : float
        Network latency of a call in one direction, seconds.
    """

    def __init__(
        self,
        find_job: Callable[[str], DrawnJob],
        one_way_latency: Seconds,
    ) -> None:
        """Start with no request made."""
        self._find_job = find_job
        self._one_way_latency = one_way_latency

    async def ask(
        self,
        lane: str,
        step_key: str,
        workers: list[WorkerId],
        timeout: Seconds,
    ) -> Advice | None:
        """Return tickets for the workers that may run a step."""
        queue = self._find_job(step_key.partition('.')[0]).queue
        base, per_worker, valid = queue.advice or (0, 0, 0)
        duration = 2 * self._one_way_latency + base + per_worker * len(workers)
        await asyncio.sleep(duration)
        until = asyncio.get_running_loop().time() + valid
        tickets = {
            worker: str(until)
            for worker in workers
            if approved(step_key, worker, queue.good)
        }
        return Advice(tickets, valid)


def approved(step_key: str, worker: WorkerId, good: float) -> bool:
    """Whether a worker may run a step; constant for the pair."""
    digest = zlib.crc32(f'{step_key}/{worker}'.encode())
    return digest % 1000 < good * 1000


def ticket_is_valid(ticket: str, now: Seconds) -> bool:
    """Whether a start with this ticket is accepted now."""
    return bool(ticket) and now <= float(ticket)
