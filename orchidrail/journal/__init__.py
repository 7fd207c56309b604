"""A fenced key-value journal in one partition of the store."""

from __future__ import annotations

from orchidrail.journal.follower import JournalView
from orchidrail.journal.writer import JournalWriter, TakeOverError

__all__ = ('JournalView', 'JournalWriter', 'TakeOverError')
