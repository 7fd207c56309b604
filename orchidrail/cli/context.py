"""What every command needs: settings, the platform, the daemons."""

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

_TIMEOUT: Seconds = 2
_NO_POLL: Seconds = 1
BUNDLE_STREAM = 'bundle'
_log = structlog.get_logger()


class Context:
    """One run of the command."""

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
        """Fold the bundle's stream up to its end."""
        genesis = Bundle(operators=self.settings.operators)
        fold = BundleFold(genesis)
        follower = Follower(
            self.platform,
            BUNDLE_STREAM,
            fold,
            _NO_POLL,
            random.Random(),
        )
        while await follower.poll():
            _log.debug('reading on')
        if not follower.connected:
            fail(ExitCode.UNREACHABLE, 'the platform can not be reached')
        return fold

    async def append(self, record: str) -> Offset:
        """Append a record to the bundle's stream."""
        outcome = await self.platform.append(BUNDLE_STREAM, record)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        fail(
            ExitCode.UNREACHABLE,
            f'the platform has not confirmed ({outcome.err_value.value}); '
            'look with "orchidrail bundle show" before you try again',
        )

    async def ask(self, address: Address, message: Message) -> Message | None:
        """Ask a daemon; return None if it can't be reached."""
        answer = await self.transport.call(address, message, _TIMEOUT)
        return answer.ok()


def load_settings(path: str) -> OperatorSettings:
    """Load the operator's settings or end with what is wrong."""
    configure_logs('error', daemon='orchidrail')
    try:
        return load(path, OperatorSettings)
    except SettingsError as error:
        fail(ExitCode.USAGE, str(error))


class Command:
    """Base of the command groups.

    Parameters
    ----------
    settings : str
        Path of the operator's settings file.
    json : bool
        Print JSON for programs.
    """

    def __init__(self, settings: str, json: bool) -> None:
        """Keep the options common to all commands."""
        self._path = settings
        self._json = json

    def _run(self, name: str, *words: object) -> None:
        """Run the coroutine method `name` within a context."""
        asyncio.run(self._within(name, words))

    async def _within(self, name: str, words: tuple[object, ...]) -> None:
        async with AsyncExitStack() as stack:
            context = Context(load_settings(self._path), stack)
            await getattr(self, name)(context, *words)
