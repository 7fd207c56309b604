"""Tests of the message encoding and of calls over TCP."""

from __future__ import annotations

import asyncio

from result import Ok

from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, CallFailure, RefusalCode, WorkerId
from orchidrail.wire.codec import CodecError, decode
from orchidrail.wire.messages import Ack, Message, QueryHolder, Refusal
from orchidrail.wire.transport import (
    MessageServer,
    TcpTransport,
    TrafficCounter,
)
from tools.generate_schema import SCHEMA_FILE, SchemaWriter

_KEY = 'a key for tests only'


class CodecTest(AsyncTestCase):
    def test_committed_schema_is_up_to_date(self) -> None:
        self.assertEqual(SchemaWriter().render(), SCHEMA_FILE.read_text())

    def test_malformed_frames_raise_codec_error(self) -> None:
        for frame in (b'', b'\x00', b'x' * 40, bytes(range(64))):
            self.assertRaises(CodecError, decode, frame)


class TransportTest(AsyncTestCase):
    async def serve(self, handler, key: str = _KEY):  # type: ignore[no-untyped-def]
        """Start a server; return it, its address and a client."""
        server = MessageServer(handler, TrafficCounter(), _KEY)
        address = await server.start('127.0.0.1', 0)
        return server, address, TcpTransport('test', key)

    def test_out_of_order_answers_reach_their_callers(self) -> None:
        async def handle(message: Message) -> Message:
            number = int(message.worker)
            await asyncio.sleep((10 - number) / 500)
            return Refusal(code=RefusalCode.INVALID, detail=message.worker)

        async def scenario() -> None:
            server, address, client = await self.serve(handle)
            calls = [
                client.call(address, QueryHolder(worker=WorkerId(f'{one}')), 5)
                for one in range(10)
            ]
            answers = await asyncio.gather(*calls)
            details = [answer.ok_value.detail for answer in answers]
            self.assertEqual([str(one) for one in range(10)], details)
            await client.close()
            await server.close()

        self.run_async(scenario())

    def test_late_answer_is_dropped_and_counted(self) -> None:
        async def handle(message: Message) -> Message:
            await asyncio.sleep(0.1)
            return Ack()

        async def scenario() -> None:
            server, address, client = await self.serve(handle)
            lost = await client.call(address, Ack(), 0.02)
            self.assert_err(lost, CallFailure.ANSWER_LOST)
            await asyncio.sleep(0.2)
            self.assertEqual(1, client.traffic.late_answers)
            await client.close()
            await server.close()

        self.run_async(scenario())

    def test_wrong_cluster_key_is_rejected(self) -> None:
        async def handle(message: Message) -> Message:
            await asyncio.sleep(0)
            raise AssertionError('nothing may be handled')

        async def scenario() -> None:
            server, address, client = await self.serve(handle, 'another key')
            outcome = await client.call(address, Ack(), 1)
            self.assert_err(outcome, CallFailure.NOT_SENT)
            await client.close()
            await server.close()

        self.run_async(scenario())

    def test_closed_connection_is_reopened(self) -> None:
        async def handle(message: Message) -> Message:
            await asyncio.sleep(0)
            return Ack()

        async def scenario() -> None:
            server, address, client = await self.serve(handle)
            await client.call(address, Ack(), 1)
            await server.close()
            failed = await client.call(address, Ack(), 1)
            self.assertNotEqual(Ok(Ack()), failed)
            host, port = address.rsplit(':', 1)
            restarted_server = MessageServer(handle, TrafficCounter(), _KEY)
            await restarted_server.start(host, int(port))
            recovered = await client.call(Address(address), Ack(), 1)
            self.assertEqual(Ok(Ack()), recovered)
            await client.close()
            await restarted_server.close()

        self.run_async(scenario())
