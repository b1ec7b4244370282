"""Demo that runs a node, a platform and engines in one process on loopback."""

import argparse
import asyncio
import contextlib
import random
import sys
import time
import typing as t

import aiohttp
import msgspec
from aiohttp import web
from expression import Result

from bankrack import settings as settings_module
from bankrack.control import intent as intents
from bankrack.control import plans
from bankrack.front import auth
from bankrack.front.idleconnections import stop_runner
from bankrack.front.listeners import serve_application
from bankrack.node import Node
from bankrack.standins.engine import EngineStandIn
from bankrack.standins.keyvalue import PlatformStandIn
from bankrack.standins.plain import PlainStandIn
from bankrack.wire import requestkeys

TOKEN = "demo-workspace-token"
OPERATOR_TOKEN = "demo-operator-token"
FIRST_PORT = 18080
ENGINE_COUNT = 3


def settings_text(port: int) -> str:
    """Return the demo's settings as TOML.

    :param port: port of the callers' listener; the others follow it.
    """
    return f"""
[node]
name = "demo"
region = "local"
hall = "hall-a"

[listen]
callers = "127.0.0.1:{port}"
operators = "127.0.0.1:{port + 1}"
peers = "127.0.0.1:{port + 2}"

[platform]
urls = ["http://127.0.0.1:{port + 3}"]

[peers]
key = "demo-peer-key-demo-peer-key-demo-key"

[operators.tokens]
demo = "{auth.hash_token(OPERATOR_TOKEN)}"
"""


def intent_text(port: int) -> str:
    """Return the demo's intent as TOML.

    :param port: port of the callers' listener.
    """
    engines = "".join(
        f"""
[[upstreams]]
name = "engine-{number}"
address = "127.0.0.1:{port + 10 + number}"
hall = "hall-a"
models = ["demo-7b"]
"""
        for number in range(ENGINE_COUNT)
    )
    return f"""
[security]
handle_key = "demo-handle-key-demo-handle-key-demo"

[[workspaces]]
name = "demo"
token_sha256 = "{auth.hash_token(TOKEN)}"

[[services]]
name = "captions"
model = "demo-7b"
priority = 0

[[services]]
name = "summaries"
model = "demo-7b"
priority = 1

[[services]]
name = "fonts"
kind = "plain"

[[upstreams]]
name = "fonts-1"
kind = "plain"
address = "127.0.0.1:{port + 20}"
services = ["fonts"]
{engines}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the demo's command line options."""
    parser.add_argument("--once", action="store_true", help="end after two requests")
    parser.add_argument(
        "--port", type=int, default=FIRST_PORT, help="first of 21 ports on 127.0.0.1"
    )


async def run(arguments: argparse.Namespace) -> int:
    """Run the demo and return the exit code."""
    async with Demo(arguments.port) as demo:
        await demo.show_caption()
        await demo.show_summary()
        if arguments.once:
            return 0
        print(f"\nServing on http://127.0.0.1:{arguments.port}. Try:\n")
        print(f"  {demo.example_command()}\n\nCtrl-C ends it.")
        sys.stdout.flush()
        await asyncio.Event().wait()
    return 0


class Demo:
    """The demo's components, as an asynchronous context manager.

    :param port: first of the ports to listen on.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.platform = PlatformStandIn()
        self.engines: list[EngineStandIn] = []
        self._runners: list[web.AppRunner] = []
        match settings_module.parse(settings_text(port), "demo"):
            case Result(tag="ok", ok=settings):
                self.node = Node(settings)
            case Result(error=error):
                raise error

    async def __aenter__(self) -> "Demo":
        await self._serve(self.platform.application(), 3)
        await self._serve(PlainStandIn().application(), 20)
        for number in range(ENGINE_COUNT):
            engine = EngineStandIn(models=["demo-7b"], memory_tokens=24000)
            self.engines.append(engine)
            await self._serve(engine.application(), 10 + number)
        await self.node.start()
        await self._confirm()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.node.close()
        for runner in self._runners:
            await stop_runner(runner)

    async def _serve(self, application: web.Application, offset: int) -> None:
        address = f"127.0.0.1:{self.port + offset}"
        self._runners.append(await serve_application(application, address))

    async def _confirm(self) -> None:
        """Plan and confirm the demo's intent as an operator would."""
        match intents.parse(intent_text(self.port), "demo"):
            case Result(tag="ok", ok=intent):
                plan = plans.make_plan(intents.Intent(), 0, intent, "demo")
            case Result(error=error):
                raise error
        match await plans.confirm(self.node.platform, plan):
            case Result(tag="ok", ok=document):
                self.node.confirmed(document)
            case Result(error=refusal):
                raise refusal

    async def show_caption(self) -> None:
        """Stream a caption and print its tokens as they arrive."""
        print("A live caption, token by token:\n")
        body = {"model": "captions", "prompt": "Caption: [[length=40]]", "stream": True}
        async with self._post(body) as response:
            async for line in response.content:
                if line.startswith(b"data: ") and b"[DONE]" not in line:
                    choice = msgspec.json.decode(line[6:])["choices"][0]
                    print(choice["text"], end="", flush=True)
        print("\n")

    async def show_summary(self) -> None:
        """Send a request with an idempotency key twice and print both responses."""
        key = requestkeys.make(time.time(), random.getrandbits)
        body = {"model": "summaries", "prompt": "Summarise: [[length=60]]"}
        print(f"A billed summary with Idempotency-Key {key}:\n")
        async with self._post(body, key=key) as response:
            answer = msgspec.json.decode(await response.read())
            print(answer["choices"][0]["text"])
            print(f"\nusage: {answer['usage']}")
        async with self._post(body, key=key) as response:
            answer = msgspec.json.decode(await response.read())
            print(f"\nThe same key again, answered {response.status}:")
            print(f"  {answer['error']['message']}")

    @contextlib.asynccontextmanager
    async def _post(
        self, body: dict[str, t.Any], *, key: str = ""
    ) -> t.AsyncIterator[aiohttp.ClientResponse]:
        headers = {"Authorization": f"Bearer {TOKEN}"}
        if key:
            headers["Idempotency-Key"] = key
        url = f"http://127.0.0.1:{self.port}/v1/completions"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=body, headers=headers) as response,
        ):
            yield response

    def example_command(self) -> str:
        """Return a command line that sends a request to the demo."""
        body = '{"model": "captions", "stream": true, "prompt": "Caption this."}'
        return (
            f"curl -N http://127.0.0.1:{self.port}/v1/completions "
            f"-H 'Authorization: Bearer {TOKEN}' "
            f"-H 'Content-Type: application/json' -d '{body}'"
        )
