"""The process on each instance: creates its components and connects them."""

from __future__ import annotations

import random
import time
import uuid
from collections.abc import Callable
from contextlib import AsyncExitStack

import structlog
from result import Ok

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.clocks import elapsed
from orchidrail.evacuation import EvacuationFollower, ZoneGate
from orchidrail.ingress.authentication import CallAuthenticator
from orchidrail.ingress.job_forwarder import JobForwarder
from orchidrail.instance.config_follower import ConfigFollower
from orchidrail.instance.handover import ShardHandover
from orchidrail.instance.ownership import Ownership
from orchidrail.instance.peer_service import PeerService
from orchidrail.instance.settings import InstanceSettings
from orchidrail.instance.store_relays import RELAY_SLACK, StoreRelays
from orchidrail.journal import JournalView
from orchidrail.metrics import InstanceMetrics
from orchidrail.peers.members import MemberList
from orchidrail.peers.pinger import Pinger
from orchidrail.peers.table import PeerTable
from orchidrail.platform.configuration import (
    CONFIG_KEY,
    decode_config,
    find_evacuated_zones,
)
from orchidrail.platform.documents import decode_worker
from orchidrail.platform.http_calls import DropReason, HttpCaller
from orchidrail.platform.store_log import (
    JOURNAL_NAME,
    MEMBER_TOPIC,
    OPERATOR_TOPIC,
    WORKER_TOPIC,
    PlatformLog,
)
from orchidrail.platform.worker_calls import PlatformAdvice, PlatformWorkers
from orchidrail.shard.lease_timing import lease_duration
from orchidrail.shard.owner import OwnerPorts
from orchidrail.store import Topic
from orchidrail.store.relay import RawAnswer, RawCall, RelayedCaller
from orchidrail.types import InstanceId, Seconds, WorkerId, WorkerName
from orchidrail.wire.messages import (
    AdviceGiven,
    AskAdvice,
)
from orchidrail.wire.transport import MessageServer, TcpTransport
from orchidrail.work.model import MemberInfo
from orchidrail.workers.incarnations import split_incarnation_id
from orchidrail.workers.port import Advice, TicketsByName

_log = structlog.get_logger()
#: The platform's network is private, so the daemons need no shared key.
_NO_CLUSTER_KEY = ''


