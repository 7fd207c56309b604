"""The last known boot id of each worker, and boots that have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from orchidrail.jobs.witnesses import Witness
from orchidrail.types import JobId, Seconds, WorkerId
from orchidrail.wire.messages import FenceJob, Refusal, TaskReports

if TYPE_CHECKING:
    from orchidrail.scheduler.fleet_list import FleetList
    from orchidrail.scheduler.ports import Ports

_CALL_TIMEOUT: Seconds = 1


class BootBook:
    """Boot ids that workers report with a lease or when probed."""

    def __init__(self, ports: Ports, fleet: FleetList) -> None:
        """Create an empty record."""
        self._ports = ports
        self._fleet = fleet
        self._boot_by_worker: dict[WorkerId, str] = {}
        self._restarted: set[Witness] = set()

    def note(self, worker: WorkerId, boot: str) -> None:
        """Record the current boot id that a worker itself reported."""
        known = self._boot_by_worker.get(worker, boot)
        if known != boot:
            self._restarted.add(Witness(worker, known))
        self._boot_by_worker[worker] = boot

    def note_restarted(self, worker: WorkerId, boot: str) -> None:
        """Record that a worker has restarted since `boot`."""
        self._restarted.add(Witness(worker, boot))
        if self._boot_by_worker.get(worker) == boot:
            self._boot_by_worker.pop(worker)

    def is_restarted(self, worker: WorkerId, boot: str) -> bool:
        """Return whether a worker is known to have restarted since `boot`.

        The recorded boot id may be older than `boot`, so a difference alone
        proves nothing: the worker itself must have reported the restart.
        """
        return Witness(worker, boot) in self._restarted

    def is_lost(self, worker: WorkerId, boot: str) -> bool:
        """Return whether a boot has ended and the worker's memory is lost."""
        self._fleet.note_unlisted(worker)
        return self.is_restarted(worker, boot) or self._fleet.is_gone(worker)

    async def verify(self, worker: WorkerId, boot: str) -> None:
        """Probe a listed worker for a restart since `boot`."""
        listed = self._fleet.by_worker.get(worker)
        if listed is None:
            return
        probe = FenceJob(job=JobId(''), generation=0, boot=boot)
        answer = await self._ports.transport.call(
            listed.address,
            probe,
            _CALL_TIMEOUT,
        )
        if isinstance(answer, Ok) and isinstance(answer.ok_value, Refusal):
            self.note_restarted(worker, boot)

    async def ask(self, worker: WorkerId) -> Witness | None:
        """Return a listed worker with its current boot id, if it answers."""
        known = self._boot_by_worker.get(worker)
        if known is not None:
            return Witness(worker, known)
        listed = self._fleet.by_worker.get(worker)
        if listed is None:
            return None
        probe = FenceJob(job=JobId(''), generation=0)
        answer = await self._ports.transport.call(
            listed.address,
            probe,
            _CALL_TIMEOUT,
        )
        if not isinstance(answer, Ok):
            return None
        if not isinstance(answer.ok_value, TaskReports):
            return None
        self.note(worker, answer.ok_value.boot)
        return Witness(worker, answer.ok_value.boot)
