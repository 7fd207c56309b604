"""Periodic exchanges with peers, and what a daemon tells of itself."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from result import Ok

from orchidrail.bundles.records import Snapshot
from orchidrail.types import Address, Seconds
from orchidrail.wire.messages import (
    BundleSnapshot,
    FetchBundle,
    Gossip,
    MemberState,
    Message,
)

if TYPE_CHECKING:
    from orchidrail.scheduler.daemon import SchedulerDaemon

#: Peers told in each period.
_FANOUT = 1
#: Periods between two exchanges with another zone.
_FOREIGN_PERIODS = 4
_TIMEOUT: Seconds = 1


class WorkerStatus(msgspec.Struct, rename='camel'):
    """Status of one held worker."""

    epoch: int
    load: float
    tasks: int
    open: bool


class DaemonStatus(msgspec.Struct, rename='camel'):
    """Status of one scheduler, as operators see it."""

    name: str
    zone: str
    bundle: int
    log_connected: bool
    leaving: bool
    queued: int
    members: list[str]
    workers: dict[str, WorkerStatus]
    open_jobs: int
    owned_jobs: int
    broken_invariants: int


class Gossiper:
    """Exchanges news with a few peers in each period."""

    def __init__(self, daemon: SchedulerDaemon) -> None:
        """Belong to a daemon."""
        self._daemon = daemon
        self._period = 0

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            await self.exchange()
            await asyncio.sleep(self._daemon.settings.timings.gossip)

    async def exchange(self) -> None:
        """Exchange news with a few peers, now and then with another zone."""
        self._beat()
        self._period += 1
        targets = self._pick(self._peer_addresses(), _FANOUT)
        if self._period % _FOREIGN_PERIODS == 0:
            foreign = list(self._daemon.settings.foreign_seeds)
            targets.extend(self._pick(foreign, 1))
        await asyncio.gather(*(self._talk(target) for target in targets))
        await self._catch_up()

    async def exchange_with_all(self) -> None:
        """Tell every known peer at once, as before a planned stop."""
        self._beat()
        targets = self._peer_addresses()
        await asyncio.gather(*(self._talk(target) for target in targets))

    def answer(self, message: Gossip) -> Message:
        """Take a peer's news and return one's own."""
        self._take(message)
        return self._news()

    def status_document(self) -> str:
        """Return the daemon's status as JSON."""
        daemon = self._daemon
        now = daemon.ports.clock()
        status = DaemonStatus(
            name=daemon.name,
            zone=daemon.settings.zone,
            bundle=daemon.bundle.version,
            log_connected=daemon.bundle_follower.connected,
            leaving=daemon.members.me.leaving,
            queued=len(daemon.engine.queue),
            members=list(daemon.members.alive(now)),
            workers={
                worker: WorkerStatus(
                    held.lease.epoch,
                    round(held.place.load, 3),
                    len(held.place.ledger),
                    held.place.open,
                )
                for worker, held in daemon.keeper.held_by_worker.items()
            },
            open_jobs=len(daemon.book.open_jobs),
            owned_jobs=len(daemon.runner.owned_by_job),
            broken_invariants=daemon.invariants.broken,
        )
        return msgspec.json.encode(status).decode()

    def _beat(self) -> None:
        daemon = self._daemon
        me = daemon.members.me
        daemon.members.me = msgspec.structs.replace(
            me,
            beat=me.beat + 1,
            bundle=daemon.bundle.version,
            queued=len(daemon.engine.queue),
            held=len(daemon.keeper.held_by_worker),
            largest_free=daemon.engine.shard.largest_free(),
            largest_open=daemon.engine.shard.largest_open(),
        )
        self._tell_engine()

    def _tell_engine(self) -> None:
        """Let decisions know what the peers could take."""
        daemon = self._daemon
        peers = daemon.members.peers(daemon.ports.clock())
        daemon.engine.peer_shapes = [
            peer.largest_open for peer in peers if not peer.leaving
        ]

    def _peer_addresses(self) -> list[Address]:
        daemon = self._daemon
        now = daemon.ports.clock()
        known = {peer.address for peer in daemon.members.peers(now)}
        known.update(daemon.settings.seeds)
        known.discard(daemon.members.me.address)
        return sorted(known)

    def _pick(self, addresses: list[Address], count: int) -> list[Address]:
        wanted = min(count, len(addresses))
        return self._daemon.ports.random.sample(addresses, wanted)

    async def _talk(self, target: Address) -> None:
        answer = await self._daemon.ports.transport.call(
            target,
            self._news(),
            _TIMEOUT,
        )
        if isinstance(answer, Ok) and isinstance(answer.ok_value, Gossip):
            self._take(answer.ok_value)

    def _news(self) -> Gossip:
        daemon = self._daemon
        now = daemon.ports.wall_clock()
        daemon.members.summarise(now, len(daemon.fleet.by_worker))
        return daemon.members.exchange()

    def _take(self, news: Gossip) -> None:
        daemon = self._daemon
        daemon.members.take(news, daemon.ports.clock())
        self._tell_engine()
        for worker in news.leaving:
            if worker in daemon.fleet.by_worker:
                daemon.fleet.hint_leaving(worker)

    async def _catch_up(self) -> None:
        """Get a newer bundle that a peer told of, from the log or the peer."""
        daemon = self._daemon
        newest = daemon.members.newest_bundle(daemon.ports.clock())
        if newest is None or not self._is_newer(newest):
            return
        daemon.bundle_follower.poke()
        question = FetchBundle(newer_than=daemon.bundle.version)
        answer = await daemon.ports.transport.call(
            newest.address,
            question,
            _TIMEOUT,
        )
        if isinstance(answer, Ok):
            self._adopt(answer.ok_value)

    def _is_newer(self, peer: MemberState) -> bool:
        return peer.bundle > self._daemon.bundle.version

    def _adopt(self, answer: Message) -> None:
        if not isinstance(answer, BundleSnapshot):
            return
        try:
            snapshot = msgspec.json.decode(answer.document, type=Snapshot)
        except msgspec.MsgspecError:
            return
        self._daemon.bundle.adopt(snapshot, answer.offset)
