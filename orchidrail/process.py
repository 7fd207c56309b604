"""Startup code shared by the daemons' programs."""

from __future__ import annotations

import random
import time
from contextlib import AsyncExitStack
from typing import TypeVar

from orchidrail.clocks import elapsed
from orchidrail.logs import configure_logs
from orchidrail.logservice.http import HttpPlatform
from orchidrail.scheduler.ports import Ports
from orchidrail.settings import (
    GatewaySettings,
    SchedulerSettings,
    SettingsError,
    load,
)
from orchidrail.wire.transport import TcpTransport

SettingsT = TypeVar('SettingsT', GatewaySettings, SchedulerSettings)


def start_process(path: str, kind: type[SettingsT]) -> SettingsT:
    """Load a daemon's settings and set up its logs.

    Raises
    ------
    SystemExit
        With all errors of the file.
    """
    try:
        settings = load(path, kind)
    except SettingsError as error:
        raise SystemExit(str(error)) from error
    configure_logs(
        settings.log_level,
        daemon=settings.name,
        zone=settings.zone,
    )
    return settings


def open_ports(
    settings: GatewaySettings | SchedulerSettings,
    transport: TcpTransport,
    stack: AsyncExitStack,
) -> Ports:
    """Open a daemon's connections to its environment; the stack closes them."""
    platform = HttpPlatform(settings.platform)
    stack.push_async_callback(platform.close)
    return Ports(
        transport,
        platform,
        platform,
        elapsed,
        time.time,
        random.Random(),
    )


def open_transport(
    settings: GatewaySettings | SchedulerSettings,
    stack: AsyncExitStack,
) -> TcpTransport:
    """Open a daemon's transport; the stack closes it."""
    transport = TcpTransport(settings.name, settings.cluster_key)
    stack.push_async_callback(transport.close)
    return transport
