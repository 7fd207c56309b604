"""Periodic gossip with peers, and the status of a daemon."""

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

#: Peers contacted in each period.
_FANOUT = 1
#: Gossip periods between two exchanges with another zone.
_FOREIGN_EXCHANGE_PERIODS = 4
_CALL_TIMEOUT: Seconds = 1


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
    """Exchanges gossip with a few peers in each period."""

    def __init__(self, daemon: SchedulerDaemon) -> None:
        """Create a gossiper for a daemon."""
        self._daemon = daemon
        self._period = 0

    async def run(self) -> None:
        """Exchange gossip periodically until cancelled."""
        while True:
            await self.exchange()
            await asyncio.sleep(self._daemon.settings.timings.gossip)

    async def exchange(self) -> None:
        """Exchange gossip with a few peers, at times with another zone."""
        self._update_own_state()
        self._period += 1
        targets = self._sample_addresses(self._peer_addresses(), _FANOUT)
        if self._period % _FOREIGN_EXCHANGE_PERIODS == 0:
            foreign = list(self._daemon.settings.foreign_seeds)
            targets.extend(self._sample_addresses(foreign, 1))
        await asyncio.gather(
            *(self._exchange_with(target) for target in targets)
        )
        await self._catch_up()

    async def exchange_with_all(self) -> None:
        """Exchange gossip with all known peers, as before a planned stop."""
        self._update_own_state()
        targets = self._peer_addresses()
        await asyncio.gather(
            *(self._exchange_with(target) for target in targets)
        )

    def answer(self, message: Gossip) -> Message:
        """Apply a peer's gossip and return this scheduler's."""
        self._apply_gossip(message)
        return self._outgoing_gossip()

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

    def _update_own_state(self) -> None:
        daemon = self._daemon
        own_state = daemon.members.me
        daemon.members.me = msgspec.structs.replace(
            own_state,
            beat=own_state.beat + 1,
            bundle=daemon.bundle.version,
            queued=len(daemon.engine.queue),
            held=len(daemon.keeper.held_by_worker),
            largest_free=daemon.engine.shard.largest_free(),
            largest_open=daemon.engine.shard.largest_open(),
        )
        self._update_peer_shapes()

    def _update_peer_shapes(self) -> None:
        """Pass the largest shapes that peers can place to the engine."""
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

    def _sample_addresses(
        self, addresses: list[Address], count: int
    ) -> list[Address]:
        sample_size = min(count, len(addresses))
        return self._daemon.ports.random.sample(addresses, sample_size)

    async def _exchange_with(self, target: Address) -> None:
        answer = await self._daemon.ports.transport.call(
            target,
            self._outgoing_gossip(),
            _CALL_TIMEOUT,
        )
        if isinstance(answer, Ok) and isinstance(answer.ok_value, Gossip):
            self._apply_gossip(answer.ok_value)

    def _outgoing_gossip(self) -> Gossip:
        daemon = self._daemon
        now = daemon.ports.wall_clock()
        daemon.members.summarise(now, len(daemon.fleet.by_worker))
        return daemon.members.exchange()

    def _apply_gossip(self, gossip: Gossip) -> None:
        daemon = self._daemon
        daemon.members.take(gossip, daemon.ports.clock())
        self._update_peer_shapes()
        for worker in gossip.leaving:
            if worker in daemon.fleet.by_worker:
                daemon.fleet.hint_leaving(worker)

    async def _catch_up(self) -> None:
        """Fetch a newer bundle that a peer has, from the log or the peer."""
        daemon = self._daemon
        newest = daemon.members.newest_bundle(daemon.ports.clock())
        if newest is None or not self._is_newer(newest):
            return
        daemon.bundle_follower.poke()
        request = FetchBundle(newer_than=daemon.bundle.version)
        answer = await daemon.ports.transport.call(
            newest.address,
            request,
            _CALL_TIMEOUT,
        )
        if isinstance(answer, Ok):
            self._adopt_bundle(answer.ok_value)

    def _is_newer(self, peer: MemberState) -> bool:
        return peer.bundle > self._daemon.bundle.version

    def _adopt_bundle(self, answer: Message) -> None:
        if not isinstance(answer, BundleSnapshot):
            return
        try:
            snapshot = msgspec.json.decode(answer.document, type=Snapshot)
        except msgspec.MsgspecError:
            return
        self._daemon.bundle.adopt(snapshot, answer.offset)
