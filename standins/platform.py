"""``standin-platform``: the log and the instance list over HTTP."""

from __future__ import annotations

import asyncio
import time

import fire
import msgspec
import structlog
import uvicorn
from blacksheep import Application, Content, Request, Response, Router
from result import Ok

from orchidrail import sockets
from orchidrail.http_handlers import as_handler
from orchidrail.logs import configure_logs
from orchidrail.logservice.ports import Instance, LogFailure
from orchidrail.types import Offset
from standins.log import LogFaults, LogMachine

_OK = 200
_DOWN = 503
_JSON = b'application/json'
_log = structlog.get_logger()


class PlatformApi:
    """Serves a log and an instance list over HTTP."""

    def __init__(self, retention: float) -> None:
        """Start empty."""
        self.log = LogMachine(time.time, retention)
        self.instance_by_name: dict[str, Instance] = {}
        self.app = Application(router=Router())
        router = self.app.router
        router.add_post('/streams/{stream}', as_handler(self.append))
        router.add_get('/streams/{stream}', as_handler(self.read))
        router.add_get('/instances', as_handler(self.list_instances))
        router.add_put('/instances', as_handler(self.put_instance))
        router.add_delete('/instances/{name}', as_handler(self.delete_instance))
        router.add_put('/faults', as_handler(self.put_faults))

    async def append(self, request: Request) -> Response:
        """Append the body to a stream."""
        await asyncio.sleep(self.log.faults.delay)
        body = await request.read() or b''
        stream = _route_value(request, 'stream')
        outcome = self.log.append(stream, body.decode())
        if isinstance(outcome, Ok):
            return _json_response({'offset': outcome.ok_value})
        if outcome.err_value is LogFailure.ANSWER_LOST:
            await asyncio.sleep(60)
        return Response(_DOWN)

    async def read(self, request: Request) -> Response:
        """Return a page of a stream."""
        await asyncio.sleep(self.log.faults.delay)
        stream = _route_value(request, 'stream')
        start = int(request.query['start'][0])
        limit = int(request.query['limit'][0])
        outcome = self.log.read(stream, Offset(start), limit)
        if isinstance(outcome, Ok):
            return _json_response(outcome.ok_value)
        return Response(_DOWN)

    async def list_instances(self, request: Request) -> Response:
        """Return the instances of a zone."""
        if self.log.faults.down:
            return Response(_DOWN)
        zone = request.query['zone'][0]
        found = [
            instance
            for instance in self.instance_by_name.values()
            if instance.zone == zone
        ]
        return _json_response(found)

    async def put_instance(self, request: Request) -> Response:
        """Add or change an instance."""
        raw = await request.read() or b''
        instance = msgspec.json.decode(raw, type=Instance)
        self.instance_by_name[instance.name] = instance
        return Response(_OK)

    async def delete_instance(self, request: Request) -> Response:
        """Remove an instance from the list."""
        name = _route_value(request, 'name')
        self.instance_by_name.pop(name, None)
        return Response(_OK)

    async def put_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        raw = await request.read() or b''
        self.log.faults = msgspec.json.decode(raw, type=LogFaults)
        return Response(_OK)


def _route_value(request: Request, name: str) -> str:
    values = request.route_values or {}
    return str(values[name])


def _json_response(body: object) -> Response:
    return Response(_OK, content=Content(_JSON, msgspec.json.encode(body)))


def run(listen: str, retention: float = 3600) -> None:
    """Run the stand-in until it is terminated.

    Parameters
    ----------
    listen : str
        ``host:port``; port 0 lets the operating system choose.
    retention : float
        Seconds for which records are retained.
    """
    configure_logs('info', daemon='standin-platform')
    bound = sockets.listen(listen)
    host, port = bound.getsockname()
    _log.info('ready', address=f'{host}:{port}')
    config = uvicorn.Config(
        PlatformApi(retention).app,
        loop='asyncio',
        log_config=None,
        access_log=False,
    )
    uvicorn.Server(config).run(sockets=[bound])


def main() -> None:
    """Read the command line."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
