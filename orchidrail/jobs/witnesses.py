"""The workers that keep the claims of a job."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.types import WorkerId


class Witness(NamedTuple):
    """A worker that keeps the claims of a job, at one of its starts."""

    worker: WorkerId
    boot: str


class WitnessPair(NamedTuple):
    """The two workers that keep a generation's claims; either has all."""

    generation: int
    witness: Witness
    backup: Witness
