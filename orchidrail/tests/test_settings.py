"""Tests of settings and bundles as files."""

from __future__ import annotations

import pathlib

import testtools
from result import Ok

from orchidrail.bundles.model import Bundle
from orchidrail.settings import (
    GatewaySettings,
    OperatorSettings,
    SchedulerSettings,
    SettingsError,
    load,
    parse,
)

_ROOT = pathlib.Path(__file__).parents[2]
_KINDS = {
    'scheduler': SchedulerSettings,
    'gateway': GatewaySettings,
    'operator': OperatorSettings,
    'bundle': Bundle,
}


class SettingsTest(testtools.TestCase):
    def test_the_deployments_of_both_users_are_valid(self) -> None:
        paths = sorted((_ROOT / 'deployments').glob('*/*.json'))
        self.assertGreater(len(paths), 12)
        for path in paths:
            kind = _KINDS[path.name.split('-')[0].removesuffix('.json')]
            load(str(path), kind)

    def test_all_errors_are_reported_together(self) -> None:
        text = """{
            // a comment is fine
            "name": "Gateway One",
            "zone": "hall-1",
            "listen": "localhost",
            "platform": "http://10.0.0.9",
            "clusterKey": "short",
            "operators": {"alice": {"key": 7, "roles": ["king"]}},
            "timings": {"leaseTtl": -1},
            "speed": 3,
        }"""
        problems = parse(text, GatewaySettings).unwrap_err()
        paths = sorted(problem.split(':')[0] for problem in problems)
        expected = [
            'clusterKey',
            'listen',
            'name',
            'operators.alice.key',
            'operators.alice.roles[0]',
            'schedulers',
            'speed',
            'timings.leaseTtl',
        ]
        self.assertEqual(expected, paths)

    def test_secrets_are_not_shown(self) -> None:
        problems = parse('{"clusterKey": "hunter2"}', GatewaySettings)
        self.assertNotIn('hunter2', str(problems.unwrap_err()))

    def test_a_missing_file_is_reported(self) -> None:
        error = self.assertRaises(
            SettingsError,
            load,
            'no-such-file.json',
            GatewaySettings,
        )
        self.assertIn('expected a file', str(error))

    def test_an_empty_bundle_is_valid(self) -> None:
        self.assertIsInstance(parse('{}', Bundle), Ok)
