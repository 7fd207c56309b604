"""``orchidrail-instance``: runs the process of one instance."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
from collections.abc import Awaitable, Callable, Generator
from contextlib import AsyncExitStack, contextmanager, suppress

import structlog
import uvicorn
from blacksheep import Application

from orchidrail.clocks import elapsed, run_program
from orchidrail.http_handlers import Receive, Scope, Send
from orchidrail.instance.daemon import InstanceDaemon
from orchidrail.instance.metrics_api import metrics_app
from orchidrail.instance.settings import InstanceSettings
from orchidrail.logs import configure_logs
from orchidrail.platform.callers import CallerApi, ReadinessApi
from orchidrail.platform.documents import decode_settings
from orchidrail.sockets import listen
from orchidrail.types import Address, Seconds

_log = structlog.get_logger()
_SETTINGS_VARIABLE = 'ORCHIDRAIL_SETTINGS'
#: Time until the entry point routes no more callers here: it does so after two
#: failed readiness checks, which are a second apart.
_READINESS_DELAY: Seconds = 2.6
#: Fraction of the grace period in which open requests must finish.
_GRACE_FRACTION = 0.8
#: Longer than the 15 s after which callers close idle connections themselves.
_KEEP_ALIVE_SECONDS = 20
#: Interval at which the file is read again, since it may change without a
#: signal.
_SETTINGS_INTERVAL: Seconds = 5


ReadinessProbe = Callable[[Scope, Receive, Send], Awaitable[None]]


class _Server(uvicorn.Server):
    """Server that leaves signals to the daemon, which stops more than HTTP."""

    @contextmanager
    def capture_signals(self) -> Generator[None]:
        """Install no signal handlers."""
        yield


_Servers = tuple[tuple[_Server, asyncio.Task[None]], ...]


def _server(app: Application | ReadinessProbe) -> _Server:
    return _Server(
        uvicorn.Config(
            app,
            loop='asyncio',
            interface='asgi3',
            http='httptools',
            lifespan='on' if isinstance(app, Application) else 'off',
            ws='none',
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            date_header=False,
            timeout_keep_alive=_KEEP_ALIVE_SECONDS,
        )
    )


async def serve(path: str, settings: InstanceSettings) -> None:
    """Serve until a signal requests a stop, then shut down gracefully."""
    stop = asyncio.Event()
    changed = asyncio.Event()
    _handle_signals(stop, changed)
    async with AsyncExitStack() as stack:
        daemon = InstanceDaemon(settings)
        callers = CallerApi(
            daemon.forwarder,
            lambda: daemon.config.current,
            lambda: not daemon.ready(),
            daemon.authenticator,
        )
        servers = (
            _serve(callers.app, settings.callers),
            _serve(ReadinessApi(daemon.ready).app, settings.readiness),
            _serve(metrics_app(daemon.metrics), settings.metrics),
        )
        await daemon.run(stack, stop.set)
        reloading = asyncio.create_task(_follow_settings(daemon, path, changed))
        stack.callback(reloading.cancel)
        _log.info('started', incarnation=daemon.me.incarnation)
        await stop.wait()
        await _shut_down(daemon, servers)
    _log.info('stopped')


def _handle_signals(stop: asyncio.Event, changed: asyncio.Event) -> None:
    """Install signal handlers that set the events."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)


async def _follow_settings(
    daemon: InstanceDaemon,
    path: str,
    changed: asyncio.Event,
) -> None:
    """Read the settings file again after a signal and periodically."""
    while True:
        with suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), _SETTINGS_INTERVAL)
        changed.clear()
        try:
            daemon.use_settings(load_settings(path))
        except (OSError, KeyError, ValueError) as error:
            _log.error('settings not usable', path=path, reason=repr(error))


def load_settings(path: str) -> InstanceSettings:
    """Read a settings file.

    Raises
    ------
    OSError, KeyError, ValueError
        If the file can't be read, lacks a line, or a line is invalid.
    """
    return decode_settings(pathlib.Path(path).read_text())


async def _shut_down(daemon: InstanceDaemon, servers: _Servers) -> None:
    """Hand over, wait until no callers are routed here, finish requests."""
    started_at = elapsed()
    _log.info('stopping')
    await daemon.stop()
    await asyncio.sleep(_READINESS_DELAY)
    for server, _ in servers:
        server.should_exit = True
    grace = daemon.settings.bounds.grace * _GRACE_FRACTION
    remaining = grace - (elapsed() - started_at)
    await asyncio.wait([task for _, task in servers], timeout=remaining)


def _serve(
    app: Application | ReadinessProbe,
    address: Address,
) -> tuple[_Server, asyncio.Task[None]]:
    server = _server(app)
    bound = listen(address)
    task = asyncio.create_task(server.serve(sockets=[bound]))
    return server, task


def main() -> None:
    """Read the settings file and serve."""
    path = os.environ[_SETTINGS_VARIABLE]
    settings = load_settings(path)
    configure_logs('info', daemon=settings.name, zone=settings.zone)
    run_program(serve(path, settings))


if __name__ == '__main__':
    main()
