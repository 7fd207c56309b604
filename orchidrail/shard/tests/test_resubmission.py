"""Test of a job that is withdrawn and then submitted again under the same id.

Guards against a resubmitted job that is reported as cancelled right after it
was accepted. While the journal does not respond, the first submission is
withdrawn and rejected; the second is accepted when the journal responds again.
The start of the first submission, which had also waited for the journal, must
not take the run of the second for its own, as both have the same run key, and
must not write the end of the withdrawn job under the shared id.
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


class ResubmissionTest(FleetTestCase):
    def test_withdrawn_submission_does_not_end_its_resubmission(self) -> None:
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
