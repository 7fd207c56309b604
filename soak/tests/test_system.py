"""Tests that the soak starts each program once and ends what it started."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
from contextlib import AsyncExitStack

from orchidrail.testing import AsyncTestCase
from soak.system import Instance

_HOST = '127.203.1.1'


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
