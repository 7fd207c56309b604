"""Variants of a site file with random parameters, and a bench run for each.

``python -m tools.variants write SITE FOLDER --seed N --count M`` writes copies;
``python -m tools.variants play BENCH FOLDER [DAY ...]`` runs days of each copy
with the users' bench, from the repository's root, and prints a row for each.
The copies represent deployments of the described kinds for which there is no
site file. The folder must lie outside the repository: the files are the users'.
"""

from __future__ import annotations

import pathlib
import re
import shutil
import subprocess
from collections.abc import Iterator
from random import Random

import fire

#: Values to draw from for a field of a request class.
_CHOICES_BY_FIELD: dict[str, tuple[str, ...]] = {
    'timed': ('0.0', '0.2', '0.5'),
    'near': ('0.0', '0.4'),
    'needs': ('0.0', '0.3'),
    'tight': ('0.0', '0.1', '0.3'),
    'gang': ('0.0', '0.3', '1.0'),
    'saves': ('0.0', '0.5', '1.0'),
    'apart': ('0.0', '0.2'),
    'guards': ('true', 'false'),
}
#: Factors to draw from for the rate of all traffic.
_RATE_FACTORS = (0.5, 1.0, 1.0, 2.0)
#: Probability that a copy changes a field.
_CHANGED_SHARE = 0.5
_RATE = re.compile(r'per_s = ([0-9.]+), clients')
_ROW = re.compile(r'^(\S+)\s+\d+/\d+\s+(.*)$')
_DAY_TIMEOUT_S = 1800


class VariantError(ValueError):
    """The folder is not usable."""


def draw(text: str, random: Random) -> tuple[str, dict[str, str]]:
    """Return a changed copy of a site file and the drawn values by field.

    Parameters
    ----------
    text : str
        Text of the site file.
    random : Random
        Source of the draws.
    """
    drawn: dict[str, str] = {}
    for field, choices in _CHOICES_BY_FIELD.items():
        if random.random() < _CHANGED_SHARE:
            drawn[field] = random.choice(choices)
            pattern = rf'\b{field} = [\w.]+(?=[,\s}}])'
            text = re.sub(pattern, f'{field} = {drawn[field]}', text)
    factor = random.choice(_RATE_FACTORS)
    drawn['rate'] = str(factor)
    return _RATE.sub(lambda found: _scale_rate(found, factor), text), drawn


def _scale_rate(found: re.Match[str], factor: float) -> str:
    rate = float(found.group(1)) * factor
    return f'per_s = {rate:.4g}, clients'


def write(site: str, folder: str, seed: int = 1, count: int = 10) -> None:
    """Write copies of a site file and print the drawn values of each.

    Raises
    ------
    VariantError
        The folder lies in the repository.
    """
    source, target = pathlib.Path(site), pathlib.Path(folder).resolve()
    if pathlib.Path.cwd().resolve() in (target, *target.parents):
        raise VariantError(
            f'{folder!r} is in the repository, expected a folder outside'
        )
    target.mkdir(parents=True, exist_ok=True)
    text = source.read_text()
    for wire in source.parent.glob('wire.json'):
        shutil.copy(wire, target)
    for number in range(count):
        copy, drawn = draw(text, Random(f'{source.stem}/{seed}/{number}'))
        name = f'{source.stem}-{seed}-{number}.toml'
        (target / name).write_text(copy)
        print(name, drawn)


def run_days(bench: str, folder: str, *days: str) -> None:
    """Run days of each copy in a folder, one at a time."""
    for path in sorted(pathlib.Path(folder).glob('*.toml')):
        for day in days or ('quiet-1', 'trouble-1'):
            for row in _run_day(bench, path, day):
                print(path.stem, row, flush=True)


def _run_day(bench: str, path: pathlib.Path, day: str) -> Iterator[str]:
    """Yield the rows of the bench's table, or a line that none came."""
    completed = subprocess.run(
        [bench, 'run', str(path), day, '--why', f'variant {path.stem}'],
        capture_output=True,
        text=True,
        timeout=_DAY_TIMEOUT_S,
        check=False,
    )
    rows = [line for line in completed.stdout.splitlines() if _ROW.match(line)]
    yield from rows or [f'{day}: no result, exit status {completed.returncode}']


if __name__ == '__main__':
    fire.Fire({'write': write, 'play': run_days})
