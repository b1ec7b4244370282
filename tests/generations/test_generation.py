"""Tests of retries, resumption and cancellation of generations."""

import asyncio
import json

import aiohttp

from bankrack.front import answers
from tests.base import TestCase
from tests.fakes import testbed
from tests.front.test_callers import body
from tests.front.test_callers import texts

LENGTH = 12
ORIGINAL_WRITE = answers.web.StreamResponse.write


def is_complete(words, length=LENGTH):
    return [w.rpartition("-")[2].strip() for w in words] == [
        str(n) for n in range(length)
    ]


class TestRetrying(TestCase):
    async def test_refused_request_is_retried_on_another_engine(self):
        async with testbed(engines=2) as b:
            b.engines[0].faults.refuse = True
            for _ in range(3):
                async with b.post(body(LENGTH, stream=True)) as response:
                    words = texts(await b.events(response))
                self.assertTrue(is_complete(words))

    async def test_repeatable_request_is_retried_if_cut_before_first_token(self):
        async with testbed(engines=2) as b:
            b.engines[0].faults.cut_before_answer = True
            for _ in range(3):
                async with b.post(body(LENGTH)) as response:
                    answer = await response.json()
                self.assertEqual(LENGTH, answer["usage"]["completion_tokens"])

    async def test_refusal_after_uncertain_attempt_is_reported_as_unknown(self):
        async with testbed(engines=2) as b:
            for engine in b.engines:
                engine.faults.cut_before_answer = True
                engine.faults.forget = True
            async with b.post(body()) as response:
                answer = await response.json()
            self.assertEqual("unknown", answer["error"]["outcome"])
            for engine in b.engines:
                engine.faults.refuse = True
            b.engines[0].faults.refuse = False
            for _ in range(4):
                async with b.post(body()) as response:
                    answer = await response.json()
                ran = sum(len(e.runs_by_generation) for e in b.engines)
                outcome = answer["error"]["outcome"]
                self.assertEqual("unknown", outcome, f"{ran} runs: {answer}")

    async def test_request_without_available_engine_gets_typed_error(self):
        async with testbed(engines=1) as b:
            b.engines[0].faults.refuse = True
            async with b.post(body()) as response:
                answer = await response.json()
            self.assertEqual(503, response.status)
            self.assertEqual("not_run", answer["error"]["outcome"])
            self.assertIn("Retry-After", response.headers)
            self.assertEqual({}, b.engines[0].runs_by_generation)


class TestResuming(TestCase):
    async def test_stream_cut_at_any_byte_is_resumed(self):
        async with testbed(engines=1) as b:
            for cut in range(1, 1300, 61):
                b.engines[0].faults.cut_after = cut
                async with b.post(body(LENGTH, stream=True)) as response:
                    words = texts(await b.events(response))
                self.assertTrue(is_complete(words), f"cut after {cut}: {words}")

    async def test_invalid_events_are_not_delivered(self):
        for fault in ("repeat_at", "skip_at", "foreign_at", "garbage_at"):
            for offset in (0, 5, LENGTH - 1):
                async with testbed(engines=1) as b:
                    setattr(b.engines[0].faults, fault, offset)
                    async with b.post(body(LENGTH, stream=True)) as response:
                        words = texts(await b.events(response))
                    self.assertTrue(is_complete(words), f"{fault} {offset}: {words}")

    async def test_lost_generation_ends_with_error_event(self):
        async with testbed(engines=1) as b:
            async with b.post(body(200, stream=True)) as response:
                await response.content.readline()
                engine = b.engines[0]
                for name in list(engine.generations_by_id):
                    engine._drop(name)
                events = await b.events(response)
            error = json.loads(events[-1][1])["error"]
            self.assertEqual("stream_interrupted", error["code"])
            self.assertEqual("ran", error["outcome"])
            self.assertNotIn("[DONE]", [data for _, data in events])

    async def test_truncated_response_is_an_error(self):
        async with testbed(engines=1) as b:
            task = asyncio.ensure_future(self.fetch(b))
            engine = b.engines[0]
            while not engine.generations_by_id:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            for name in list(engine.generations_by_id):
                engine._drop(name)
            status, answer = await task
        self.assertEqual(502, status)
        self.assertEqual("stream_interrupted", answer["error"]["code"])

    async def fetch(self, b):
        async with b.post(body(300)) as response:
            return response.status, await response.json()

    async def test_stream_is_resumed_on_another_node(self):
        async with testbed(engines=1, nodes=2) as b:
            async with b.post(body(60, stream=True)) as response:
                line = await response.content.readline()
                while not line.startswith(b"id: "):
                    line = await response.content.readline()
                # Simulates a crash of the node: nothing is cancelled.
                b.nodes[0].engines.cancel_soon = lambda *args: None
                response.close()
            last = line.decode()[4:].strip()
            request = body(60, stream=True)
            async with b.post(request, node=1, Last_Event_ID=last) as response:
                words = texts(await b.events(response))
            first = int(last.rpartition(":")[2]) + 1
            numbers = [int(w.rpartition("-")[2]) for w in words if w]
            self.assertEqual(list(range(first, 60)), numbers)
            self.assertEqual([1], list(b.engines[0].runs_by_generation.values()))

    async def test_resume_by_another_workspace_or_with_forged_id_is_rejected(self):
        async with testbed(engines=1) as b:
            async with b.post(body(20, stream=True)) as response:
                events = await b.events(response)
            last = events[3][0]
            request = body(stream=True)
            async with b.post(
                request, workspace="south", Last_Event_ID=last
            ) as response:
                self.assertEqual(404, response.status)
            # Ensures a changed signature whichever character it begins with.
            forged = ("B" if last.startswith("A") else "A") + last[1:]
            async with b.post(request, Last_Event_ID=forged) as response:
                self.assertEqual(404, response.status)


