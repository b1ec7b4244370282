"""A server that leaves gets requests from nodes whose two leaders fail (see claim.txt)."""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import plain
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HALLS = {"hobart-hall": 3, "kingston-hall": 3, "glenorchy-hall": 2}
CUT_OFF = "edge-kingston-hall-2"
"""Reads the store for the others, as its log says."""
FROZEN = "edge-hobart-hall-3"
"""The node that is next to read it."""
TOUCHED = ("edge-glenorchy-hall-1", "edge-glenorchy-hall-2")
"""Nodes without any disturbance, to which the callers send their requests."""
DRAIN_SECONDS = 2.0
SERVED_ON_SECONDS = 4.0
FROZEN_SECONDS = 4.0
CUT_OFF_SECONDS = 5.5
ROUTE = {
    "name": "r-info",
    "hostname": "site.example",
    "pathPrefix": "/info/",
    "kind": "non_idempotent",
    "timeoutMs": 1500,
    "targetLatencyMs": 300,
    "priority": 2,
    "service": "portal",
    "maxAttempts": 1,
    "public": False,
    "resumable": False,
}


async def play(record: standins.Record, folder: str) -> tuple[int, str]:
    """Play the case; returns the exit code and why."""
    store = standins.Store(record)
    await store.start()
    servers = [plain.PlainServer(f"i-{number}", record) for number in range(3)]
    service = {"name": "portal", "healthPath": "/healthz", "maxConnections": 110}
    store.put("op/config", standins.configuration(1, [ROUTE], [service]))
    for server in servers:
        await server.start()
        entry = standins.server_entry("portal", server.address, slots=6)
        store.put(f"servers/{server.name}", entry)
    doors = {}
    nodes = {}
    for hall, count in HALLS.items():
        for number in range(1, count + 1):
            name = f"edge-{hall}-{number}"
            doors[name] = standins.Door(f"door-{name}", store)
            await doors[name].start()
            nodes[name] = standins.Node(name, doors[name].address, folder, zone=hall)
    leaving = servers[0]
    expiry = asyncio.create_task(store.expire())
    calls: list[asyncio.Task[int]] = []
    sending = True

    async def send(name: str) -> None:
        number = 0
        while sending:
            number += 1
            request = f"{name}.{number:04d}"
            call = plain.call(nodes[name].front, request, record, "/info/1")
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.05)

    try:
        for node in nodes.values():
            node.start()
        for node in nodes.values():
            await node.wait_until_ready()
        await asyncio.sleep(6.0)
        senders = [asyncio.create_task(send(name)) for name in TOUCHED]
        await asyncio.sleep(4.0)
        if TROUBLE:
            doors[CUT_OFF].cut_off()
            nodes[FROZEN].signal(signal.SIGSTOP)
            record.line("platform", "cuts off from the store", node=CUT_OFF)
            record.line("platform", "freezes", node=FROZEN)
        await asyncio.sleep(0.05)
        # It never says that it leaves: its entry goes, and it serves on.
        store.remove(f"servers/{leaving.name}")
        acknowledged = time.monotonic()
        await asyncio.sleep(FROZEN_SECONDS)
        nodes[FROZEN].signal(signal.SIGCONT)
        leaving.end()
        await asyncio.sleep(CUT_OFF_SECONDS - FROZEN_SECONDS)
        doors[CUT_OFF].cut = False
        await asyncio.sleep(1.0)
        sending = False
        await asyncio.gather(*senders)
        done = await asyncio.gather(*calls)
    finally:
        expiry.cancel()
        for name, node in nodes.items():
            for word in ("stale_view", "=lapsed", "leader_stale", "leader_lost"):
                for line in node.log_lines(word) if name in TOUCHED else ():
                    record.line("log", f"{name} {line[:300]}")
            node.end()
        for each in (*servers, *doors.values(), store):
            each.end()
    after = [(at - acknowledged, r) for at, r in leaving.runs if at > acknowledged]
    late = [(at, r) for at, r in after if at > DRAIN_SECONDS]
    record.line(
        "judge", "late", requests=len(late), last=max(after, default=(0, ""))[0]
    )
    if done.count(200) < 100:
        return 2, f"only {done.count(200)} of {len(done)} requests were served"
    if late:
        return 1, (
            f"DRAIN: {len(late)} requests reached {leaving.name} more than 2 s after the"
            f" store had taken that it leaves, the last {max(late)[0]:.2f} s after"
        )
    return 0, (
        f"the last request reached {leaving.name} {max(after, default=(0.0, ''))[0]:.2f}"
        " s after the store had taken that it leaves"
    )


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, play))
