"""Tests that the components of one process fit together.

A component that was used before it was created kept every process from
starting, which the tests of single components can't detect.
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
    def test_strict_revocation_rejects_calls_without_confirmation(self) -> None:
        """An instance that has long received nothing from store and peers."""

        async def scenario() -> None:
            for strict, rejected in ((True, True), (False, False)):
                bounds = Bounds(strict_revocation=strict, revocation=0.05)
                daemon = InstanceDaemon(_settings(bounds))
                daemon.config.current = CellConfig(3)
                self.assertTrue(daemon.authenticator.config().is_ok())
                await asyncio.sleep(0.1)
                self.assertIs(rejected, daemon.authenticator.config().is_err())

        self.run_async(scenario())

    def test_components_can_be_connected(self) -> None:
        async def scenario() -> None:
            daemon = InstanceDaemon(_settings(Bounds()))
            ports = daemon.ownership.ports
            assert ports is not None
            self.assertIsNone(ports.services())

        self.run_async(scenario())