class TestCancelling(TestCase):
    async def test_disconnect_of_caller_cancels_generation(self):
        async with testbed(engines=1) as b:
            async with b.post(body(5000, stream=True)) as response:
                await response.content.readline()
                response.close()
            engine = b.engines[0]
            for _ in range(100):
                if engine.cancelled:
                    break
                await asyncio.sleep(0.02)
            self.assertEqual(1, engine.cancelled)
            self.assertTrue(engine.model.idle)
            self.assertEqual(0, b.nodes[0].in_flight.total)
            self.assertEqual({}, b.nodes[0].admission.slots_by_id)


class TestDisconnectedCallers(TestCase):
    async def test_failed_write_to_caller_does_not_resume_generation(self):
        """A write error must not be mistaken for a failure of the engine."""
        async with testbed(engines=1) as b:
            node = b.nodes[0]
            generations = []
            async with b.post(body(400, stream=True)) as response:
                await response.content.readline()
                generations += node.engines.reading
                self.patch(answers.web.StreamResponse, "write", fail_for_caller)
                await asyncio.sleep(0.5)
            self.assertEqual([0], [generation.resumes for generation in generations])
            self.assertEqual(1, b.engines[0].cancelled)


async def fail_for_caller(response, data):
    """Raise for responses of the node, but not for those of the engine."""
    if "X-Request-Id" in response.headers:
        raise aiohttp.ClientConnectionResetError("Cannot write to closing transport")
    await ORIGINAL_WRITE(response, data)


class TestStalling(TestCase):
    async def test_stalled_connection_is_resumed(self):
        async with testbed(engines=1) as b:
            engine = b.engines[0]
            node = b.nodes[0]
            async with b.post(body(400, stream=True)) as response:
                await response.content.readline()
                # Simulates the detection of a stalled connection.
                generation = next(iter(node.engines.reading))
                generation.interrupt()
                words = texts(await b.events(response))
            self.assertGreaterEqual(generation.resumes, 1)
            self.assertEqual("399", words[-1].rpartition("-")[2].strip())
            self.assertEqual([1], list(engine.runs_by_generation.values()))

    async def test_slow_caller_gets_the_whole_stream(self):
        async with testbed(engines=1) as b:
            async with b.post(body(3000, stream=True)) as response:
                await response.content.readline()
                await asyncio.sleep(1.0)
                words = texts(await b.events(response))
            self.assertEqual("2999", words[-1].rpartition("-")[2].strip())

    async def test_caller_that_does_not_read_causes_no_resume(self):
        async with testbed(engines=1) as b:
            async with b.post(body(40, stream=True)) as response:
                await response.content.readline()
                generations = list(b.nodes[0].engines.reading)
                await b.events(response)
            self.assertEqual([0], [generation.resumes for generation in generations])
