"""Decides which jobs are refused because they would start too late.

Answers more work than can be served: what can't be of use to its caller any
more is refused at once, so that the caller knows and the room goes to others.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from orchidrail.admission.forecast import Forecast
from orchidrail.admission.service_load import RankClass, SizeClass
from orchidrail.types import QueueName, Seconds

#: Time without a job after which a state no longer says anything.
_STATE_EXPIRES_AFTER: Seconds = 2.0


class GateState(Enum):
    """Whether new jobs of a queue and size class are refused."""

    ACCEPTING = 'accepting'
    REFUSING = 'refusing'


class GateKey(NamedTuple):
    """Jobs that are judged together."""

    queue: QueueName
    size_class: SizeClass
    rank: RankClass


class Gate(NamedTuple):
    """State of the jobs of one key.

    Parameters
    ----------
    since : float
        When it began, monotonic seconds.
    judged_at : float
        When the last job was judged.
    refused_core_time : float
        Millicore-seconds refused since it began, which may come back.
    """

    state: GateState
    since: Seconds
    judged_at: Seconds
    refused_core_time: float = 0


def _certainly_useless(forecast: Forecast, elapsed: Seconds) -> bool:
    """Whether even the earliest start is too late for the longest duration."""
    earliest = elapsed + forecast.start.earliest
    return earliest > forecast.latest_possible_start


def _expected_useless(forecast: Forecast, elapsed: Seconds) -> bool:
    """Whether the expected start is too late for the expected duration."""
    expected = elapsed + forecast.start.expected
    return expected > forecast.latest_useful_start


#: Condition for a refusal in each state. The second one is met more often, by
#: the uncertainty of the forecast: a gate closes when a job is certainly of no
#: use, and opens when one is expected to be.
_IS_REFUSED_BY_STATE = {
    GateState.ACCEPTING: _certainly_useless,
    GateState.REFUSING: _expected_useless,
}


class AdmissionPolicy:
    """Keeps the gates and judges jobs by their forecasts."""

    def __init__(self) -> None:
        """Start with all gates open."""
        self.gate_by_key: dict[GateKey, Gate] = {}

    def refuses(
        self,
        key: GateKey,
        forecast: Forecast,
        now: Seconds,
        elapsed: Seconds = 0,
        core_time: float = 0,
    ) -> bool:
        """Whether a job is refused.

        Parameters
        ----------
        elapsed : float
            Seconds since its caller is known to have sent it first.
        core_time : float
            Its millicore-seconds.
        """
        gate = self._current(key, now)
        refused = _IS_REFUSED_BY_STATE[gate.state](forecast, elapsed)
        state = GateState.REFUSING if refused else GateState.ACCEPTING
        if state is not gate.state:
            gate = Gate(state, now, now)
        if refused:
            total = gate.refused_core_time + core_time
            gate = gate._replace(refused_core_time=total)
        self.gate_by_key[key] = gate._replace(judged_at=now)
        return refused

    def refusing(self, now: Seconds) -> dict[GateKey, Gate]:
        """Return the gates that refuse jobs now."""
        return {
            key: gate
            for key, gate in self.gate_by_key.items()
            if gate.state is GateState.REFUSING
            and now - gate.judged_at < _STATE_EXPIRES_AFTER
        }

    def _current(self, key: GateKey, now: Seconds) -> Gate:
        gate = self.gate_by_key.get(key)
        if gate is None or now - gate.judged_at > _STATE_EXPIRES_AFTER:
            return Gate(GateState.ACCEPTING, now, now)
        return gate
