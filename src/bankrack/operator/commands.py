"""Subcommands of the command line that change the state of the fleet."""

import argparse
import pathlib
import sys

import msgspec

from bankrack.operator.client import OperatorClient
from bankrack.operator.queries import print_json
from bankrack.operator.queries import print_table


async def plan(client: OperatorClient, arguments: argparse.Namespace) -> None:
    """Compare an intent with the configuration in force and write a plan file."""
    text = pathlib.Path(arguments.intent).read_bytes()
    result = await client.post(f"/v1/plan?source={arguments.intent}", text)
    output = arguments.output or f"{arguments.intent}.plan"
    pathlib.Path(output).write_bytes(msgspec.json.encode(result))
    if arguments.json:
        print_json({k: v for k, v in result.items() if k != "intent"})
        return
    rows = [[e["action"], e["kind"], e["name"], e["detail"]] for e in result["effects"]]
    print_table(["action", "kind", "name", "detail"], rows)
    print(f"\n{len(rows)} changes from revision {result['base_revision']}.")
    print(f"Nothing is changed yet. To apply the plan: bankrack confirm {output}")


async def confirm(client: OperatorClient, arguments: argparse.Namespace) -> None:
    """Apply a plan."""
    body = pathlib.Path(arguments.plan).read_bytes()
    response = await client.post("/v1/confirm", body)
    if arguments.json:
        print_json(response)
    else:
        print(f"Revision {response['revision']} is confirmed; see 'bankrack show'.")


async def drain(client: OperatorClient, arguments: argparse.Namespace) -> None:
    """Drain a node: it finishes its requests and stops."""
    response = await client.post("/v1/drain")
    if arguments.json:
        print_json(response)
    else:
        print(
            f"The node is draining; {response['in_flight']} requests in flight.",
            file=sys.stdout,
        )
