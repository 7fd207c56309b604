"""The process on each machine: its parts and how they are joined."""

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
from orchidrail.platform.configuration import CONFIG_KEY, decode_config
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
#: The platform's network is closed to others; daemons need no shared key.
_NO_KEY = ''


class InstanceDaemon:
    """All parts of one process.

    Parameters
    ----------
    settings : InstanceSettings
    """

    def __init__(self, settings: InstanceSettings) -> None:
        """Join the parts; `run` starts them."""
        self.settings = settings
        self.metrics = InstanceMetrics()
        self._caller = HttpCaller()
        self._caller.on_many_unresponsive = self._doubt_connections
        self._caller.on_drop = self._note_drop
        self._transport = TcpTransport(settings.name, _NO_KEY)
        self.me = MemberInfo(
            settings.name,
            settings.peers,
            settings.zone,
            uuid.uuid4().hex,
            settings.speed,
        )
        self.table = PeerTable(self.me, elapsed)
        self._store_caller = RelayedCaller(
            self._call_store,
            StoreRelays(self.table, self._transport, elapsed).call,
            elapsed,
            self._note_store_call,
        )
        self._store = PlatformLog(self._store_caller)
        self._journal = JournalView(self._store, Topic(JOURNAL_NAME))
        self.ownership = Ownership(self.table, self._journal, elapsed)
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
        self._hand_over = ShardHandover(
            self._transport,
            lambda: self.ownership.owner,
        )
        self.ownership.store_answers = self._store_caller.direct_route_works
        self.ownership.hand_over = self._hand_over.hand_over_to
        self.config = ConfigFollower(
            JournalView(self._store, OPERATOR_TOPIC),
            CONFIG_KEY,
            decode_config,
            self.metrics,
            elapsed,
        )
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
            JournalView(self._store, MEMBER_TOPIC),
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
            self._config_is_doubtful,
        )
        self.stopping = False

    def use_settings(self, settings: InstanceSettings) -> None:
        """Use changed settings: the addresses of what is called.

        Where this process listens and who it is stay as they are.
        """
        if settings != self.settings:
            _log.info(
                'settings changed',
                store=settings.store,
                advice=settings.advice,
            )
            self.settings = settings

    def _config_is_doubtful(self) -> bool:
        """Whether callers can't be judged by the configuration known here.

        Where revocation is strict, nobody is served once the store has not
        confirmed it for as long as a key that was taken away may serve;
        elsewhere only a newer one that a peer tells of counts.
        """
        bounds = self.settings.bounds
        if bounds.strict_revocation and (
            self.config.unconfirmed_for() > bounds.revocation
        ):
            return True
        return self.config.is_outdated()

    def ready(self) -> bool:
        """Whether callers' new connections are welcome here."""
        return (
            not self.stopping
            and self.config.current is not None
            and self.ownership.owner_is_live()
            and not self.table.is_partitioned()
            and not self._config_is_doubtful()
        )

    async def run(
        self,
        stack: AsyncExitStack,
        on_failure: Callable[[], object],
    ) -> None:
        """Start all parts; the stack ends them.

        Without one of them the process is of no use: `on_failure` is to end it,
        so that it is started anew.
        """
        stack.push_async_callback(self._caller.close)
        stack.push_async_callback(self._transport.close)
        server = MessageServer(self._service.handle, self._transport.traffic)
        host, _, port = self.settings.peers.rpartition(':')
        await server.start(host, int(port))
        stack.push_async_callback(server.close)
        stack.callback(self._pinger.close)
        parts = BackgroundTasks('part of the process')
        stack.callback(parts.close)
        for work in (
            self.config.run(),
            self._members.run(),
            self._pinger.ping_owner(),
            self._pinger.ping_others(),
            self.ownership.run(),
        ):
            parts.spawn(work, on_failure)

    async def stop(self) -> None:
        """Hand the shard over before this process ends.

        This process goes on deciding until another has taken the shard over,
        which its journal then tells it.
        """
        self.stopping = True
        self.ownership.eligible = False
        peers = sorted(self.table.live_peers(), key=lambda peer: -peer.speed)
        await self._hand_over.hand_over_to(peers)

    def _owner_ports(self) -> OwnerPorts:
        return OwnerPorts(
            JournalView(self._store, WORKER_TOPIC),
            PlatformWorkers(self._caller),
            decode_worker,
            self._ask_advice,
            elapsed,
            time.time,
            self.table.store_unreachable,
            lease_duration(self.settings.bounds.longest_lease),
            self.settings.bounds.stop_takes,
            self.settings.bounds.status_kept,
            self.metrics,
            self.config.services,
            self.config.find_tenant,
        )

    def _doubt_connections(self) -> None:
        owner = self.ownership.owner
        if owner is not None:
            owner.check_connections_soon()

    def _note_drop(self, reason: DropReason) -> None:
        self.metrics.connections_dropped.labels(reason.value).inc()

    def _note_store_call(self, way: str, status: int) -> None:
        self.metrics.store_calls.labels(way, status).inc()

    async def _call_store(self, call: RawCall) -> RawAnswer:
        return await self._caller.call(self.settings.store, call)

    async def _ask_advice(
        self,
        lane: InstanceId,
        step_key: str,
        workers: list[WorkerId],
        timeout: Seconds,
    ) -> Advice | None:
        """Ask by the workers' names; the answer is for the lives asked for."""
        worker_by_name = {
            split_incarnation_id(worker)[0]: worker for worker in workers
        }
        names = list(worker_by_name)
        given = await self._ask_by_names(lane, step_key, names, timeout)
        if given is None:
            return None
        ticket_by_worker = {
            worker_by_name[name]: ticket
            for name, ticket in given.ticket_by_name.items()
            if name in worker_by_name
        }
        return Advice(ticket_by_worker, given.valid)

    async def _ask_by_names(
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
        given = outcome.ok_value
        if not isinstance(given, AdviceGiven) or not given.known:
            return None
        tickets = dict(zip(given.workers, given.tickets, strict=True))
        return TicketsByName(tickets, given.valid)