class InstanceDaemon:
    """All components of one process.

    Parameters
    ----------
    settings : InstanceSettings
    """

    def __init__(self, settings: InstanceSettings) -> None:
        """Create and connect the components; `run` starts them."""
        self.settings = settings
        self.metrics = InstanceMetrics()
        self._caller = HttpCaller()
        self._caller.on_many_unresponsive = self._check_connections_soon
        self._caller.on_drop = self._count_drop
        self._transport = TcpTransport(settings.name, _NO_CLUSTER_KEY)
        self.me = MemberInfo(
            settings.name,
            settings.peers,
            settings.zone,
            uuid.uuid4().hex,
            settings.speed,
            settings.link,
        )
        self.table = PeerTable(self.me, elapsed)
        self._store_caller = RelayedCaller(
            self._call_store,
            StoreRelays(self.table, self._transport, elapsed).call,
            elapsed,
            self._count_store_call,
        )
        self._store = PlatformLog(self._store_caller)
        self._journal = JournalView(self._store, Topic(JOURNAL_NAME))
        self.ownership = Ownership(
            self.table, self._journal, elapsed, settings.store_limits
        )
        self._pinger = Pinger(
            self.table,
            self._transport,
            self.ownership.describe,
            random.Random(),
            elapsed,
        )
        self._advice = PlatformAdvice(
            self._caller,
            lambda: self.settings.advice,
        )
        self.ownership.pinger = self._pinger
        self._pinger.is_standby = self.ownership.is_standby
        self._handover = ShardHandover(
            self._transport,
            lambda: self.ownership.owner,
        )
        self.ownership.store_answers = self._store_caller.direct_route_works
        self.ownership.handover = self._handover.hand_over_to
        self.config = ConfigFollower(
            JournalView(self._store, OPERATOR_TOPIC, splits_values=False),
            CONFIG_KEY,
            decode_config,
            self.metrics,
            elapsed,
        )
        self.evacuation = EvacuationFollower(
            ZoneGate(elapsed, settings.bounds.evacuation),
            find_evacuated_zones,
            self.metrics,
        )
        self.config.on_read = self.evacuation.on_read
        self.table.on_operator_records = self.evacuation.on_peer
        if settings.bounds.evacuation:
            self.ownership.evacuated = lambda: self.evacuation.gate.snapshot
        self.table.on_config_version = self.config.observe_version
        self.ownership.config_version = lambda: self.config.version
        self.ownership.ports = self._owner_ports()
        self._service = PeerService(
            self.table,
            self.ownership,
            self._call_store,
            self._advice,
        )
        self._members = MemberList(
            JournalView(self._store, MEMBER_TOPIC, splits_values=False),
            self.table,
        )
        self.forwarder = JobForwarder(
            self.table,
            self._transport,
            self._journal,
            self._service.handle,
            lambda: self.ownership.owner,
            elapsed,
            self.metrics,
        )
        self.authenticator = CallAuthenticator(
            lambda: self.config.current,
            elapsed,
            self.metrics,
            self._config_is_uncertain,
        )
        self.stopping = False

    def use_settings(self, settings: InstanceSettings) -> None:
        """Apply changed settings: the addresses of the services called.

        The name and the listening addresses of this process do not change.
        """
        if settings != self.settings:
            _log.info(
                'settings changed',
                store=settings.store,
                advice=settings.advice,
            )
            self.settings = settings

    def _config_is_uncertain(self) -> bool:
        """Whether callers can't be authenticated by the configuration here.

        With strict revocation, nobody is served once the store has not
        confirmed the configuration for as long as a revoked key may be
        accepted; otherwise only a newer version reported by a peer counts.
        """
        bounds = self.settings.bounds
        if bounds.strict_revocation and (
            self.config.time_since_confirmed() > bounds.revocation
        ):
            return True
        return self.config.is_outdated()

    def ready(self) -> bool:
        """Whether this process accepts new connections of callers."""
        return (
            not self.stopping
            and self.config.current is not None
            and self.ownership.owner_is_live()
            and not self.table.is_partitioned()
            and not self._config_is_uncertain()
        )

    async def run(
        self,
        stack: AsyncExitStack,
        on_failure: Callable[[], object],
    ) -> None:
        """Start all components; the stack stops them.

        The process can't work without any of them: `on_failure` must stop it,
        so that it is restarted.
        """
        stack.push_async_callback(self._caller.close)
        stack.push_async_callback(self._transport.close)
        server = MessageServer(self._service.handle, self._transport.traffic)
        host, _, port = self.settings.peers.rpartition(':')
        await server.start(host, int(port))
        stack.push_async_callback(server.close)
        stack.callback(self._pinger.close)
        components = BackgroundTasks('part of the process')
        stack.callback(components.close)
        for work in (
            self.config.run(),
            self._members.run(),
            self._pinger.ping_owner(),
            self._pinger.ping_others(),
            self.ownership.run(),
        ):
            components.spawn(work, on_failure)

    async def stop(self) -> None:
        """Hand the shard over before this process stops.

        This process remains the owner until its journal shows that another one
        has taken the shard over.
        """
        self.stopping = True
        self.ownership.eligible = False
        peers = sorted(self.table.live_peers(), key=lambda peer: -peer.speed)
        await self._handover.hand_over_to(peers)

    def _owner_ports(self) -> OwnerPorts:
        return OwnerPorts(
            JournalView(self._store, WORKER_TOPIC, splits_values=False),
            PlatformWorkers(self._caller),
            decode_worker,
            self._request_advice,
            elapsed,
            time.time,
            self.table.store_unreachable,
            lease_duration(self.settings.bounds.longest_lease),
            self.settings.bounds.stop_takes,
            self.settings.bounds.status_kept,
            self.metrics,
            self.config.services,
            self.config.find_tenant,
            self.evacuation.gate,
            self.settings.bounds.restore_takes,
            self.settings.preemption,
        )

    def _check_connections_soon(self) -> None:
        owner = self.ownership.owner
        if owner is not None:
            owner.check_connections_soon()

    def _count_drop(self, reason: DropReason) -> None:
        self.metrics.connections_dropped.labels(reason.value).inc()

    def _count_store_call(self, route: str, status: int) -> None:
        self.metrics.store.calls.labels(route, status).inc()

    async def _call_store(self, call: RawCall) -> RawAnswer:
        return await self._caller.call(self.settings.store, call)

    async def _request_advice(
        self,
        lane: InstanceId,
        step_key: str,
        workers: list[WorkerId],
        timeout: Seconds,
    ) -> Advice | None:
        """Request advice by worker name; map it to the given incarnations."""
        worker_by_name = {
            split_incarnation_id(worker)[0]: worker for worker in workers
        }
        names = list(worker_by_name)
        advice = await self._request_by_names(lane, step_key, names, timeout)
        if advice is None:
            return None
        ticket_by_worker = {
            worker_by_name[name]: ticket
            for name, ticket in advice.ticket_by_name.items()
            if name in worker_by_name
        }
        return Advice(ticket_by_worker, advice.valid)

    async def _request_by_names(
        self,
        lane: InstanceId,
        step_key: str,
        names: list[WorkerName],
        timeout: Seconds,
    ) -> TicketsByName | None:
        if lane == self.me.name:
            return await self._advice.advise(step_key, names, timeout)
        address = next(
            (
                member.address
                for member in self.table.live_peers()
                if member.name == lane
            ),
            None,
        )
        if address is None:
            return None
        outcome = await self._transport.call(
            address,
            AskAdvice(step_key=step_key, workers=names, timeout=timeout),
            timeout + RELAY_SLACK,
        )
        if not isinstance(outcome, Ok):
            return None
        advice = outcome.ok_value
        if not isinstance(advice, AdviceGiven) or not advice.known:
            return None
        tickets = dict(zip(advice.workers, advice.tickets, strict=True))
        return TicketsByName(tickets, advice.valid)
