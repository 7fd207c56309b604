"""Which workers may run a step, as far as its service has said."""

from __future__ import annotations

from orchidrail.types import Seconds, WorkerId


class Permits:
    """What is known of who may run one step.

    Whether a worker may run a step never changes; its ticket runs out.
    """

    def __init__(self) -> None:
        """Know nothing."""
        #: Workers of which the service has said whether they may run it.
        self.checked: set[WorkerId] = set()
        #: Those of them that may.
        self.permitted: set[WorkerId] = set()
        self.ticket_by_worker: dict[WorkerId, str] = {}
        self.valid_until_by_worker: dict[WorkerId, Seconds] = {}
        #: Calls about the step that are under way.
        self.calls_in_flight = 0

    def record_advice(
        self,
        asked: list[WorkerId],
        ticket_by_worker: dict[WorkerId, str],
        valid_until: Seconds,
    ) -> None:
        """Take the answer to a question about the workers `asked`."""
        self.checked.update(asked)
        self.permitted.update(ticket_by_worker)
        for worker, ticket in ticket_by_worker.items():
            self.ticket_by_worker[worker] = ticket
            self.valid_until_by_worker[worker] = valid_until

    def has_valid_ticket(self, worker: WorkerId, now: Seconds) -> bool:
        """Whether the worker's ticket still holds."""
        return self.valid_until_by_worker.get(worker, 0) > now

    def drop_ticket(self, worker: WorkerId) -> None:
        """Forget a ticket that was refused."""
        self.valid_until_by_worker.pop(worker, None)
