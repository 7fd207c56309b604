"""Tests of the session of one owner with one worker."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from testtools import TestCase

from orchidrail.types import Epoch, RunNumber, Seconds, TaskKey
from orchidrail.workers.port import (
    ActiveRun,
    HoldOrder,
    Listing,
    OrderAnswer,
    OrderResult,
    RunEnding,
    RunKey,
    WorkerEntry,
)
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession
from orchidrail.workers.tests.fakes import FakeWorker, make_entry

_KEY = RunKey(TaskKey('j.0.0.0'), RunNumber(1))


class _Observer:
    """Lets the test decide when the listed endings are in the journal."""

    def __init__(self) -> None:
        self.written: asyncio.Future[bool] | None = None
        self.listings: list[Listing] = []
        self.superseded: list[Listing] = []
        self.ended = 0
        self.fenced = 0

    def on_superseded(self, session: WorkerSession, listing: Listing) -> None:
        self.superseded.append(listing)

    def on_listing(
        self,
        session: WorkerSession,
        listing: Listing,
        sent_at: Seconds,
    ) -> list[Awaitable[bool]]:
        self.listings.append(listing)
        if self.written is None or not listing.ended:
            return []
        return [asyncio.shield(self.written)]

    def on_incarnation_ended(self, session: WorkerSession) -> None:
        self.ended += 1

    def on_fenced(self, session: WorkerSession) -> None:
        self.fenced += 1


class _SlowLink(FakeWorker):
    """Worker whose next response is delivered when the test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.delivered = asyncio.Event()
        self.delivered.set()

    async def hold(
        self, entry: WorkerEntry, order: HoldOrder, timeout: Seconds
    ) -> Listing | OrderAnswer:
        delivered = self.delivered
        self.delivered = asyncio.Event()
        self.delivered.set()
        answer = await super().hold(entry, order, timeout)
        await delivered.wait()
        return answer


class SessionTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.worker = FakeWorker()
        self.observer = _Observer()
        self.may_renew = True
        self.now = 50.0
        self.session = WorkerSession(
            make_entry(),
            self.worker,
            Epoch(7),
            RunLease(6, 0),
            self.observer,
            lambda: self.now,
            lambda: self.may_renew,
        )

    def test_an_ending_is_acknowledged_only_when_written(self) -> None:
        async def end() -> None:
            loop = asyncio.get_running_loop()
            self.observer.written = loop.create_future()
            self.worker.end(_KEY, RunEnding.DONE)
            polling = asyncio.create_task(self.session.run())
            await asyncio.sleep(1.2)
            seen = {order.last_seen for order in self.worker.holds}
            self.assertEqual({0}, seen)
            self.assertGreater(len(self.worker.holds), 1)
            self.observer.written.set_result(True)
            await asyncio.sleep(0.05)
            self.assertEqual(1, self.worker.holds[-1].last_seen)
            polling.cancel()

        asyncio.run(end())

    def test_the_lease_is_renewed_on_the_workers_clock(self) -> None:
        async def poll_twice() -> None:
            await self.session._poll()
            await self.session._poll()
            self.assertIsNone(self.worker.holds[0].deadline)
            self.assertEqual(106, self.worker.holds[1].deadline)

        asyncio.run(poll_twice())

    def test_the_lease_of_an_unreachable_worker_expires(self) -> None:
        async def lose_contact() -> None:
            await self.session._poll()
            await self.session._poll()
            self.worker.hold_result = OrderResult.UNKNOWN
            self.now = 55
            await self.session._poll()
            self.assertTrue(self.session.reachable)
            await self.session._poll()
            self.assertFalse(self.session.reachable)
            self.now = 60
            await self.session._poll()
            self.assertFalse(self.session.lease.expired(61))
            self.assertTrue(self.session.lease.expired(62))
            self.assertIsNone(self.worker.holds[-1].deadline)

        asyncio.run(lose_contact())

    def test_without_authority_nothing_is_renewed(self) -> None:
        async def poll_twice() -> None:
            await self.session._poll()
            await self.session._poll()

        self.may_renew = False
        asyncio.run(poll_twice())
        self.assertTrue(self.session.reachable)
        deadlines = [hold.deadline for hold in self.worker.holds]
        self.assertEqual([None, None], deadlines)

    def test_another_incarnation_ends_the_session(self) -> None:
        self.worker.hold_result = OrderResult.OTHER_INCARNATION
        asyncio.run(self.session._poll())
        self.assertTrue(self.session.terminated)
        self.assertEqual(1, self.observer.ended)

    def test_a_newer_owner_is_reported(self) -> None:
        self.worker.hold_result = OrderResult.FENCED
        asyncio.run(self.session._poll())
        self.assertEqual(1, self.observer.fenced)

    def test_acknowledgements_do_not_reach_the_next_incarnation(self) -> None:
        """Its endings are numbered from 1 again, so it would drop new ones."""

        async def run_scenario() -> None:
            await self.session._poll()
            self.worker.end(_KEY, RunEnding.DONE)
            await self.session._poll()
            self.worker.born = 2000
            await self.session._poll()
            self.assertTrue(self.session.terminated)
            polls = len(self.worker.holds)
            await self.session.run()
            self.assertEqual(polls, len(self.worker.holds))

        self.worker.born = 1000
        asyncio.run(run_scenario())
        self.assertEqual(1, self.observer.ended)
        born = [listing.born for listing in self.observer.listings]
        self.assertEqual([1000, 1000], born)

    def test_a_response_after_the_end_of_the_incarnation_is_ignored(
        self,
    ) -> None:
        async def run_scenario() -> None:
            polling = asyncio.create_task(self.session._poll())
            await asyncio.sleep(0)
            self.session.end_incarnation()
            await polling

        asyncio.run(run_scenario())
        self.assertEqual([], self.observer.listings)
        self.assertEqual(1, self.observer.ended)

    def test_a_listing_without_a_start_matches(self) -> None:
        async def run_scenario() -> None:
            for born in (1000, None, 1000):
                self.worker.born = born
                await self.session._poll()

        asyncio.run(run_scenario())
        self.assertFalse(self.session.terminated)

    def test_a_start_reported_later_is_of_another_incarnation(self) -> None:
        """The worker's software was upgraded, which restarts the worker."""

        async def run_scenario() -> None:
            await self.session._poll()
            self.worker.born = 1000
            await self.session._poll()

        asyncio.run(run_scenario())
        self.assertTrue(self.session.terminated)

    def test_orders_fenced_off_by_this_owner_are_late(self) -> None:
        async def run_scenario() -> None:
            await self.session._poll()
            self.session.invalidate_orders()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual(8, self.session.epoch)
            await self.session._poll()
            self.assertEqual(8, self.worker.holds[-1].epoch)
            polling = asyncio.create_task(self.session._poll_once(0))
            await asyncio.sleep(0)
            self.session.invalidate_orders()
            self.worker.hold_result = OrderResult.FENCED
            await polling

        asyncio.run(run_scenario())
        self.assertEqual(0, self.observer.fenced)

    def test_a_listing_overtaken_by_a_newer_one_is_ignored(self) -> None:
        """Two polls overlap, and a lost packet delays the older listing.

        It shows a run as active whose end the newer one has reported. Applied,
        it made the owner take that run for one of a previous owner, and keep
        new work off the worker.
        """

        async def run_scenario() -> None:
            await self._poll_with_delayed_listing()
            self.now += 1
            await self.session._poll()

        self._use_slow_link()
        asyncio.run(run_scenario())
        active = [len(listing.active) for listing in self.observer.listings]
        self.assertEqual([1, 0, 0], active)
        self.assertEqual(1, len(self.observer.superseded))
        self.assertEqual((1, 1), self.session.ending_progress)

    def test_of_listings_with_equal_clocks_the_first_counts(self) -> None:
        """The worker's clock has a resolution of milliseconds."""
        self._use_slow_link()
        asyncio.run(self._poll_with_delayed_listing(clock_step=0))
        active = [len(listing.active) for listing in self.observer.listings]
        self.assertEqual([1, 0], active)

    def test_overlapping_listings_in_order_are_applied(self) -> None:
        async def run_scenario() -> None:
            for clock in (100, 100.1):
                listing = Listing(clock, [], [])
                await self.session._handle_listing(listing, sent_at=49.9)

        asyncio.run(run_scenario())
        self.assertEqual(2, len(self.observer.listings))
        self.assertEqual([], self.observer.superseded)

    def test_the_rest_of_the_endings_is_requested_at_once(self) -> None:
        async def poll_twice() -> None:
            await self.session._poll()
            await self.session._poll()
            await self.session._poll()

        self.worker.max_listed_endings = 1
        self.worker.end(_KEY, RunEnding.DONE)
        self.worker.end(_KEY._replace(run=RunNumber(2)), RunEnding.DONE)
        asyncio.run(poll_twice())
        polls = [(hold.last_seen, hold.wait) for hold in self.worker.holds]
        self.assertEqual([(0, 0), (1, 0), (2, 0.8)], polls)

    def _use_slow_link(self) -> None:
        self.worker = _SlowLink()
        self.session._calls = self.worker

    async def _poll_with_delayed_listing(self, clock_step: float = 0.1) -> None:
        """Deliver the listing of one poll after that of a later one."""
        self.worker.active[_KEY] = ActiveRun(_KEY, '', 0)
        await self.session._poll()
        self.now += 0.1
        self.worker.delivered.clear()
        delivered = self.worker.delivered
        older = asyncio.create_task(self.session._poll())
        await asyncio.sleep(0.02)
        self.worker.end(_KEY, RunEnding.DONE)
        self.worker.clock += clock_step
        self.now += 0.1
        await self.session._poll_once(0)
        delivered.set()
        await older
