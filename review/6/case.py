"""Nodes whose two leaders fail go on with an old configuration (see claim.txt)."""

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
APPLY_SECONDS = 2.0
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
    "maxAttempts": 1,
    "public": False,
    "resumable": False,
}


async def play(record: standins.Record, folder: str) -> tuple[int, str]:
    """Play the case; returns the exit code and why."""
    store = standins.Store(record)
    await store.start()
    names = ("portal-a", "portal-b")
    services = [
        {"name": name, "healthPath": "/healthz", "maxConnections": 110}
        for name in names
    ]

    def put_configuration(version: int) -> None:
        """Move the route to the other service."""
        route = {**ROUTE, "service": names[version - 1]}
        store.put("op/config", standins.configuration(version, [route], services))

    put_configuration(1)
    servers = [plain.PlainServer(f"i-{name}", record) for name in names]
    for server, name in zip(servers, names, strict=True):
        await server.start()
        entry = standins.server_entry(name, server.address, slots=6)
        store.put(f"servers/{server.name}", entry)
    doors = {}
    nodes = {}
    for hall, count in HALLS.items():
        for number in range(1, count + 1):
            name = f"edge-{hall}-{number}"
            doors[name] = standins.Door(f"door-{name}", store)
            await doors[name].start()
            nodes[name] = standins.Node(name, doors[name].address, folder, zone=hall)
    old = servers[0]
    expiry = asyncio.create_task(store.expire())
    calls: list[asyncio.Task[int]] = []
    sent_at: dict[str, float] = {}
    sending = True

    async def send(name: str) -> None:
        number = 0
        while sending:
            number += 1
            request = f"{name}.{number:04d}"
            sent_at[request] = time.monotonic()
            call = plain.call(nodes[name].front, request, record, "/info/1")
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.02)

    try:
        for node in nodes.values():
            node.start()
        for node in nodes.values():
            await node.wait_until_ready()
        await asyncio.sleep(6.0)
        senders = [asyncio.create_task(send(name)) for name in TOUCHED]
        await asyncio.sleep(4.0)
        # The change comes soon after a read of the store.
        await doors[CUT_OFF].next_read()
        await asyncio.sleep(0.02)
        if TROUBLE:
            doors[CUT_OFF].cut_off()
            nodes[FROZEN].signal(signal.SIGSTOP)
            record.line("platform", "cuts off from the store", node=CUT_OFF)
            record.line("platform", "freezes", node=FROZEN)
        put_configuration(2)
        acknowledged = time.monotonic()
        await asyncio.sleep(FROZEN_SECONDS)
        nodes[FROZEN].signal(signal.SIGCONT)
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
    behind = [
        sent_at[request] - acknowledged
        for _, request in old.runs
        if request in sent_at and sent_at[request] > acknowledged
    ]
    last = max(behind, default=0.0)
    late = [seconds for seconds in behind if seconds > APPLY_SECONDS]
    record.line("judge", "late", requests=len(late), last=f"{last:.3f}")
    if done.count(200) < 100:
        return 2, f"only {done.count(200)} of {len(done)} requests were served"
    if late:
        return 1, (
            f"CONFIG: the old service ran {len(late)} requests that were sent more than "
            f"2 s after the new version's ack, the last {last:.2f} s after"
        )
    return 0, f"the old service ran the last request that was sent {last:.2f} s after"


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, play))
