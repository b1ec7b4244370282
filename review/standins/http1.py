"""A small HTTP/1.1 reader for the stand-ins, on asyncio streams."""

import asyncio
import json


class Request:
    """One request: method, target, headers in order, and the whole body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader):
    """Return the first line and the headers; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body; raises IncompleteReadError if it is cut."""
    fields = {name.lower(): value for name, value in headers}
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body
            body += data[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def read_request(reader):
    """Return the next request of a connection; ``None`` at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def encode_response(status, headers, body):
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_json(status, value):
    """Encode a JSON response."""
    headers = [("Content-Type", "application/json")]
    return encode_response(status, headers, json.dumps(value).encode())
