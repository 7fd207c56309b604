"""Writes what a case sent, received and ran to its `record.txt`."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Lines with the seconds since the start of the case.

    Parameters
    ----------
    path : pathlib.Path
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._lines = path.open('w')
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, what: str, **details: object) -> None:
        """Write one line."""
        fields = ' '.join(f'{key}={found}' for key, found in details.items())
        self._lines.write(f'{self.now:8.3f} {what} {fields}'.rstrip() + '\n')
        self._lines.flush()

    def close(self) -> None:
        """Close the file."""
        self._lines.close()
