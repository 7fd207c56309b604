"""Preemption: stops less urgent runs so that urgent work starts in time."""

from __future__ import annotations

from orchidrail.preemption.budget import LossBudget
from orchidrail.preemption.policy import Need, may_stop, start_slack
from orchidrail.preemption.victims import (
    Candidate,
    VictimPlan,
    choose_victims,
    cover_shortage,
)

__all__ = (
    'Candidate',
    'LossBudget',
    'Need',
    'VictimPlan',
    'choose_victims',
    'cover_shortage',
    'may_stop',
    'start_slack',
)
