"""HTTP adapters of the platform's services."""

from __future__ import annotations

import httpx
import msgspec
from result import Err, Ok, Result

from orchidrail.logservice.ports import Instance, LogFailure, LogPage
from orchidrail.types import Offset, Seconds, ZoneId

_REQUEST_TIMEOUT: Seconds = 3
_HTTP_OK = 200


class _Appended(msgspec.Struct):
    offset: Offset


class HttpPlatform:
    """HTTP client of the log and the instance list.

    Implements `ConfigurationLog` and `InstanceList`.

    Parameters
    ----------
    base_url : str
        URL of the platform, with an IP address as host.
    """

    def __init__(self, base_url: str) -> None:
        """Create the client; connections open on the first request."""
        limits = httpx.Limits(max_connections=8)
        self._client = httpx.AsyncClient(
            base_url=base_url,
            timeout=_REQUEST_TIMEOUT,
            limits=limits,
            trust_env=False,
        )

    async def append(
        self,
        stream: str,
        payload: str,
    ) -> Result[Offset, LogFailure]:
        """See `ConfigurationLog.append`."""
        sending = self._send('POST', f'/streams/{stream}', payload)
        body = await sending
        return body.map(
            lambda raw: msgspec.json.decode(raw, type=_Appended).offset,
        )

    async def read(
        self,
        stream: str,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, LogFailure]:
        """See `ConfigurationLog.read`."""
        path = f'/streams/{stream}?start={start}&limit={limit}'
        body = await self._send('GET', path)
        return body.map(lambda raw: msgspec.json.decode(raw, type=LogPage))

    async def fetch(self, zone: ZoneId) -> Result[list[Instance], LogFailure]:
        """See `InstanceList.fetch`."""
        body = await self._send('GET', f'/instances?zone={zone}')
        return body.map(
            lambda raw: msgspec.json.decode(raw, type=list[Instance]),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _send(
        self,
        method: str,
        path: str,
        content: str | None = None,
    ) -> Result[bytes, LogFailure]:
        try:
            response = await self._client.request(method, path, content=content)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Err(LogFailure.NOT_SENT)
        except httpx.HTTPError:
            return Err(LogFailure.ANSWER_LOST)
        if response.status_code != _HTTP_OK:
            return Err(LogFailure.REFUSED)
        return Ok(response.content)
