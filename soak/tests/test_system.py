"""Tests that the soak starts each process once and ends all of them."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import AsyncExitStack, ExitStack

from orchidrail.sockets import listen
from orchidrail.testing import AsyncTestCase
from soak.networks import claim_network
from soak.run import Soak
from soak.system import Instance

_END_TIMEOUT = 5
#: Starts an instance as the soak does, prints its process id and waits.
_PARENT = """
import asyncio, pathlib, sys
from soak.system import Instance

async def main():
    folder = pathlib.Path(sys.argv[1])
    host = sys.argv[2]
    instance = Instance('a', 'z', host, folder, (host, 9001))
    instance.write_settings()
    await instance.start()
    print(instance._process.pid, flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


def _is_running(pid: int) -> bool:
    """Whether a process exists and is not a zombie."""
    try:
        status = pathlib.Path(f'/proc/{pid}/stat').read_text()
    except OSError:
        return False
    return status.rpartition(')')[2].split()[0] != 'Z'


class InstanceTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        claim = ExitStack()
        self.addCleanup(claim.close)
        self.slot = claim.enter_context(claim_network())
        self.host = f'127.{self.slot}.1.1'

    def test_overlapping_faults_start_one_process(self) -> None:
        async def scenario(folder: pathlib.Path) -> None:
            instance = Instance('a', 'z', self.host, folder, (self.host, 9001))
            async with AsyncExitStack() as stack:
                await instance.open(stack)
                await instance.kill()
                before = len(processes)
                await asyncio.gather(instance.start(), instance.start())
                self.assertEqual(before + 1, len(processes))
            self.assertTrue(all(spawned.returncode for spawned in processes))

        processes: list[asyncio.subprocess.Process] = []
        create = asyncio.create_subprocess_exec

        async def record_process(*words: str, **options: object) -> object:
            process = await create(*words, **options)  # type: ignore[arg-type]
            processes.append(process)
            return process

        self.patch(asyncio, 'create_subprocess_exec', record_process)
        with tempfile.TemporaryDirectory() as folder:
            self.run_async(scenario(pathlib.Path(folder)))

    def test_process_ends_when_its_soak_is_killed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            parent = subprocess.Popen(
                [sys.executable, '-c', _PARENT, folder, self.host],
                stdout=subprocess.PIPE,
                cwd=pathlib.Path(__file__).parents[2],
            )
            self.addCleanup(parent.wait)
            assert parent.stdout is not None
            pid = int(parent.stdout.readline())
            parent.stdout.close()
            self.assertTrue(_is_running(pid))
            os.kill(parent.pid, signal.SIGKILL)
            until = time.monotonic() + _END_TIMEOUT
            while _is_running(pid) and time.monotonic() < until:
                time.sleep(0.05)
            self.assertFalse(_is_running(pid))

    def test_rejects_a_network_in_use(self) -> None:
        async def scenario(folder: pathlib.Path) -> None:
            soak = Soak(1, self.slot, folder)
            host = f'127.{self.slot}.2.1'
            bound = listen(f'{host}:8167')
            bound.listen()
            try:
                await soak.execute(1, 1)
            except RuntimeError as error:
                self.assertIn(host, str(error))
            else:
                self.fail('a network in use was accepted')
            finally:
                bound.close()

        with tempfile.TemporaryDirectory() as folder:
            self.run_async(scenario(pathlib.Path(folder)))
