"""Simulation of one cell in virtual time, around a real shard owner.

The scheduling code under test is the real one (`orchidrail.shard`); workers,
callers, the advice service and the store are in-memory stand-ins. Simulating
a day of a cell takes seconds to minutes, and is deterministic for a seed.
"""

from standins.model.cell import CellModel
from standins.model.evaluation import Outcome
from standins.model.load import CellLoad, QueueLoad, Surge, read_load

__all__ = (
    'CellLoad',
    'CellModel',
    'Outcome',
    'QueueLoad',
    'Surge',
    'read_load',
)
