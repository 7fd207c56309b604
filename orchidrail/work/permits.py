"""Which workers may run a step, according to the advice service."""

from __future__ import annotations

from orchidrail.types import Seconds, WorkerId


class Permits:
    """The checked and permitted workers of one step, and their tickets.

    Whether a worker is permitted never changes, but its ticket expires.
    """

    def __init__(self) -> None:
        """Start without checked workers."""
        #: Workers on which the service has given advice.
        self.checked: set[WorkerId] = set()
        #: Checked workers that may run the step.
        self.permitted: set[WorkerId] = set()
        self.ticket_by_worker: dict[WorkerId, str] = {}
        self.valid_until_by_worker: dict[WorkerId, Seconds] = {}
        #: Advice requests for the step without a reply.
        self.calls_in_flight = 0

    def record_advice(
        self,
        asked: list[WorkerId],
        ticket_by_worker: dict[WorkerId, str],
        valid_until: Seconds,
    ) -> None:
        """Record the reply to a request about the workers `asked`."""
        self.checked.update(asked)
        self.permitted.update(ticket_by_worker)
        for worker, ticket in ticket_by_worker.items():
            self.ticket_by_worker[worker] = ticket
            self.valid_until_by_worker[worker] = valid_until

    def has_valid_ticket(self, worker: WorkerId, now: Seconds) -> bool:
        """Whether a worker's ticket is valid at `now`."""
        return self.valid_until_by_worker.get(worker, 0) > now

    def drop_ticket(self, worker: WorkerId) -> None:
        """Drop a ticket that was rejected."""
        self.valid_until_by_worker.pop(worker, None)
