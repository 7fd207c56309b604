"""A model of one cell in virtual time, around the product's own owner.

The code that decides is the real one (`orchidrail.shard`); workers, callers,
the advice service and the store are stand-ins in this process's memory. A day
of a cell takes seconds to minutes, and repeats exactly for a seed.
"""

from standins.model.cell import CellModel
from standins.model.judging import Outcome
from standins.model.load import CellLoad, QueueLoad, Surge, read_load

__all__ = (
    'CellLoad',
    'CellModel',
    'Outcome',
    'QueueLoad',
    'Surge',
    'read_load',
)
