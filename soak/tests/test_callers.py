"""Tests that the callers check the keys on each instance."""

from __future__ import annotations

import asyncio
from random import Random

from testtools import TestCase

from soak.callers import Callers
from soak.ledger import Ledger, SentJob
from soak.store import StoreStandIn
from soak.tenants import Operator

_REVOKED = 'revoked'


class KeysTest(TestCase):
    """One instance answers with the given statuses, the last one repeated."""

    def check(self, to_revoked: list[int], to_valid: int = 410) -> list[str]:
        """Return the rules that are violated."""
        ledger = Ledger()
        answers = iter(to_revoked)

        async def answer(
            method: str, job: SentJob, *, key: str, address: str
        ) -> int:
            if key != _REVOKED:
                return to_valid
            return next(answers, to_revoked[-1])

        async def run() -> None:
            operator = Operator(
                {'version': 0}, StoreStandIn(), ledger, Random(1)
            )
            callers = Callers(
                ['i:1'], ledger, Random(1), None, operator, Random(1)
            )
            self.patch(callers, '_call', answer)
            await callers.check_keys([_REVOKED])
            await callers.close()

        asyncio.run(run())
        return [line.partition(' ')[0] for line in ledger.violations]

    def test_revoked_key_is_rejected(self) -> None:
        self.assertEqual([], self.check([401]))

    def test_revoked_key_that_is_served(self) -> None:
        self.assertEqual(['CONFIG'], self.check([410]))
        self.assertEqual(['CONFIG'], self.check([0, 410]))

    def test_valid_key_that_is_rejected(self) -> None:
        self.assertEqual(['CONFIG'], self.check([401], 401))

    def test_instance_that_never_responds(self) -> None:
        self.assertEqual(['CONFIG'], self.check([0]))

    def test_instance_that_responds_late(self) -> None:
        """Guards against a process without processor time for 4 s.

        It applies the configuration all the same.
        """
        self.assertEqual([], self.check([0, 401]))
