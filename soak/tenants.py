"""Simulated operator, who changes keys and limits of tenants."""

from __future__ import annotations

import asyncio
import json
import time
from collections import defaultdict
from random import Random
from typing import Any

from soak.ledger import Ledger
from soak.store import StoreStandIn

_CHANGE_INTERVAL = (1.0, 4.0)
#: Alternating limits of the large tenant, in thousandths of a core.
_LIMITS = (40_000, 12_000)
_SMALL_LIMIT = 20_000
#: Share of a limit by which usage may exceed it, besides one task.
_OVERSHOOT = 0.1
#: Seconds for which a previous limit still counts: until instances that were
#: disconnected have reconnected and applied the new one.
_APPLY_TIMEOUT = 8.0
_KEYS = 2
_HALVES = 2
#: A tenant whose key is never revoked, and that has no limit.
STEADY_TENANT = 'steady'
_STEADY_KEY = 'key-steady'


class Operator:
    """Writes configurations and checks usage against their limits.

    Parameters
    ----------
    document : dict
        The configuration without its tenants; its version is incremented.
    """

    def __init__(
        self,
        document: dict[str, Any],
        store: StoreStandIn,
        ledger: Ledger,
        random: Random | None,
    ) -> None:
        """Start with two tenants, or with none if `random` is None."""
        self._document = document
        self._store = store
        self._ledger = ledger
        self._random = random
        self._key_count = 0
        self.keys_by_tenant: dict[str, list[str]] = {}
        self.revoked_keys: list[str] = []
        self._maximum_by_tenant = {'large': _LIMITS[0], 'small': _SMALL_LIMIT}
        #: Previous limits by tenant, each with the time of its replacement.
        self._previous_limits: defaultdict[str, list[tuple[float, int]]] = (
            defaultdict(list)
        )
        self._used_by_tenant: defaultdict[str, int] = defaultdict(int)
        if random is not None:
            self.keys_by_tenant = {
                tenant: [self._make_key() for _ in range(_KEYS)]
                for tenant in self._maximum_by_tenant
            }

    def write(self) -> None:
        """Write the configuration to the store, with the next version."""
        self._document['version'] += 1
        if self._random is not None:
            self._document['tenants'] = [
                {
                    'name': tenant,
                    'apiKeys': keys,
                    'weight': 4 if tenant == 'large' else 1,
                    'maximum': {'cpu': self._maximum_by_tenant[tenant]},
                }
                for tenant, keys in self.keys_by_tenant.items()
            ] + [{'name': STEADY_TENANT, 'apiKeys': [_STEADY_KEY]}]
        raw = json.dumps(self._document).encode()
        self._store.put('keyed.op', 'config', raw)

    async def apply_changes(self, until: float) -> None:
        """Change keys and limits at random until a monotonic time."""
        while self._random is not None and time.monotonic() < until:
            await asyncio.sleep(self._random.uniform(*_CHANGE_INTERVAL))
            if self._random.random() < 0.5:
                self._change_key(self._random)
            else:
                self._change_limit()
            self.write()
        self._raise_limit()

    def _raise_limit(self) -> None:
        """Let all accepted jobs run: a gang may need the high limit."""
        if self._random is not None:
            self._maximum_by_tenant['large'] = max(_LIMITS)
            self.write()

    def revoke_all_keys(self, tenant: str) -> list[str]:
        """Revoke all keys of a tenant; return them."""
        revoked = self.keys_by_tenant[tenant]
        self.keys_by_tenant[tenant] = []
        self.revoked_keys += revoked
        self.write()
        return revoked

    def draw_tenant(self, random: Random) -> str:
        """Draw the tenant of the next job; empty if there are no tenants."""
        return random.choice(sorted(self.keys_by_tenant) or [''])

    def key_of(self, tenant: str) -> str:
        """Return the key that stays valid for longest."""
        if tenant == STEADY_TENANT:
            return _STEADY_KEY
        keys = self.keys_by_tenant.get(tenant)
        return keys[-1] if keys else ''

    def record_start(self, tenant: str, cpu: int) -> None:
        """Check a start against the highest limit that may be in force."""
        if tenant in {'', STEADY_TENANT}:
            return
        self._used_by_tenant[tenant] += cpu
        since = time.monotonic() - _APPLY_TIMEOUT
        limits = [
            limit for at, limit in self._previous_limits[tenant] if at > since
        ]
        highest = max([*limits, self._maximum_by_tenant[tenant]])
        used = self._used_by_tenant[tenant]
        if used > highest * (1 + _OVERSHOOT) + cpu:
            self._ledger.report_violation(
                'QUOTA', f'{tenant} runs {used} of {highest}'
            )

    def allows(self, tenant: str, cpu: int) -> bool:
        """Whether under half of the limit is used and `cpu` more fits."""
        if tenant in {'', STEADY_TENANT}:
            return True
        used = self._used_by_tenant[tenant]
        maximum = self._maximum_by_tenant[tenant]
        return _HALVES * used < maximum and used + cpu <= maximum

    def record_end(self, tenant: str, cpu: int) -> None:
        """Record that a run ended."""
        self._used_by_tenant[tenant] -= cpu

    def _make_key(self) -> str:
        self._key_count += 1
        return f'key-{self._key_count}'

    def _change_key(self, random: Random) -> None:
        keys = self.keys_by_tenant[random.choice(sorted(self.keys_by_tenant))]
        self.revoked_keys.append(keys.pop(0))
        keys.append(self._make_key())

    def _change_limit(self) -> None:
        before = self._maximum_by_tenant['large']
        self._previous_limits['large'].append((time.monotonic(), before))
        after = _LIMITS[0] if before == _LIMITS[1] else _LIMITS[1]
        self._maximum_by_tenant['large'] = after
