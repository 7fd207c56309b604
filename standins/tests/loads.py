"""Queue loads shared by several tests of the model."""

from __future__ import annotations

from standins.model import QueueLoad
from standins.model.load import Draw

#: Jobs of ten long-running tasks, a tenth of whose runs fail.
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

#: Accelerators of each worker on days with tasks that need them all.
ACCELERATORS = 8
#: Tasks that mostly need half of a worker's accelerators or more, with few
#: permitted workers; all runs of three jobs in ten fail.
LARGE = QueueLoad(
    name='large',
    per_s=0.6,
    worth=3,
    priority=1,
    stretch=2.2,
    target=1,
    tasks=Draw(1.5, 0.8, 9),
    cores=Draw(31),
    megabytes=Draw(45_000),
    work=Draw(1.5, 0.5, 9),
    fails=0.1,
    hopeless=0.3,
    attempts=20,
    estimate_off=1,
    advice=(0.49, 0.007, 2.0),
    good=0.3,
    accelerators=[2, 4, ACCELERATORS, ACCELERATORS],
)
#: Small tasks that compete with `LARGE`.
SMALL = QueueLoad(
    name='small',
    per_s=0.3,
    worth=2,
    priority=2,
    stretch=4,
    target=3,
    tasks=Draw(4.1, 0.6, 20),
    cores=Draw(5.6),
    megabytes=Draw(11_000),
    work=Draw(3.8, 0.5, 9.4),
    fails=0.1,
    estimate_off=0.2,
    apart=0.12,
    advice=(0.14, 0.002, 2.0),
    good=0.45,
    accelerators=[1],
)
