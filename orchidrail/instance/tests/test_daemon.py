"""The parts of one process fit together.

A part that was asked for before it was made kept every process from starting,
which no test of the parts could show.
"""

from __future__ import annotations

import asyncio

from orchidrail.instance.daemon import InstanceDaemon
from orchidrail.instance.settings import Bounds, InstanceSettings
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, InstanceId
from orchidrail.work.model import CellConfig


def _settings(bounds: Bounds) -> InstanceSettings:
    nowhere = Address('127.0.0.1:1')
    return InstanceSettings(
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
        bounds=bounds,
    )


class DaemonTest(AsyncTestCase):
    def test_strict_revocation_serves_nobody_unconfirmed(self) -> None:
        """A machine that hears neither the store nor a peer for long."""

        async def scene() -> None:
            for strict, turned in ((True, True), (False, False)):
                bounds = Bounds(strict_revocation=strict, revocation=0.05)
                daemon = InstanceDaemon(_settings(bounds))
                daemon.config.current = CellConfig(3)
                self.assertTrue(daemon.authenticator.config().is_ok())
                await asyncio.sleep(0.1)
                self.assertIs(turned, daemon.authenticator.config().is_err())

        self.run_async(scene())

    def test_its_parts_can_be_joined(self) -> None:
        async def scene() -> None:
            daemon = InstanceDaemon(_settings(Bounds()))
            ports = daemon.ownership.ports
            assert ports is not None
            self.assertIsNone(ports.services())

        self.run_async(scene())
