"""Which tasks of a waiting step their tenant's limit allows to start."""

from __future__ import annotations

import math

from orchidrail.shard.placement_pass import PlacementPass, WaitingStep
from orchidrail.shard.tenant_ledger import TenantLedger
from orchidrail.types import Seconds
from orchidrail.work.step import StepState, Task, longest_waiting_first

#: Maximum time for which work waits for a gang of its tenant that would not fit
#: the limit even so. It leaves 2 s of the 3 s for which work that could run may
#: make no progress to other causes.
_MAX_SAVING_IN_VAIN: Seconds = 1.0


class LimitGate:
    """Applies the limits of the tenants in a placement pass.

    Parameters
    ----------
    ledger : TenantLedger
    """

    def __init__(self, ledger: TenantLedger) -> None:
        """Store the ledger of what each tenant uses."""
        self._ledger = ledger

    def allowed(
        self, waiting: WaitingStep, this_pass: PlacementPass
    ) -> list[Task]:
        """Return the tasks that their tenant's limit allows to start.

        Work that is not urgent does not go ahead of a gang of the same tenant
        that needs most of the limit: otherwise that much of the limit would
        never be free at once. It does once it has waited for a while without
        use: while the tenant's urgent work uses too much, the gang doesn't fit
        whatever else waits.
        """
        step = waiting.step
        tenant = step.job.tenant.name
        tasks = waiting.tasks
        if this_pass.workers.overdue(step):
            # Otherwise a task that fails repeatedly would always start before
            # the other tasks of its step.
            tasks = longest_waiting_first(tasks)
        in_limit: list[Task] = []
        if tenant not in this_pass.tenants_saving_limit or step.job.urgent:
            in_limit = self._ledger.within_limit(step, tasks)
            if not in_limit and self._saves_limit(step, this_pass.now):
                this_pass.tenants_saving_limit.add(tenant)
        if not in_limit:
            this_pass.workers.note_limit_reached(step)
        return in_limit

    def _saves_limit(self, step: StepState, now: Seconds) -> bool:
        """Whether other work of its tenant waits for a step above the limit."""
        if not self._ledger.needs_most_of_limit(step):
            return False
        if self._ledger.fits_once_others_end(step):
            step.over_limit_since = math.inf
            return True
        step.over_limit_since = min(step.over_limit_since, now)
        return now - step.over_limit_since < _MAX_SAVING_IN_VAIN
