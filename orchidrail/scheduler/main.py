"""``orchidrail-scheduler``: runs one scheduler until it is signalled."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import AsyncExitStack

import fire
import structlog
from prometheus_client import start_http_server

from orchidrail.clocks import run_program
from orchidrail.process import open_ports, open_transport, start_process
from orchidrail.scheduler.daemon import SchedulerDaemon
from orchidrail.scheduler.reporter import MetricsReporter
from orchidrail.settings import SchedulerSettings
from orchidrail.types import Seconds
from orchidrail.wire.messages import Message
from orchidrail.wire.transport import MessageServer, TcpTransport

#: Time limit of the handover in a planned stop.
_HANDOVER_TIMEOUT: Seconds = 10
_MS_PER_SECOND = 1000
_log = structlog.get_logger()


def run(settings: str) -> None:
    """Run a scheduler.

    Parameters
    ----------
    settings : str
        Path of its settings file, JSON with comments.
    """
    run_program(serve(start_process(settings, SchedulerSettings)))


async def serve(settings: SchedulerSettings) -> None:
    """Serve until SIGTERM or SIGINT, then hand over the workers."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    async with AsyncExitStack() as stack:
        daemon = await _start_daemon(settings, stack)
        running = asyncio.create_task(daemon.run())
        stack.push_async_callback(_cancel_and_wait, running)
        stopped = asyncio.create_task(stopping.wait())
        await asyncio.wait(
            {running, stopped},
            return_when=asyncio.FIRST_COMPLETED,
        )
        _log.info('stopping')
        await daemon.hand_over(_HANDOVER_TIMEOUT)
    _log.info('stopped')


async def _start_daemon(
    settings: SchedulerSettings,
    stack: AsyncExitStack,
) -> SchedulerDaemon:
    transport = open_transport(settings, stack)
    ports = open_ports(settings, transport, stack)
    daemons: list[SchedulerDaemon] = []

    async def handle(message: Message) -> Message:
        return await daemons[0].handle(message)

    server = MessageServer(handle, transport.traffic, settings.cluster_key)
    host, port = settings.listen.rsplit(':', 1)
    address = await server.start(host, int(port))
    stack.push_async_callback(server.close)
    incarnation = int(time.time() * _MS_PER_SECOND)
    daemon = SchedulerDaemon(settings, ports, address, incarnation)
    daemons.append(daemon)
    _serve_metrics(settings, daemon, transport, stack)
    _log.info('ready', address=address)
    return daemon


def _serve_metrics(
    settings: SchedulerSettings,
    daemon: SchedulerDaemon,
    transport: TcpTransport,
    stack: AsyncExitStack,
) -> None:
    if not settings.metrics:
        return
    reporter = MetricsReporter(daemon, transport.traffic)
    host, port = settings.metrics.rsplit(':', 1)
    server, _ = start_http_server(int(port), host, reporter.metrics.registry)
    stack.callback(server.shutdown)
    reporting = asyncio.create_task(reporter.run())
    stack.callback(reporting.cancel)


async def _cancel_and_wait(running: asyncio.Task[None]) -> None:
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


def main() -> None:
    """Read the command line."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
