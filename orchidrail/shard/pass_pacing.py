"""Pauses between placement passes."""

from __future__ import annotations

from orchidrail.types import Seconds

#: Minimum pause between two passes. Passes take at most half of the time, so
#: that orders to workers and polls proceed in between.
MIN_PAUSE: Seconds = 0.004
#: The same for each worker and for each waiting step that the pass looks at:
#: about four times what that takes, so that passes take a fifth of the time.
#: Where the clock stands still during a pass, or several processes share a
#: core, the measured duration says too little.
_PAUSE_PER_WORKER: Seconds = 40e-6
_PAUSE_PER_STEP: Seconds = 160e-6
#: Bound of these, small beside the objectives of urgent work (0.25 s and more).
_MAX_LOAD_PAUSE: Seconds = 0.02
#: Maximum pause. A pass takes far less, unless the process stood still in it:
#: work that could run would wait as long again.
MAX_PAUSE: Seconds = 1.0


def load_pause(workers: int, steps: int) -> Seconds:
    """Return the pause after a pass by what it looked at, seconds.

    Load: thousands of waiting tasks on hundreds of workers, where a pass takes
    longer than the shortest pause.

    Examples
    --------
    >>> load_pause(workers=24, steps=2), load_pause(workers=350, steps=400)
    (0.004, 0.02)
    """
    pause = _PAUSE_PER_WORKER * workers + _PAUSE_PER_STEP * steps
    return min(max(MIN_PAUSE, pause), _MAX_LOAD_PAUSE)
