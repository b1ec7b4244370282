"""A surplus answer on a control channel, while servers are replaced (see claim.txt)."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import engines
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 20
SHORT = {1: 62, 6: 68, 11: 74}
"""Streams, by their number, that end while their server drains, and their events."""
LONG = 250
SURPLUS = 4
"""Answers to ``kv-move`` that are followed by a second one, of over 134 answers."""


def request_id(number: int) -> str:
    """Return the id of a stream's request."""
    return f"{number:02x}a0c1d2e3f4b5c6"


def length(request: str) -> int:
    """Return the number of events of a stream."""
    return SHORT.get(int(request[:2], 16), LONG)


async def play(record: standins.Record, folder: str) -> tuple[int, str]:
    """Play the case; returns the exit code and why."""
    store = standins.Store(record)
    await store.start()
    old = engines.Engine("i-old", record)
    new = engines.Engine("i-new", record)
    old.events = new.events = length
    await old.start()
    await new.start()
    traits = {"name": "scribe", "healthPath": "/healthz", "maxConnections": 442}
    traits |= {"protocol": "h1", "tls": False, "engine": standins.ENGINE_TRAITS}
    store.put(
        "op/config",
        standins.configuration(1, [standins.streaming_route("scribe")], [traits]),
    )
    store.put("servers/i-old", standins.server_entry("scribe", old.address))
    expiry = asyncio.create_task(store.expire())
    node = standins.Node("edge-1", store.address, folder)
    node.start()
    try:
        await node.wait_until_ready()
        # A node that has just started has a smaller share of the retry budget.
        await asyncio.sleep(14.0)
        calls = []
        for number in range(STREAMS):
            call = engines.call_stream(node.front, request_id(number), record)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.07)
        # The service's servers are replaced: the new one starts first.
        store.put("servers/i-new", standins.server_entry("scribe", new.address))
        await asyncio.sleep(0.5)
        old.draining = True
        store.put(
            "servers/i-old",
            standins.server_entry("scribe", old.address, state="draining"),
        )
        # It serves on for drainMs (2 s) and a little longer, then ends.
        await asyncio.sleep(1.9)
        old.surplus_left = SURPLUS if TROUBLE else 0
        await asyncio.sleep(1.0)
        record.line("i-old", "ends", answers=old.answers, surplus=old.surplus_sent)
        old.end()
        store.remove("servers/i-old")
        async with asyncio.timeout(60.0):
            streams = await asyncio.gather(*calls)
    finally:
        expiry.cancel()
        if node.ended is not None:
            record.line("node", "ended", code=node.ended)
        for line in node.log_lines("copy_made")[-STREAMS:]:
            record.line("log", line[:300])
        for line in node.log_lines("run_sending")[-STREAMS:]:
            record.line("log", line[:300])
        node.end()
        new.end()
        store.end()
    crossed = [(r, owner) for r, owner in new.carried if r != owner]
    foreign = [stream for stream in streams if stream.foreign]
    share = old.surplus_sent / max(1, old.answers)
    record.line("judge", "resumed", runs=len(new.carried), crossed=len(crossed))
    record.line("judge", "surplus", share=f"{share:.4f}", answers=old.answers)
    if TROUBLE and (not old.surplus_sent or share > 0.03):
        return 2, "no surplus answer was sent, or more than 3 in 100"
    if not new.carried:
        return 2, "no run was resumed"
    if crossed or foreign:
        return 1, (
            f"MIXED: {len(crossed)} of {len(new.carried)} requests were carried on from"
            f" the memory of another request, {len(foreign)} callers got its events"
        )
    return 0, f"{len(new.carried)} runs went on from their own memory"


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, play))
