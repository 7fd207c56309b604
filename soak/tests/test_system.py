"""Tests that the soak starts each program once and ends what it started."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import AsyncExitStack

from orchidrail.sockets import listen
from orchidrail.testing import AsyncTestCase
from soak.run import Soak
from soak.system import Instance

_HOST = '127.203.1.1'
_ENDS_WITHIN = 5
#: Starts one process as the soak does, tells its number, and waits.
_PARENT = """
import asyncio, pathlib, sys
from soak.system import Instance

async def main():
    folder = pathlib.Path(sys.argv[1])
    instance = Instance('a', 'z', '127.204.1.1', folder, ('127.204.1.1', 9001))
    instance.write_settings()
    await instance.start()
    print(instance._process.pid, flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


def _runs(pid: int) -> bool:
    """Whether a process is there and is not just waiting to be collected."""
    try:
        status = pathlib.Path(f'/proc/{pid}/stat').read_text()
    except OSError:
        return False
    return status.rpartition(')')[2].split()[0] != 'Z'


class InstanceTest(AsyncTestCase):
    def test_faults_that_overlap_start_one_process(self) -> None:
        async def scene(folder: pathlib.Path) -> None:
            instance = Instance('a', 'z', _HOST, folder, (_HOST, 9001))
            async with AsyncExitStack() as stack:
                await instance.open(stack)
                await instance.kill()
                before = len(spawned)
                await asyncio.gather(instance.start(), instance.start())
                self.assertEqual(before + 1, len(spawned))
            self.assertTrue(all(one.returncode for one in spawned))

        spawned: list[asyncio.subprocess.Process] = []
        create = asyncio.create_subprocess_exec

        async def note(*words: str, **options: object) -> object:
            process = await create(*words, **options)  # type: ignore[arg-type]
            spawned.append(process)
            return process

        self.patch(asyncio, 'create_subprocess_exec', note)
        with tempfile.TemporaryDirectory() as folder:
            self.run_async(scene(pathlib.Path(folder)))

    def test_a_process_ends_with_a_soak_that_is_killed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            parent = subprocess.Popen(
                [sys.executable, '-c', _PARENT, folder],
                stdout=subprocess.PIPE,
                cwd=pathlib.Path(__file__).parents[2],
            )
            self.addCleanup(parent.wait)
            assert parent.stdout is not None
            pid = int(parent.stdout.readline())
            parent.stdout.close()
            self.assertTrue(_runs(pid))
            os.kill(parent.pid, signal.SIGKILL)
            until = time.monotonic() + _ENDS_WITHIN
            while _runs(pid) and time.monotonic() < until:
                time.sleep(0.05)
            self.assertFalse(_runs(pid))

    def test_a_network_in_use_is_refused(self) -> None:
        async def scene(folder: pathlib.Path) -> None:
            soak = Soak(1, 205, folder)
            bound = listen('127.205.2.1:8167')
            bound.listen()
            try:
                await soak.play(1, 1)
            except RuntimeError as error:
                self.assertIn('127.205.2.1', str(error))
            else:
                self.fail('a network in use was taken')
            finally:
                bound.close()

        with tempfile.TemporaryDirectory() as folder:
            self.run_async(scene(pathlib.Path(folder)))
