"""What was sent, answered and run, as the outside world saw it."""

from __future__ import annotations

import pathlib
import time
from dataclasses import dataclass, field


@dataclass
class Run:
    """One run of a task on a worker."""

    task: str
    number: int
    worker: str
    started_at: float
    ended_at: float | None = None
    ending: str = ''
    #: When its end was taken note of by a `lastSeen`; None if it was not.
    noted_at: float | None = None


@dataclass
class Record:
    """Log of one play, and the runs of all tasks."""

    path: pathlib.Path
    began: float = field(default_factory=time.monotonic)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)

    def now(self) -> float:
        """Return the seconds since the play began."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Add a line with the time."""
        self.lines.append(f'{self.now():8.3f} {text}')

    def start(self, task: str, number: int, worker: str) -> Run:
        """Record that a worker has begun a task on an order."""
        run = Run(task, number, worker, self.now())
        self.runs.setdefault(task, []).append(run)
        self.note(f'start {task} run {number} on {worker}')
        return run

    def end(self, run: Run, ending: str) -> None:
        """Record the end of a run."""
        run.ended_at = self.now()
        run.ending = ending
        self.note(f'end {run.task} run {run.number} {ending} on {run.worker}')

    def started(self, job: str) -> list[Run]:
        """Return the runs of a job's tasks."""
        return [
            run
            for task, runs in self.runs.items()
            if task.startswith(f'{job}.')
            for run in runs
        ]

    def running(self, job: str) -> int:
        """Return how many tasks of a job run now."""
        return sum(run.ended_at is None for run in self.started(job))

    def find_twice(self) -> list[str]:
        """Return the breaches of TWICE among the recorded runs."""
        found = []
        for task, runs in self.runs.items():
            for later in runs:
                for earlier in runs:
                    if earlier is later or earlier.number >= later.number:
                        continue
                    ended = earlier.ended_at
                    if ended is None or ended > later.started_at:
                        found.append(
                            f'{task}: runs {earlier.number} and '
                            f'{later.number} at once'
                        )
                    elif earlier.ending == 'done' and (
                        earlier.noted_at is not None
                    ):
                        found.append(
                            f'{task}: run {earlier.number} ended done at '
                            f'{ended:.3f} (noted {earlier.noted_at:.3f}), run '
                            f'{later.number} began at {later.started_at:.3f}'
                        )
        return found

    def write(self) -> None:
        """Write the log."""
        self.path.write_text('\n'.join([*self.lines, '']))
