"""Loads that several tests of the model start from."""

from __future__ import annotations

from standins.model import QueueLoad
from standins.model.load import Draw

#: Jobs of ten tasks that last, a tenth of whose runs fail.
LISTENERS = QueueLoad(
    name='listeners',
    per_s=0.2,
    worth=2,
    priority=1,
    stretch=2.2,
    target=2.5,
    tasks=Draw(10),
    cores=Draw(6),
    megabytes=Draw(4000),
    work=Draw(0.5),
    fails=0.1,
    stays=Draw(80),
)
