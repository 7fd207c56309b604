"""Instances as real processes, each with its own proxy to the store."""

from __future__ import annotations

import asyncio
import ctypes
import os
import pathlib
import signal
import sys
from contextlib import AsyncExitStack

from soak.proxy import Proxy

#: Linux `prctl` option: signal sent to a process when its parent ends.
_PR_SET_PDEATHSIG = 1
_CALLERS_PORT, _READY_PORT, _STORE_PORT = 8161, 8167, 9000
_GRACE_SECONDS = 6
_SETTINGS = """nodeName={name}
ip={host}
zone={zone}
bindAddresses.frontend={host}:{callers}
bindAddresses.ready={host}:{ready}
internalPortRange=7720,7735
limits.cpuShare=1
limits.cpuCores=1
bounds.maxHoldMs=6000
bounds.gang_ms=3000
bounds.gracePeriodS={grace}
bounds.status_s=120
bounds.stop_ms=200
bounds.evacuationMs=5000
commands=invocation
platform.address={host}:{store}
advice={advice}
unknown.key=ignored-{salt}
"""


def _end_with_parent() -> None:
    """Run in the child, so that a killed soak leaves no process behind."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Instance:
    """An instance, whose process is started repeatedly."""

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        folder: pathlib.Path,
        store: tuple[str, int],
        advice: str = '',
    ) -> None:
        """Start nothing yet."""
        self.callers = f'{host}:{_CALLERS_PORT}'
        self.store = Proxy(lambda: store)
        self._name = name
        self._advice = advice
        self._zone = zone
        self._host = host
        self._settings = folder / f'{name}.conf'
        self._log = folder / f'{name}.log'
        self._process: asyncio.subprocess.Process | None = None
        self._salt = 0
        #: Faults overlap: two of them must not start a process each.
        self._starting = asyncio.Lock()

    async def open(self, stack: AsyncExitStack) -> None:
        """Start the proxy and the process; the stack stops both."""
        await self.store.start(stack, self._host, _STORE_PORT)
        self.write_settings()
        stack.push_async_callback(self.kill)
        await self.start()

    def write_settings(self) -> None:
        """Write the settings file; its content differs each time."""
        self._salt += 1
        text = _SETTINGS.format(
            name=self._name,
            host=self._host,
            zone=self._zone,
            callers=_CALLERS_PORT,
            ready=_READY_PORT,
            store=_STORE_PORT,
            advice=self._advice,
            grace=_GRACE_SECONDS,
            salt=self._salt,
        )
        self._settings.write_text(text)

    async def start(self) -> None:
        """Start the process unless it is running."""
        async with self._starting:
            if self._process is None or self._process.returncode is not None:
                await self._spawn()

    async def _spawn(self) -> None:
        with self._log.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'orchidrail.instance.main',
                stdout=output,
                stderr=output,
                preexec_fn=_end_with_parent,
                env={**os.environ, 'ORCHIDRAIL_SETTINGS': str(self._settings)},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def stop(self) -> None:
        """Terminate the process; kill it after its grace period."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        assert self._process is not None
        try:
            await asyncio.wait_for(self._process.wait(), _GRACE_SECONDS)
        except TimeoutError:
            await self.kill()
