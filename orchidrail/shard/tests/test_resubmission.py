"""A job that was withdrawn, and is handed in again under its id.

Seen: a job that its caller was told is accepted was shown as cancelled from the
same moment on, though nobody had cancelled it. How it came about: the journal
was silent, so its first submission was withdrawn and refused; the caller came
back as the journal did. Cause: the first submission's start, which had waited
for the journal too, found a run of its own name on its worker, that of the
second, took it for its own, and wrote the end of the withdrawn job under the id
that both have. What proved it: the owner's lines name two placements of run 1,
and `job over` as cancelled with the age of the first; this scene repeats it.
"""

from __future__ import annotations

import asyncio

from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.fleet_case import JOB, FleetTestCase
from orchidrail.store.memory import StoreFault
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.records import JobPhase
from orchidrail.work.tests.test_job import make_job

_PATIENCE = 0.4


class SubmittedAgainTest(FleetTestCase):
    def test_what_was_withdrawn_ends_nothing(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            spec = JobSpec('text', (StepSpec(1),))
            queue = make_job(StepSpec(1)).queue
            self.store.fault = StoreFault.REFUSES
            first = await owner.submit(JOB, queue, spec, _PATIENCE)
            self.assertIs(False, first)
            again = asyncio.create_task(owner.submit(JOB, queue, spec, 3))
            await asyncio.sleep(0.05)
            self.store.fault = None
            self.assertIs(True, await again)
            await asyncio.sleep(0.3)
            self.assertIs(JobPhase.RUNNING, owner.phase(JOB))
            self.assertIn(JOB, owner.state.job_by_id)

        self.run_scenario(scenario)
