"""Witnesses: the workers that store the claims of a job."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.types import WorkerId


class Witness(NamedTuple):
    """One boot of a worker that stores the claims of a job."""

    worker: WorkerId
    boot: str


class WitnessPair(NamedTuple):
    """The two workers that store a generation's claims; each has all."""

    generation: int
    witness: Witness
    backup: Witness
