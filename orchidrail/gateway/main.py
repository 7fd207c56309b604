"""``orchidrail-gateway``: runs one gateway until it is signalled."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack

import fire
import structlog
import uvicorn

from orchidrail.clocks import run_program
from orchidrail.gateway.daemon import GatewayDaemon
from orchidrail.gateway.http_api import HttpApi
from orchidrail.process import open_ports, open_transport, start_process
from orchidrail.settings import GatewaySettings
from orchidrail.sockets import listen

_SHUTDOWN_GRACE_SECONDS = 30
_log = structlog.get_logger()


class _Server(uvicorn.Server):
    """HTTP server meant to leave signals to `serve`.

    Shutdown must also flush pending reports to the schedulers. Versions of
    uvicorn with ``capture_signals`` never call `install_signal_handlers`.
    """

    def install_signal_handlers(self) -> None:
        """Install none, so that the handlers of `serve` stay."""


def run(settings: str) -> None:
    """Run a gateway.

    Parameters
    ----------
    settings : str
        Path of the settings file, JSON with comments.
    """
    run_program(serve(start_process(settings, GatewaySettings)))


async def serve(settings: GatewaySettings) -> None:
    """Serve until SIGTERM or SIGINT, then drain requests in flight."""
    async with AsyncExitStack() as stack:
        transport = open_transport(settings, stack)
        ports = open_ports(settings, transport, stack)
        daemon = GatewayDaemon(settings, ports)
        listener = listen(settings.listen)
        stack.callback(listener.close)
        server = _Server(_server_config(settings, daemon))
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, _stop, server)
        host, port = listener.getsockname()
        _log.info('ready', address=f'{host}:{port}')
        daemon_task = asyncio.create_task(daemon.run())
        stack.callback(daemon_task.cancel)
        await server.serve(sockets=[listener])
        await daemon.client.flush()
        _log.info('stopped')


def _server_config(
    settings: GatewaySettings,
    daemon: GatewayDaemon,
) -> uvicorn.Config:
    return uvicorn.Config(
        HttpApi(daemon).app,
        loop='asyncio',
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=_SHUTDOWN_GRACE_SECONDS,
        ssl_certfile=settings.tls_certificate or None,
        ssl_keyfile=settings.tls_key or None,
    )


def _stop(server: uvicorn.Server) -> None:
    _log.info('stopping')
    server.should_exit = True


def main() -> None:
    """Run the command line interface."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
