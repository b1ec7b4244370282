"""Tests of the requests that the stop of a node ends."""

import asyncio
import typing as t

from bankrack.exceptions import BankrackError
from bankrack.exceptions import Outcome
from bankrack.serving.assignment import Assignment
from bankrack.serving.assignment import Sends
from bankrack.serving.requestsinflight import RequestInFlight
from tests.base import TestCase


class _Work:
    def __init__(self) -> None:
        self.sends = Sends()


class RequestInFlightTest(TestCase):
    async def end(
        self, sends: Sends, *, awaken: bool = False, cancel: bool = False
    ) -> BankrackError | None:
        """End a request that waits; returns its error.

        :param awaken: what it waits for comes at the same moment.
        :param cancel: its caller leaves at the same moment.
        """
        requests: list[RequestInFlight] = []
        event = asyncio.Event()
        work = _Work()
        work.sends = sends

        async def serve() -> BankrackError | None:
            request = RequestInFlight(t.cast(t.Any, None))
            request.assignment = t.cast(Assignment, work)
            requests.append(request)
            try:
                await event.wait()
                sends.upstreams.append("e-1")
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                if (error := request.take_end()) is None:
                    raise
                return error
            return None

        task = asyncio.create_task(serve())
        await asyncio.sleep(0)
        if awaken:
            event.set()
        requests[0].end()
        requests[0].end()
        if cancel:
            task.cancel()
        return await task

    async def test_request_that_is_just_about_to_be_sent_is_not_sent(self):
        sends = Sends()
        error = await self.end(sends, awaken=True)
        assert error is not None
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        self.assertEqual([], sends.upstreams)

    async def test_request_that_an_upstream_has_is_not_reported_as_not_run(self):
        error = await self.end(Sends(["e-1", "e-2"], rejected=1))
        assert error is not None
        self.assertEqual(Outcome.UNKNOWN, error.outcome)

    async def test_request_that_upstreams_rejected_is_reported_as_not_run(self):
        error = await self.end(Sends(["e-1", "e-2"], rejected=2))
        assert error is not None
        self.assertEqual(Outcome.NOT_RUN, error.outcome)

    async def test_caller_that_left_is_not_answered(self):
        with self.assertRaises(asyncio.CancelledError):
            await self.end(Sends(), cancel=True)
