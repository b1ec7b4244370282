"""Engines that answer control calls more often than they were asked."""

import asyncio
import contextlib
import enum
import itertools
import json
import re
import typing as t

from bankrack.clock import boottime
from bankrack.gateway import Gateway
from bankrack.serving.callprogress import CallProgress
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import HOST

SURPLUS_DELAY_SECONDS = 0.03


class Surplus(enum.Enum):
    """When an engine sends an answer a second time."""

    IDLE = "idle"  # While the connection waits for the next call.
    LATE = "late"  # Once the next call has arrived on the connection.


class SurplusEngine:
    """An engine that sends each of its answers twice.

    :ivar open: connections that its clients keep open.
    """

    def __init__(self, surplus: Surplus) -> None:
        self.open = 0
        self._surplus = surplus
        self._numbers = itertools.count(1)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open += 1
        last = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                if self._surplus is Surplus.LATE:
                    writer.write(last)
                last = self._answer(body)
                writer.write(last)
                if self._surplus is Surplus.IDLE:
                    await asyncio.sleep(SURPLUS_DELAY_SECONDS)
                    writer.write(last)
        self.open -= 1
        writer.close()

    def _answer(self, request: bytes) -> bytes:
        """Return an answer that fits every call and names the call."""
        number = next(self._numbers)
        payload = json.loads(request) if request else {}
        answer = {
            "handle": f"copy-of-{payload.get('id')}",
            "hold": f"hold-{number}",
            "running": number,
            "queued": 0,
            "kvUsed": 0,
            "kvTotal": 9,
        }
        body = json.dumps(answer).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


class Calls(t.NamedTuple):
    """A gateway's control calls to one engine."""

    gateway: Gateway
    control: EngineControl
    engine: Upstream
    fake: SurplusEngine


@contextlib.asynccontextmanager
async def calling(surplus: Surplus) -> t.AsyncIterator[Calls]:
    """Run a gateway and an engine that is not in its view."""
    engine = SurplusEngine(surplus)
    server = await asyncio.start_server(engine.serve, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    record = UpstreamRecord("e-1", "engines", address, "a", slots=1)
    try:
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            control = gateway.reservations.control
            yield Calls(gateway, control, Upstream(record, boottime()), engine)
    finally:
        server.close()


async def pause() -> None:
    """Wait until a surplus answer has arrived."""
    await asyncio.sleep(2 * SURPLUS_DELAY_SECONDS)


class SurplusAnswers(TestCase):
    async def test_surplus_answer_is_taken_for_the_next_run_s_copy(self):
        # Guards against a run that is resumed from the memory of another request.
        for surplus in Surplus:
            async with calling(surplus) as (_, control, engine, _):
                handles = []
                for run in ("a", "b", "c"):
                    handles.append(await control.copy(engine, run, engine))
                    await pause()
            with self.subTest(surplus):
                self.assertEqual(["copy-of-a", "copy-of-b", "copy-of-c"], handles)

    async def test_surplus_answer_is_taken_for_the_next_run_s_reservation(self):
        # Guards against a reservation that is used by two runs.
        for surplus in Surplus:
            async with calling(surplus) as (_, control, engine, _):
                holds = []
                for _ in range(3):
                    hold = await control.reserve(engine, 9, 1.0, CallProgress())
                    holds.append(hold)
                    await pause()
            with self.subTest(surplus):
                self.assertEqual(["hold-1", "hold-2", "hold-3"], holds)

    async def test_surplus_answer_is_taken_for_the_next_report(self):
        # Guards against old load, and runs that are moved as an old report lacks them.
        for surplus in Surplus:
            async with calling(surplus) as (_, control, engine, _):
                running_counts = []
                for _ in range(3):
                    running_counts.append((await control.report(engine)).running)
                    await pause()
            with self.subTest(surplus):
                self.assertEqual([1, 2, 3], running_counts)

    async def test_surplus_answer_to_another_kind_of_call_is_taken(self):
        # Guards against calls whose own answers nobody reads but that leave one behind.
        async with calling(Surplus.LATE) as (_, control, engine, _):
            await control.probe(engine, "/healthz")
            await control.drop_copy(engine, "copy-of-a")
            await control.release(engine, "hold-1")
            self.assertEqual("copy-of-d", await control.copy(engine, "d", engine))
            self.assertEqual(5, (await control.report(engine)).running)

    async def test_surplus_answer_leaves_no_trace(self):
        # Guards against an engine in trouble that only its victims show.
        async with calling(Surplus.IDLE) as (gateway, control, engine, _):
            with self.assertLogs("bankrack.gateway", "INFO") as logged:
                await control.report(engine)
                await pause()
            self.assertIn(
                f"event=surplus_answer address={engine.address}", logged.output[-1]
            )
            self.assertEqual(1, gateway.metrics.surplus_answers.get({}))

    async def test_answer_without_surplus_counts_as_one(self):
        # Guards against false reports of engines that answer each call once.
        async with calling(Surplus.LATE) as (_, control, engine, _):
            with self.assertNoLogs("bankrack.gateway", "INFO"):
                await control.report(engine)
                await pause()
                await pause()

    async def test_connections_of_calls_stay_open(self):
        # Guards against resets by an engine, whose connections all nodes share.
        for surplus in Surplus:
            async with calling(surplus) as (_, control, engine, fake):
                await asyncio.gather(*(control.report(engine) for _ in range(9)))
                self.assertLessEqual(fake.open, 9)
                await until(lambda fake=fake: fake.open == 0, seconds=0.5)
