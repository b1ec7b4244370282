"""Subcommands of the command line that only read."""

import argparse
import datetime
import typing as t

import msgspec

from bankrack.operator.client import OperatorClient


async def show(client: OperatorClient, arguments: argparse.Namespace) -> None:
    """Print the nodes with their revisions, and the upstreams."""
    result = await client.get("/v1/overview")
    if arguments.json:
        print_json(result)
        return
    platform = "up" if result["platform_up"] else "DOWN"
    print(f"revision {result['revision']}, platform {platform}\n")
    node_rows = [
        [n["name"], n["hall"], n["revision"], _state_of_node(n)]
        for n in result["nodes"]
    ]
    print_table(["node", "hall", "revision", "state"], node_rows)
    print()
    upstream_rows = [
        [u["name"], u["kind"], u["hall"], _state_of_upstream(u)]
        for u in result["upstreams"]
    ]
    print_table(["upstream", "kind", "hall", "state"], upstream_rows)


async def history(client: OperatorClient, arguments: argparse.Namespace) -> None:
    """Print the confirmed revisions."""
    result = await client.get("/v1/history")
    if arguments.json:
        print_json(result)
        return
    rows = [
        [
            entry["revision"],
            _format_time(entry["confirmed_at"]),
            entry["operator"],
            entry["plan"],
        ]
        for entry in result
    ]
    print_table(["revision", "confirmed", "operator", "plan"], rows)


async def state(client: OperatorClient, arguments: argparse.Namespace) -> None:
    """Print the state dump of one node."""
    print_json(await client.get("/v1/state"))


def print_json(value: t.Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(header: list[str], rows: list[list[t.Any]]) -> None:
    """Print a header and rows in aligned columns."""
    lines = [header, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())


def _state_of_node(node: dict[str, t.Any]) -> str:
    if not node["live"]:
        return "silent"
    return "draining" if node["draining"] else "live"


def _state_of_upstream(upstream: dict[str, t.Any]) -> str:
    if upstream["leaving"]:
        return "leaving"
    return "usable" if upstream["usable"] else "ejected"


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
