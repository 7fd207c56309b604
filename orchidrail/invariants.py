"""Invariant checks at decision points: failures are logged and counted."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import structlog

_log = structlog.get_logger()


class Invariant(Enum):
    """Conditions that must hold whenever the program decides."""

    NO_OVERCOMMIT = 'noOvercommit'
    CURRENT_AUTHORITY = 'currentAuthority'
    VERSION_GROWS = 'versionGrows'
    SINGLE_START = 'singleStart'
    ANSWER_MATCHES = 'answerMatches'


class Invariants:
    """Checks invariants and counts the violations in one process.

    Examples
    --------
    >>> checks = Invariants()
    >>> checks.hold(1 < 2, Invariant.VERSION_GROWS)
    True
    >>> checks.broken
    0
    """

    def __init__(self) -> None:
        """Start without violations."""
        self.count_by_invariant: Counter[Invariant] = Counter()

    @property
    def broken(self) -> int:
        """Number of checks that have failed."""
        return self.count_by_invariant.total()

    def hold(
        self,
        condition: bool,
        invariant: Invariant,
        **context: object,
    ) -> bool:
        """Return `condition`; if it is false, log and count the violation."""
        if not condition:
            self.count_by_invariant[invariant] += 1
            _log.error(
                'invariant broken',
                invariant=invariant.value,
                **{name: repr(value) for name, value in context.items()},
            )
        return condition
