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


ROUNDS = 3
"""Servers that are replaced, one after the other."""


def request_id(number: int, turn: int) -> str:
    """Return the id of a stream's request."""
    return f"{number:02x}a0c1d2e3f4b5c{turn}"


def length(request: str) -> int:
    """Return the number of events of a stream."""
    return SHORT.get(int(request[:2], 16), LONG)


class Round:
    """The replacing of one server, and what became of its streams."""

    def __init__(self, old: engines.Engine, new: engines.Engine) -> None:
        self.old = old
        self.new = new
        self.streams: list[engines.Stream] = []

    async def play(
        self, turn: int, front: str, store: standins.Store, record: standins.Record
    ) -> None:
        """Send streams to the old server, and replace it by the new one."""
        old, new = self.old, self.new
        calls = []
        for number in range(STREAMS):
            call = engines.call_stream(front, request_id(number, turn), record)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.07)
        # The service's servers are replaced: the new one starts first.
        await new.start()
        store.put(f"servers/{new.name}", standins.server_entry("scribe", new.address))
        await asyncio.sleep(0.5)
        old.draining = True
        store.put(
            f"servers/{old.name}",
            standins.server_entry("scribe", old.address, state="draining"),
        )
        # It serves on for drainMs (2 s) and a little longer, then ends.
        await asyncio.sleep(1.9)
        old.surplus_left = SURPLUS if TROUBLE else 0
        await asyncio.sleep(1.0)
        record.line(old.name, "ends", answers=old.answers, surplus=old.surplus_sent)
        old.end()
        store.remove(f"servers/{old.name}")
        async with asyncio.timeout(60.0):
            self.streams = list(await asyncio.gather(*calls))

    @property
    def crossed(self) -> list[tuple[str, str]]:
        """Requests that were carried on from the memory of another one, and that one."""
        return [(r, owner) for r, owner in self.new.carried if r != owner]

    @property
    def foreign(self) -> int:
        """Callers that got events of another request."""
        return sum(bool(stream.foreign) for stream in self.streams)

    @property
    def share(self) -> float:
        """Share of the old server's answers that were followed by a surplus one."""
        return self.old.surplus_sent / max(1, self.old.answers)


async def play(record: standins.Record, folder: str) -> tuple[int, str]:
    """Play the case; returns the exit code and why."""
    store = standins.Store(record)
    await store.start()
    servers = [engines.Engine(f"i-{number}", record) for number in range(ROUNDS + 1)]
    for server in servers:
        server.events = length
    await servers[0].start()
    traits = {"name": "scribe", "healthPath": "/healthz", "maxConnections": 442}
    traits |= {"protocol": "h1", "tls": False, "engine": standins.ENGINE_TRAITS}
    store.put(
        "op/config",
        standins.configuration(1, [standins.streaming_route("scribe")], [traits]),
    )
    store.put("servers/i-0", standins.server_entry("scribe", servers[0].address))
    rounds = [Round(*pair) for pair in zip(servers, servers[1:], strict=False)]
    expiry = asyncio.create_task(store.expire())
    node = standins.Node("edge-1", store.address, folder)
    node.start()
    try:
        await node.wait_until_ready()
        # A node that has just started has a smaller share of the retry budget.
        await asyncio.sleep(14.0)
        for turn, each in enumerate(rounds):
            await each.play(turn, node.front, store, record)
    finally:
        expiry.cancel()
        if node.ended is not None:
            record.line("node", "ended", code=node.ended)
        node.end()
        for each in (*servers, store):
            each.end()
    carried = sum(len(each.new.carried) for each in rounds)
    crossed = sum(len(each.crossed) for each in rounds)
    foreign = sum(each.foreign for each in rounds)
    share = max(each.share for each in rounds)
    record.line("judge", "resumed", runs=carried, crossed=crossed)
    record.line("judge", "surplus", largest_share=f"{share:.4f}")
    if TROUBLE and not 0.0 < share <= 0.03:
        return 2, "no surplus answer was sent, or more than 3 in 100 by one server"
    if not carried:
        return 2, "no run was resumed"
    if crossed or foreign:
        return 1, (
            f"MIXED: {crossed} of {carried} requests were carried on from the memory of "
            f"another request, {foreign} callers got its events"
        )
    return 0, f"{carried} runs went on from their own memory"


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, play))
