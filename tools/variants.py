"""Copies of a site file with drawn parameters, and a loop that plays them.

``python -m tools.variants write SITE FOLDER --seed N --count M`` writes copies;
``python -m tools.variants play BENCH FOLDER [DAY ...]`` plays days of each copy
with the users' bench, from the repository's root, and prints a row for each.
They stand for deployments of the kinds described that nobody here has. The
folder must lie outside the repository: the files are the users'.
"""

from __future__ import annotations

import pathlib
import re
import shutil
import subprocess
from collections.abc import Iterator
from random import Random

import fire

#: Values drawn for a field of a kind of request; each copy changes some.
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
#: Factors on the rate of all traffic.
_RATE_FACTORS = (0.5, 1.0, 1.0, 2.0)
#: Share of the fields that a copy draws anew.
_CHANGED_SHARE = 0.5
_RATE = re.compile(r'per_s = ([0-9.]+), clients')
_ROW = re.compile(r'^(\S+)\s+\d+/\d+\s+(.*)$')
_LONGEST_DAY_S = 1800


class VariantError(ValueError):
    """A folder or file can't be used."""


def draw(text: str, random: Random) -> tuple[str, dict[str, str]]:
    """Return a copy of a site file with other values, and what was drawn.

    Parameters
    ----------
    text : str
        The site file.
    random : Random
    """
    drawn: dict[str, str] = {}
    for field, choices in _CHOICES_BY_FIELD.items():
        if random.random() < _CHANGED_SHARE:
            drawn[field] = random.choice(choices)
            pattern = rf'\b{field} = [\w.]+(?=[,\s}}])'
            text = re.sub(pattern, f'{field} = {drawn[field]}', text)
    factor = random.choice(_RATE_FACTORS)
    drawn['rate'] = str(factor)
    return _RATE.sub(lambda found: _scaled(found, factor), text), drawn


def _scaled(found: re.Match[str], factor: float) -> str:
    rate = float(found.group(1)) * factor
    return f'per_s = {rate:.4g}, clients'


def write(site: str, folder: str, seed: int = 1, count: int = 10) -> None:
    """Write copies of a site file and say what each one draws.

    Raises
    ------
    VariantError
        The folder lies in the repository.
    """
    source, target = pathlib.Path(site), pathlib.Path(folder).resolve()
    if pathlib.Path.cwd().resolve() in (target, *target.parents):
        raise VariantError(f'{folder!r} lies in the repository')
    target.mkdir(parents=True, exist_ok=True)
    text = source.read_text()
    for wire in source.parent.glob('wire.json'):
        shutil.copy(wire, target)
    for number in range(count):
        copy, drawn = draw(text, Random(f'{source.stem}/{seed}/{number}'))
        name = f'{source.stem}-{seed}-{number}.toml'
        (target / name).write_text(copy)
        print(name, drawn)


def play(bench: str, folder: str, *days: str) -> None:
    """Play days of each copy in a folder, one after the other."""
    for path in sorted(pathlib.Path(folder).glob('*.toml')):
        for day in days or ('quiet-1', 'trouble-1'):
            for row in _play(bench, path, day):
                print(path.stem, row, flush=True)


def _play(bench: str, path: pathlib.Path, day: str) -> Iterator[str]:
    """Yield the rows of the bench's table, or that there is none."""
    ran = subprocess.run(
        [bench, 'run', str(path), day, '--why', f'variant {path.stem}'],
        capture_output=True,
        text=True,
        timeout=_LONGEST_DAY_S,
        check=False,
    )
    rows = [line for line in ran.stdout.splitlines() if _ROW.match(line)]
    yield from rows or [f'{day}: no result, exit status {ran.returncode}']


if __name__ == '__main__':
    fire.Fire({'write': write, 'play': play})
