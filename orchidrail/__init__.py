"""A cluster scheduler for unlike workloads, and its coordination parts.

The parts below can be embedded by other programs: they take clocks,
randomness and ports as arguments. The daemons are in the subpackages
``orchidrail.gateway`` and ``orchidrail.scheduler``.
"""

from __future__ import annotations

import importlib
from typing import Any

#: Where each part is; a part is imported when it is first used, since the
#: daemons must start quickly and each needs only some.
_HOME_BY_NAME = {
    'Attempt': 'orchidrail.jobs.attempts',
    'Bundle': 'orchidrail.bundles.model',
    'BundleFold': 'orchidrail.bundles.fold',
    'ClaimNote': 'orchidrail.jobs.attempts',
    'ConfigurationLog': 'orchidrail.logservice.ports',
    'Ejector': 'orchidrail.deciding.ejection',
    'Engine': 'orchidrail.deciding.engine',
    'FailurePoint': 'orchidrail.gateway.verdicts',
    'Follower': 'orchidrail.logstream.follower',
    'GroupCommit': 'orchidrail.logstream.group_commit',
    'HeldLease': 'orchidrail.leasing.lease',
    'InstanceList': 'orchidrail.logservice.ports',
    'Invariant': 'orchidrail.invariants',
    'Invariants': 'orchidrail.invariants',
    'JobBook': 'orchidrail.jobs.book',
    'Ledger': 'orchidrail.leasing.ledger',
    'MembershipView': 'orchidrail.membership.view',
    'ParsedKey': 'orchidrail.keys',
    'Proof': 'orchidrail.leasing.ledger',
    'RefusalCode': 'orchidrail.types',
    'Resources': 'orchidrail.resources',
    'RetryBudget': 'orchidrail.deciding.retry_budget',
    'Transport': 'orchidrail.wire.transport',
    'VERDICT_BY_POINT': 'orchidrail.gateway.verdicts',
    'Verdict': 'orchidrail.types',
    'WorkItem': 'orchidrail.deciding.engine',
    'issue_key': 'orchidrail.keys',
    'parse_key': 'orchidrail.keys',
    'preferred_holder': 'orchidrail.membership.view',
}

__all__ = (
    'VERDICT_BY_POINT',
    'Attempt',
    'Bundle',
    'BundleFold',
    'ClaimNote',
    'ConfigurationLog',
    'Ejector',
    'Engine',
    'FailurePoint',
    'Follower',
    'GroupCommit',
    'HeldLease',
    'InstanceList',
    'Invariant',
    'Invariants',
    'JobBook',
    'Ledger',
    'MembershipView',
    'ParsedKey',
    'Proof',
    'RefusalCode',
    'Resources',
    'RetryBudget',
    'Transport',
    'Verdict',
    'WorkItem',
    'issue_key',
    'parse_key',
    'preferred_holder',
)


def __getattr__(name: str) -> Any:
    """Import a part when it is first used."""
    home = _HOME_BY_NAME.get(name)
    if home is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(importlib.import_module(home), name)
