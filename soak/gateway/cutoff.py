"""Cuts a gateway's process off from all upstreams, as told by a file."""

import asyncio
import pathlib
import socket

from bankrack.fleet import tunnelserver
from bankrack.serving import paths

HANG_SECONDS = 60.0


def control_file(settings: str) -> pathlib.Path:
    """Return the file that tells how new connections fail; empty if they don't."""
    return pathlib.Path(f"{settings}.cut")


def install(settings: str) -> None:
    """Replace the function that connects to upstreams."""
    control = control_file(settings)
    connect_directly = paths.connect_directly

    async def connect(address: str) -> socket.socket:
        kind = control.read_text(encoding="utf-8") if control.exists() else ""
        if kind == "refused":
            raise ConnectionRefusedError("cut off")
        if kind == "silent":
            async with asyncio.timeout(paths.CONNECT_TIMEOUT_SECONDS):
                await asyncio.sleep(HANG_SECONDS)
        return await connect_directly(address)

    paths.connect_directly = connect
    tunnelserver.connect_directly = connect
