"""``orchidrail-instance``: runs one process of the system on the platform."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
from collections.abc import Generator
from contextlib import AsyncExitStack, contextmanager, suppress

import structlog
import uvicorn
from blacksheep import Application

from orchidrail.clocks import elapsed, run_program
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
#: The entry point notices two missed checks, one a second apart, before it
#: sends no more callers here.
_UNNOTICED: Seconds = 2.6
#: Part of the grace that is left for what is still in progress.
_GRACE_SHARE = 0.8
#: Idle connections of callers are closed by them first, after 15 s.
_IDLE_SECONDS = 20
#: The file may change without a signal.
_READ_SETTINGS_EVERY: Seconds = 5


class _Server(uvicorn.Server):
    """Leaves signals to the daemon, which has more to end than HTTP."""

    @contextmanager
    def capture_signals(self) -> Generator[None]:
        """Capture none."""
        yield


_Servers = tuple[tuple[_Server, asyncio.Task[None]], ...]


def _server(app: Application) -> _Server:
    return _Server(
        uvicorn.Config(
            app,
            loop='asyncio',
            http='httptools',
            lifespan='on',
            ws='none',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=_IDLE_SECONDS,
        )
    )


async def serve(path: str, settings: InstanceSettings) -> None:
    """Serve until a signal asks to stop; then finish what is in progress."""
    stop = asyncio.Event()
    changed = asyncio.Event()
    _listen_to_signals(stop, changed)
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
        await _finish(daemon, servers)
    _log.info('stopped')


def _listen_to_signals(stop: asyncio.Event, changed: asyncio.Event) -> None:
    """Have signals set the events."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)


async def _follow_settings(
    daemon: InstanceDaemon,
    path: str,
    changed: asyncio.Event,
) -> None:
    """Read the settings file again after a signal, and now and then."""
    while True:
        with suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), _READ_SETTINGS_EVERY)
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
        If the file can't be read, or lacks a line, or one makes no sense.
    """
    return decode_settings(pathlib.Path(path).read_text())


async def _finish(daemon: InstanceDaemon, servers: _Servers) -> None:
    """Hand over, wait until no new callers come, and end their requests."""
    began = elapsed()
    _log.info('stopping')
    await daemon.stop()
    await asyncio.sleep(_UNNOTICED)
    for server, _ in servers:
        server.should_exit = True
    grace = daemon.settings.bounds.grace * _GRACE_SHARE
    left = grace - (elapsed() - began)
    await asyncio.wait([task for _, task in servers], timeout=left)


def _serve(
    app: Application,
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
