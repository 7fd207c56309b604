"""The parts of one process fit together.

A part that was asked for before it was made kept every process from starting,
which no test of the parts could show.
"""

from __future__ import annotations

from orchidrail.instance.daemon import InstanceDaemon
from orchidrail.instance.settings import Bounds, InstanceSettings
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, InstanceId


class DaemonTest(AsyncTestCase):
    def test_its_parts_can_be_joined(self) -> None:
        async def scene() -> None:
            nowhere = Address('127.0.0.1:1')
            settings = InstanceSettings(
                name=InstanceId('one'),
                zone='zone',
                host='127.0.0.1',
                callers=nowhere,
                readiness=nowhere,
                peers=nowhere,
                metrics=nowhere,
                store=nowhere,
                advice=nowhere,
                speed=1,
                bounds=Bounds(),
            )
            daemon = InstanceDaemon(settings)
            ports = daemon.ownership.ports
            assert ports is not None
            self.assertIsNone(ports.services())

        self.run_async(scene())
