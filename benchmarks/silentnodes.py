"""Counts what silent nodes cost: the oldest view, and calls to the store and to nodes.

``python -m benchmarks.silentnodes --nodes 390`` runs the followers of three halls in
one process, with the store and the connections as calls within it.
"""

import argparse
import asyncio
import json
import random
import typing as t

from tests.fleet.silentfleet import Fleet
from tests.fleet.silentfleet import FleetStore
from tests.fleet.silentfleet import leaders_of
from tests.fleet.silentfleet import Ranking
from tests.fleet.silentfleet import readers_of

from bankrack.fleet import roster

HALLS = 3
ITEMS_PER_PAGE = 500
CHANGE_SECONDS = 0.33
SECONDS = 8.0
"""Longer than two suspicions of a silent node."""

Choose = t.Callable[[Fleet, random.Random], list[str]]


def _half(fleet: Fleet, rng: random.Random) -> list[str]:
    return rng.sample(list(fleet.node_by_name), len(fleet.node_by_name) // 2)


def _hall(fleet: Fleet, rng: random.Random) -> list[str]:
    return [name for name in fleet.node_by_name if name.startswith("0-")][:-1]


def _next_reader(fleet: Fleet, rng: random.Random) -> list[str]:
    """Cut the reader off from the store, and silence the node that reads next."""
    reader, standby, _ = readers_of(fleet)
    fleet.cut_off([reader])
    return [standby]


def _third_cut_off(fleet: Fleet, rng: random.Random) -> list[str]:
    fleet.cut_off(rng.sample(list(fleet.node_by_name), len(fleet.node_by_name) // 3))
    return []


def _outage(fleet: Fleet, rng: random.Random) -> list[str]:
    fleet.store.silent = True
    return []


SILENT_BY_CASE: dict[str, Choose] = {
    "none": lambda fleet, rng: [],
    "half of the nodes": _half,
    "all but one of a hall": _hall,
    "leaders of a hall": lambda fleet, rng: leaders_of(fleet, 0),
    "reader and standbys": lambda fleet, rng: readers_of(fleet),
    "reader cut off, next one silent": _next_reader,
    "a third cut off from the store": _third_cut_off,
    "outage of the store": _outage,
}


async def _change_often(store: FleetStore) -> None:
    while True:
        await asyncio.sleep(CHANGE_SECONDS)
        store.change()


async def _run(case: str, options: argparse.Namespace) -> None:
    store = FleetStore(pages=-(-options.servers // ITEMS_PER_PAGE))
    fleet = Fleet(store, halls=HALLS, nodes_per_hall=options.nodes // HALLS)
    await fleet.start()
    changing = asyncio.create_task(_change_often(store))
    store.call_times.clear()
    fleet.questions = 0
    silent = SILENT_BY_CASE[case](fleet, random.Random(options.seed))
    fleet.silence(silent)
    oldest = await fleet.oldest_age(SECONDS)
    changing.cancel()
    await fleet.stop()
    figures = {
        "case": case,
        "nodes": len(fleet.node_by_name),
        "silent": len(silent),
        "oldest_view": round(oldest, 2),
        "process_held_up": round(fleet.held_up, 2),
        "store_calls": len(store.call_times),
        "most_store_calls_in_a_second": store.most_calls_in_a_second(),
        "questions_per_node_and_second": round(
            fleet.questions / len(fleet.running) / SECONDS, 1
        ),
    }
    print(json.dumps(figures), flush=True)


async def _main(options: argparse.Namespace) -> None:
    t.cast(t.Any, roster).rank_members = Ranking()
    for case in SILENT_BY_CASE:
        await _run(case, options)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=390)
    parser.add_argument("--servers", type=int, default=6100)
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(_main(parser.parse_args()))
