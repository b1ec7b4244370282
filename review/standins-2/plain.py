"""Plain servers, and their callers."""

import asyncio
import time

from standins import answer
from standins import Record
from standins import Request
from standins import Server


class PlainServer(Server):
    """Answers each request with its id after some work.

    :ivar work: seconds of work for a request.
    :ivar runs: ids of the requests that it ran, with the time.
    """

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record)
        self.work = 0.06
        self.draining = False
        self.runs: list[tuple[float, str]] = []

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a health check, or run a request."""
        if request.path == "/healthz":
            headers = {"Bankrack-Instance-Id": self.name}
            writer.write(answer(503 if self.draining else 200, b"", headers))
            await writer.drain()
            return
        headers = {"Bankrack-Instance-Id": self.name}
        if request.headers.get("bankrack-expect-instance", self.name) != self.name:
            writer.write(answer(421, b"", headers))
            await writer.drain()
            return
        request_id = request.headers.get("bankrack-request-id", "")
        self.runs.append((time.monotonic(), request_id))
        self.record.line(self.name, "runs", request=request_id)
        await asyncio.sleep(self.work)
        headers = {
            "Bankrack-Request-Id": request_id,
            "Bankrack-Response-Seal": f"seal.{self.name}.{request_id}",
        }
        writer.write(answer(200, f"answer to {request_id}".encode(), headers))
        await writer.drain()


async def call(front: str, request: str, record: Record, path: str) -> int:
    """Send a request on a new channel; returns the status, or 0 if it was cut."""
    host, _, port = front.rpartition(":")
    status = 0
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"Bankrack-Request-Id: {request}\r\nBankrack-Deadline-Ms: 3000\r\n"
            "Content-Length: 2\r\n\r\nhi".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        pass
    record.line("caller", "got", request=request, status=status)
    return status
