"""Command line interface."""

import argparse
import asyncio
import os
import pathlib
import sys
import typing as t

from expression import Result

from bankrack import demo
from bankrack import logs
from bankrack import node
from bankrack import settings
from bankrack.control import intent
from bankrack.exceptions import BankrackError
from bankrack.exceptions import InvalidDocument
from bankrack.front import auth
from bankrack.lab import bench
from bankrack.lab import poolreport
from bankrack.operator import commands
from bankrack.operator import queries
from bankrack.operator.client import OperatorClient
from bankrack.operator.client import OperatorRefusal
from bankrack.standins import engine as standin_engine
from bankrack.standins import keyvalue as standin_platform
from bankrack.standins import plain as standin_plain

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5
_EXIT_BY_CODE = {
    "invalid_document": EXIT_INVALID,
    "confirm_conflict": EXIT_CONFLICT,
    "confirm_unknown": EXIT_UNKNOWN,
}
_EPILOG = """exit codes:
  0  done
  1  failed; the message says what to do
  2  invalid command line
  3  a settings file or intent is not valid
  4  another operator confirmed first
  5  unknown whether the command took effect; repeat it
"""


def main(argv: t.Sequence[str] | None = None) -> None:
    """Run a command and exit the process with its exit code."""
    arguments = _parser().parse_args(argv)
    try:
        code = arguments.run(arguments)
    except InvalidDocument as error:
        print(error, file=sys.stderr)
        code = EXIT_INVALID
    except OperatorRefusal as error:
        print(f"bankrack: {error}", file=sys.stderr)
        code = _EXIT_BY_CODE.get(error.kind, EXIT_FAILED)
    except (BankrackError, OSError) as error:
        print(f"bankrack: {error}", file=sys.stderr)
        code = EXIT_FAILED
    except KeyboardInterrupt:
        code = EXIT_FAILED
    sys.exit(code)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="bankrack",
        description="Gateway that relays requests to model engines and HTTP servers.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands_parser = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_daemon_commands(commands_parser)
    _add_operator_commands(commands_parser)
    _add_bench(commands_parser)
    _add_lab(commands_parser)
    _add_stand_ins(commands_parser)
    return parser


