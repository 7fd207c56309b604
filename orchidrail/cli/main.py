"""Entry point of the ``orchidrail`` command.

Exit codes: 0 success; 1 request rejected or check failed; 2 invalid command
line or file; 3 another draft was published first; 4 service unreachable.
"""

from __future__ import annotations

import os
import sys

import fire
import msgspec
from fire import decorators

from orchidrail.access import digest_of, make_bearer_key
from orchidrail.bundles.model import Bundle
from orchidrail.bundles.signing import make_key
from orchidrail.cli.bundle_commands import BundleCommands
from orchidrail.cli.context import Command, Context
from orchidrail.cli.explain import explain, read_lines
from orchidrail.cli.job_commands import JobCommands
from orchidrail.cli.output import ExitCode, fail, print_line, show, show_json
from orchidrail.cli.wait_summary import summarize_waits
from orchidrail.scheduler.gossiper import DaemonStatus
from orchidrail.settings import (
    GatewaySettings,
    OperatorSettings,
    SchedulerSettings,
    SettingsError,
    load,
)
from orchidrail.types import WorkerId
from orchidrail.wire.messages import Ack, DrainWorker, QueryStatus, Status

_JSON_FLAG = '--json'
_SETTINGS_VARIABLE = 'ORCHIDRAIL_SETTINGS'
_FILE_TYPE_BY_KIND: dict[str, type[msgspec.Struct]] = {
    'scheduler': SchedulerSettings,
    'gateway': GatewaySettings,
    'operator': OperatorSettings,
    'bundle': Bundle,
}


class InstanceCommands(Command):
    """List and drain upstream instances."""

    def list(self) -> None:
        """List the workers of all zones with their holders.

        Example: orchidrail instance list
        """
        self._run('_list')

    def drain(self, worker: str) -> None:
        """Drain a worker: it gets no new work until it is replaced.

        To drain it permanently, list it in `draining` of its zone in the
        bundle.

        Example: orchidrail instance drain w-17
        """
        self._run('_drain', worker)

    async def _list(self, context: Context) -> None:
        rows = [
            (
                worker,
                status.zone,
                status.name,
                str(found.epoch),
                f'{found.load:.0%}',
                str(found.tasks),
                'open' if found.open else 'closed',
            )
            for status in await read_statuses(context)
            for worker, found in sorted(status.workers.items())
        ]
        columns = (
            'worker',
            'zone',
            'holder',
            'epoch',
            'load',
            'tasks',
            'new work',
        )
        show('workers', columns, rows, json=self._json)

    async def _drain(self, context: Context, worker: str) -> None:
        acknowledged = 0
        message = DrainWorker(worker=WorkerId(worker))
        for addresses in context.settings.schedulers.values():
            for address in addresses:
                answer = await context.ask(address, message)
                acknowledged += isinstance(answer, Ack)
        if not acknowledged:
            fail(ExitCode.UNREACHABLE, 'no scheduler is reachable')
        print_line(
            f'{worker} gets no new work ({acknowledged} schedulers told)'
        )


class SettingsCommands:
    """Validate settings files and bundles."""

    def check(self, file: str, kind: str = '') -> None:
        """Validate a settings file or bundle and report all errors.

        KIND is scheduler, gateway, operator or bundle; by default it is
        inferred from the file's name.

        Example: orchidrail settings check gateway-1.json
        """
        inferred = kind or next(
            (
                name
                for name in _FILE_TYPE_BY_KIND
                if name in os.path.basename(file)
            ),
            '',
        )
        if inferred not in _FILE_TYPE_BY_KIND:
            expected = ', '.join(_FILE_TYPE_BY_KIND)
            fail(ExitCode.USAGE, f'got kind {inferred!r}, expected {expected}')
        try:
            load(file, _FILE_TYPE_BY_KIND[inferred])
        except SettingsError as error:
            fail(ExitCode.REFUSED, str(error))
        print_line(f'{file}: a correct {inferred} file')


class KeyCommands:
    """Generate keys."""

    def make(self, kind: str = 'operator') -> None:
        """Generate a key for an operator (ed25519) or a tenant (bearer).

        Example: orchidrail key make tenant
        """
        makers = {'operator': _make_operator_key, 'tenant': _make_tenant_key}
        if kind not in makers:
            fail(
                ExitCode.USAGE,
                f'got kind {kind!r}, expected {sorted(makers)!r}',
            )
        show_json(makers[kind]())


class StatusCommand(Command):
    """Report the state of all daemons."""

    def status(self) -> None:
        """Show workers, queues and versions in force, by daemon.

        Example: orchidrail status
        """
        self._run('_status')

    async def _status(self, context: Context) -> None:
        rows = [
            (
                status.name,
                status.zone,
                str(status.bundle),
                'yes' if status.log_connected else 'no',
                str(len(status.workers)),
                str(status.queued),
                f'{status.owned_jobs}/{status.open_jobs}',
                str(status.broken_invariants),
            )
            for status in await read_statuses(context)
        ]
        columns = (
            'scheduler',
            'zone',
            'bundle',
            'log',
            'workers',
            'queued',
            'jobs',
            'broken',
        )
        show('schedulers', columns, rows, json=self._json)


class Orchidrail:
    """Operate a cell.

    Parameters
    ----------
    settings : str
        Path of your operator settings; default: $ORCHIDRAIL_SETTINGS.
    json : bool
        Print JSON instead of tables.
    """

    def __init__(self, settings: str = '', json: bool = False) -> None:
        """Build the command groups."""
        path = settings or os.environ.get(_SETTINGS_VARIABLE, '')
        self.bundle = BundleCommands(path, json)
        self.job = JobCommands(path, json)
        self.instance = InstanceCommands(path, json)
        self.settings = SettingsCommands()
        self.key = KeyCommands()
        self.status = StatusCommand(path, json).status

    @decorators.SetParseFns(job=str)
    def explain(self, job: str, *logs: str) -> None:
        """Show log lines about a job and about events that affected it.

        Example: orchidrail explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
        """
        try:
            found = explain(str(job), read_lines(logs))
        except OSError as error:
            fail(ExitCode.USAGE, str(error))
        if not found:
            fail(ExitCode.REFUSED, f'no log line names job {job!r}')
        for line in found:
            print_line(line.to_text())
        for sentence in summarize_waits(found):
            print_line(sentence)


async def read_statuses(context: Context) -> list[DaemonStatus]:
    """Return the status of all reachable schedulers of the settings."""
    statuses = []
    for addresses in context.settings.schedulers.values():
        for address in addresses:
            answer = await context.ask(address, QueryStatus())
            if isinstance(answer, Status):
                document = answer.document
                statuses.append(
                    msgspec.json.decode(document, type=DaemonStatus),
                )
    return statuses


def _make_operator_key() -> dict[str, str]:
    private, public = make_key()
    return {'privateKey': private, 'publicKey': public}


def _make_tenant_key() -> dict[str, str]:
    bearer = make_bearer_key()
    return {'bearerKey': bearer, 'digest': digest_of(bearer)}


def main() -> None:
    """Run the command line; ``--json`` may be given at any position."""
    words = [word for word in sys.argv[1:] if word != _JSON_FLAG]
    if len(words) < len(sys.argv) - 1:
        words = [f'{_JSON_FLAG}=True', *words]
    fire.Fire(Orchidrail, command=words, name='orchidrail')


if __name__ == '__main__':
    main()
