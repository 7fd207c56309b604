"""Shared context of the commands: settings, platform and daemons."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import structlog
from result import Ok

from orchidrail.bundles.fold import BundleFold
from orchidrail.bundles.model import Bundle
from orchidrail.cli.output import ExitCode, fail
from orchidrail.logs import configure_logs
from orchidrail.logservice.http import HttpPlatform
from orchidrail.logstream.follower import Follower
from orchidrail.settings import OperatorSettings, SettingsError, load
from orchidrail.types import Offset, Seconds
from orchidrail.wire.transport import TcpTransport

if TYPE_CHECKING:
    from orchidrail.types import Address
    from orchidrail.wire.messages import Message

_CALL_TIMEOUT: Seconds = 2
_UNUSED_POLL_INTERVAL: Seconds = 1
BUNDLE_STREAM = 'bundle'
_log = structlog.get_logger()


class Context:
    """Settings and clients that one invocation of the command uses."""

    def __init__(
        self, settings: OperatorSettings, stack: AsyncExitStack
    ) -> None:
        """Open the platform's client and a transport."""
        self.settings = settings
        self.platform = HttpPlatform(settings.platform)
        stack.push_async_callback(self.platform.close)
        self.transport = TcpTransport(settings.name, settings.cluster_key)
        stack.push_async_callback(self.transport.close)

    async def read_bundle(self) -> BundleFold:
        """Read the bundle stream to its end and return its folded state."""
        genesis = Bundle(operators=self.settings.operators)
        fold = BundleFold(genesis)
        follower = Follower(
            self.platform,
            BUNDLE_STREAM,
            fold,
            _UNUSED_POLL_INTERVAL,
            random.Random(),
        )
        while await follower.poll():
            _log.debug('reading the next page of the bundle stream')
        if not follower.connected:
            fail(ExitCode.UNREACHABLE, 'the platform is unreachable')
        return fold

    async def append(self, record: str) -> Offset:
        """Append a record to the bundle's stream."""
        outcome = await self.platform.append(BUNDLE_STREAM, record)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        fail(
            ExitCode.UNREACHABLE,
            f'the platform did not confirm the append '
            f'({outcome.err_value.value}); '
            'check "orchidrail bundle show" before you retry',
        )

    async def ask(self, address: Address, message: Message) -> Message | None:
        """Send a request to a daemon; return None if it is unreachable."""
        answer = await self.transport.call(address, message, _CALL_TIMEOUT)
        return answer.ok()


def load_settings(path: str) -> OperatorSettings:
    """Load the operator's settings; exit with an error if invalid."""
    configure_logs('error', daemon='orchidrail')
    try:
        return load(path, OperatorSettings)
    except SettingsError as error:
        fail(ExitCode.USAGE, str(error))


class Command:
    """Base class of the command groups.

    Parameters
    ----------
    settings : str
        Path of the operator's settings file.
    json : bool
        Print JSON instead of tables.
    """

    def __init__(self, settings: str, json: bool) -> None:
        """Store the options common to all commands."""
        self._path = settings
        self._json = json

    def _run(self, name: str, *words: object) -> None:
        """Run the coroutine method `name` with an open `Context`."""
        asyncio.run(self._run_in_context(name, words))

    async def _run_in_context(
        self, name: str, words: tuple[object, ...]
    ) -> None:
        async with AsyncExitStack() as stack:
            context = Context(load_settings(self._path), stack)
            await getattr(self, name)(context, *words)