def _add_command(subparsers: t.Any, name: str, help_text: str, example: str) -> t.Any:
    parser = subparsers.add_parser(
        name,
        help=help_text,
        description=help_text,
        epilog=f"example:\n  bankrack {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    return parser


def _add_daemon_commands(subparsers: t.Any) -> None:
    parser = _add_command(subparsers, "node", "run a node", "node --settings node.toml")
    parser.add_argument("--settings", required=True, help="settings file, TOML")
    parser.set_defaults(run=_run_node)

    parser = _add_command(
        subparsers, "check", "validate settings or an intent", "check intent.toml"
    )
    parser.add_argument("file", help="TOML file; an intent has no [node] table")
    parser.set_defaults(run=_check)

    parser = _add_command(
        subparsers,
        "hash-token",
        "read a token from standard input and print its hash",
        "hash-token < token.txt",
    )
    parser.set_defaults(run=_hash_token)

    parser = _add_command(
        subparsers,
        "demo",
        "run a node with stand-ins in one process",
        "demo --once",
    )
    demo.add_arguments(parser)
    parser.set_defaults(run=_run_demo)


def _add_lab(subparsers: t.Any) -> None:
    parser = _add_command(
        subparsers,
        "lab",
        "simulate a pool of engines under load, in virtual time",
        "lab run examples/lab/overload.toml --seeds 1 2 3",
    )
    poolreport.add_arguments(parser)
    parser.set_defaults(run=poolreport.run_command)


def _add_bench(subparsers: t.Any) -> None:
    parser = _add_command(
        subparsers,
        "bench",
        "compare policies in virtual time",
        "bench run --workload derwent --seed 1",
    )
    bench.add_arguments(parser)
    parser.set_defaults(run=bench.run)


def _add_operator_commands(subparsers: t.Any) -> None:
    parser = _add_operator_command(
        subparsers, "plan", "show what an intent would change", "plan intent.toml"
    )
    parser.add_argument("intent", help="intent, TOML")
    parser.add_argument("--output", help="plan file; INTENT.plan by default")
    parser.set_defaults(run=_run_operation(commands.plan))

    parser = _add_operator_command(
        subparsers, "confirm", "put a plan in force", "confirm intent.toml.plan"
    )
    parser.add_argument("plan", help="plan file")
    parser.set_defaults(run=_run_operation(commands.confirm))

    parser = _add_operator_command(
        subparsers, "show", "show nodes and upstreams", "show"
    )
    parser.set_defaults(run=_run_operation(queries.show))
    parser = _add_operator_command(
        subparsers, "history", "show confirmed revisions", "history"
    )
    parser.set_defaults(run=_run_operation(queries.history))
    parser = _add_operator_command(
        subparsers, "state", "dump a node's tables", "state --node 10.0.0.1:8081"
    )
    parser.set_defaults(run=_run_operation(queries.state))
    parser = _add_operator_command(
        subparsers, "drain", "stop a node in order", "drain --node 10.0.0.1:8081"
    )
    parser.set_defaults(run=_run_operation(commands.drain))


def _add_operator_command(
    subparsers: t.Any, name: str, help_text: str, example: str
) -> t.Any:
    parser = _add_command(subparsers, name, help_text, example)
    node_address = os.environ.get("BANKRACK_NODE", "127.0.0.1:8081")
    parser.add_argument(
        "--node", default=node_address, help="ip:port; BANKRACK_NODE by default"
    )
    parser.add_argument(
        "--token-file", help="file with the token; else BANKRACK_TOKEN is read"
    )
    parser.add_argument("--authority", default="", help="certificate authority file")
    parser.add_argument("--json", action="store_true", help="print JSON for programs")
    return parser


def _add_stand_ins(subparsers: t.Any) -> None:
    for module, name, help_text in (
        (standin_engine, "standin-engine", "run a stand-in model engine"),
        (standin_plain, "standin-plain", "run a stand-in plain service"),
        (standin_platform, "standin-platform", "run a stand-in platform"),
    ):
        parser = _add_command(
            subparsers, name, help_text, f"{name} --listen 127.0.0.1:9001"
        )
        module.add_arguments(parser)
        parser.set_defaults(run=_run_service(module.run))


def _run_node(arguments: argparse.Namespace) -> int:
    match settings.load(arguments.settings):
        case Result(tag="ok", ok=loaded):
            logs.configure(loaded.log_level)
            asyncio.run(node.run(loaded))
            return EXIT_OK
        case Result(error=error):
            raise error
    raise AssertionError("unreachable")


def _check(arguments: argparse.Namespace) -> int:
    text = pathlib.Path(arguments.file).read_text(encoding="utf-8")
    is_settings = "\n[node]" in f"\n{text}"
    parse: t.Any = settings.parse if is_settings else intent.parse
    match parse(text, arguments.file):
        case Result(tag="ok"):
            print(f"{arguments.file}: valid")
            return EXIT_OK
        case Result(error=error):
            raise error
    raise AssertionError("unreachable")


def _hash_token(arguments: argparse.Namespace) -> int:
    print(auth.hash_token(sys.stdin.readline().strip()))
    return EXIT_OK


def _run_demo(arguments: argparse.Namespace) -> int:
    logs.configure("WARNING", descriptor=logs.STDERR)
    return asyncio.run(demo.run(arguments))


Operation = t.Callable[[OperatorClient, argparse.Namespace], t.Awaitable[None]]


def _run_operation(operation: Operation) -> t.Callable[[argparse.Namespace], int]:
    async def call(arguments: argparse.Namespace) -> None:
        client = OperatorClient(
            arguments.node, _token(arguments), authority=arguments.authority
        )
        await operation(client, arguments)

    def run(arguments: argparse.Namespace) -> int:
        asyncio.run(call(arguments))
        return EXIT_OK

    return run


def _token(arguments: argparse.Namespace) -> str:
    if arguments.token_file:
        return pathlib.Path(arguments.token_file).read_text(encoding="utf-8").strip()
    return os.environ.get("BANKRACK_TOKEN", "")


def _run_service(
    run: t.Callable[[argparse.Namespace], t.Coroutine[t.Any, t.Any, None]],
) -> t.Callable[[argparse.Namespace], int]:
    def serve(arguments: argparse.Namespace) -> int:
        asyncio.run(run(arguments))
        return EXIT_OK

    return serve
