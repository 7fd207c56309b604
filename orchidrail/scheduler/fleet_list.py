"""The zone's instances, from the platform's list and leave notices."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from orchidrail.logservice.ports import Instance
from orchidrail.types import InstanceState, Seconds, WorkerId, ZoneId

if TYPE_CHECKING:
    from collections.abc import Callable

    from orchidrail.scheduler.ports import Ports


class FleetList:
    """Which workers the zone has, and which of them are leaving or gone.

    A worker is leaving as soon as any source reports it, and gone once it has
    been missing from the list for `grace` seconds of successful reads.
    """

    def __init__(
        self,
        ports: Ports,
        zone: ZoneId,
        interval: Seconds,
        grace: Seconds,
        on_change: Callable[[], None],
    ) -> None:
        """Create an empty list."""
        self.by_worker: dict[WorkerId, Instance] = {}
        self.connected = False
        self._ports = ports
        self._zone = zone
        self._poll_interval = interval
        self._gone_grace = grace
        self._on_change = on_change
        self._missing_since: dict[WorkerId, Seconds] = {}
        self._hinted_leaving: set[WorkerId] = set()
        self._draining: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._poll_interval)

    async def refresh(self) -> None:
        """Read the list once."""
        listed = await self._ports.instances.fetch(self._zone)
        self.connected = isinstance(listed, Ok)
        if isinstance(listed, Ok):
            self._apply_listing(listed.ok_value)
            self._on_change()

    def is_leaving(self, worker: WorkerId) -> bool:
        """Return whether a worker must get no new work."""
        instance = self.by_worker.get(worker)
        listed = instance is None or instance.state is InstanceState.LEAVING
        return (
            listed or worker in self._hinted_leaving or worker in self._draining
        )

    def is_gone(self, worker: WorkerId) -> bool:
        """Return whether the platform has removed a worker permanently."""
        if worker in self.by_worker:
            return False
        since = self._missing_since.get(worker)
        if since is None:
            return False
        return self._ports.clock() - since >= self._gone_grace

    def hint_leaving(self, worker: WorkerId) -> None:
        """Mark a worker as leaving, as it, a peer or an operator reports."""
        if worker not in self._hinted_leaving:
            self._hinted_leaving.add(worker)
            self._on_change()

    def set_draining(self, workers: frozenset[str]) -> None:
        """Set the workers that the bundle lists as draining."""
        self._draining = workers
        self._on_change()

    def note_unlisted(self, worker: WorkerId) -> None:
        """Record when a worker known from elsewhere is first unlisted."""
        if worker not in self.by_worker and self.connected:
            self._missing_since.setdefault(worker, self._ports.clock())

    def _apply_listing(self, listed: list[Instance]) -> None:
        now = self._ports.clock()
        found = {instance.name: instance for instance in listed}
        for worker in self.by_worker.keys() - found.keys():
            self._missing_since.setdefault(worker, now)
        for worker in found:
            self._missing_since.pop(worker, None)
        self.by_worker = found
