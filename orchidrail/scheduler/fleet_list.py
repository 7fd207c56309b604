"""The zone's instances, from the platform's list and from hints."""

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

    A worker counts as leaving from the first source that says so, and as gone
    when the list has lacked it for `grace` seconds of successful readings.
    """

    def __init__(
        self,
        ports: Ports,
        zone: ZoneId,
        interval: Seconds,
        grace: Seconds,
        on_change: Callable[[], None],
    ) -> None:
        """Start with an empty list."""
        self.by_worker: dict[WorkerId, Instance] = {}
        self.connected = False
        self._ports = ports
        self._zone = zone
        self._interval = interval
        self._grace = grace
        self._on_change = on_change
        self._missing_since: dict[WorkerId, Seconds] = {}
        self._hinted: set[WorkerId] = set()
        self._draining: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._interval)

    async def refresh(self) -> None:
        """Read the list once."""
        listed = await self._ports.instances.fetch(self._zone)
        self.connected = isinstance(listed, Ok)
        if isinstance(listed, Ok):
            self._take(listed.ok_value)
            self._on_change()

    def is_leaving(self, worker: WorkerId) -> bool:
        """Tell whether a worker must get no new work."""
        instance = self.by_worker.get(worker)
        listed = instance is None or instance.state is InstanceState.LEAVING
        return listed or worker in self._hinted or worker in self._draining

    def is_gone(self, worker: WorkerId) -> bool:
        """Tell whether the platform has switched a worker off for good."""
        if worker in self.by_worker:
            return False
        since = self._missing_since.get(worker)
        if since is None:
            return False
        return self._ports.clock() - since >= self._grace

    def hint_leaving(self, worker: WorkerId) -> None:
        """Take a worker's, peer's or operator's word that it is leaving."""
        if worker not in self._hinted:
            self._hinted.add(worker)
            self._on_change()

    def set_draining(self, workers: frozenset[str]) -> None:
        """Learn which workers the bundle wants emptied."""
        self._draining = workers
        self._on_change()

    def note_unlisted(self, worker: WorkerId) -> None:
        """Start to count how long a worker named elsewhere is missing."""
        if worker not in self.by_worker and self.connected:
            self._missing_since.setdefault(worker, self._ports.clock())

    def _take(self, listed: list[Instance]) -> None:
        now = self._ports.clock()
        found = {instance.name: instance for instance in listed}
        for worker in self.by_worker.keys() - found.keys():
            self._missing_since.setdefault(worker, now)
        for worker in found:
            self._missing_since.pop(worker, None)
        self.by_worker = found
