"""Tests of the variants of site files."""

from __future__ import annotations

import pathlib
import tempfile
import tomllib
from random import Random

from testtools import TestCase

from tools.variants import VariantError, draw, write

_SITE = """
services = [{ name = "s", node = { cpu = 64000, guards = false } }]
classes = [
  { name = "a", jobs = { gang = 1, timed = 0.0, near = 0.0, saves = 0.5 } },
]
traffic = [{ zone = "z", per_s = 20.0, clients = 41 }]
"""


class VariantsTest(TestCase):
    def test_copy_differs_only_in_drawn_values(self) -> None:
        for seed in range(20):
            text, drawn = draw(_SITE, Random(seed))
            site = tomllib.loads(text)
            jobs = site['classes'][0]['jobs']
            before = tomllib.loads(_SITE)['classes'][0]['jobs']
            for field, value in before.items():
                expected = drawn.get(field, value)
                self.assertEqual(float(expected), float(jobs[field]))
            rate = site['traffic'][0]['per_s']
            self.assertEqual(20 * float(drawn['rate']), rate)

    def test_same_seed_draws_same_values(self) -> None:
        self.assertEqual(draw(_SITE, Random(3)), draw(_SITE, Random(3)))

    def test_folder_inside_the_repository_is_rejected(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            site = pathlib.Path(folder) / 'site.toml'
            site.write_text(_SITE)
            write(str(site), f'{folder}/copies', count=2)
            copies = list((pathlib.Path(folder) / 'copies').glob('*.toml'))
            self.assertEqual(2, len(copies))
            inside = str(pathlib.Path.cwd() / 'copies')
            self.assertRaises(VariantError, write, str(site), inside)
