"""HTTP API for operators, served on a separate address."""

import typing as t

import msgspec
from aiohttp import web
from expression import Result

from bankrack.control import configuration
from bankrack.control import intent as intents
from bankrack.control import plans
from bankrack.control.configuration import Head
from bankrack.control.plans import Plan
from bankrack.exceptions import BankrackError
from bankrack.exceptions import InvalidRequest
from bankrack.front import auth
from bankrack.front.answers import error_response

if t.TYPE_CHECKING:
    from bankrack.node import Node

MAX_HISTORY_ENTRIES = 1000


class NodeSummary(msgspec.Struct):
    """One node in the output of ``show``."""

    name: str
    hall: str
    revision: int
    draining: bool
    live: bool


class Overview(msgspec.Struct):
    """The data that ``show`` prints."""

    revision: int
    platform_up: bool
    nodes: list[NodeSummary]
    upstreams: list[dict[str, t.Any]]


class OperatorApi:
    """Serves the queries and commands of operators."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    def application(self) -> web.Application:
        """Create the HTTP application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_get("/metrics", self._with_error_handling(self._metrics))
        app.router.add_get("/v1/state", self._with_error_handling(self._state))
        app.router.add_get("/v1/overview", self._with_error_handling(self._overview))
        app.router.add_get("/v1/history", self._with_error_handling(self._history))
        app.router.add_post("/v1/plan", self._with_error_handling(self._plan))
        app.router.add_post("/v1/confirm", self._with_error_handling(self._confirm))
        app.router.add_post("/v1/drain", self._with_error_handling(self._drain))
        return app

    def _with_error_handling(self, handler: t.Any) -> t.Any:
        async def handle(request: web.Request) -> web.StreamResponse:
            try:
                operator = auth.authenticate_operator(
                    request, self._node.settings.operator_tokens_by_name
                )
                return t.cast(web.StreamResponse, await handler(request, operator))
            except BankrackError as error:
                return error_response(error)

        return handle

    async def _metrics(self, request: web.Request, operator: str) -> web.Response:
        self._node.update_gauges()
        accept = request.headers.getall("Accept", [])
        content, headers = self._node.metrics.page(accept)
        return web.Response(body=content, headers=headers)

    async def _state(self, request: web.Request, operator: str) -> web.Response:
        return _json(self._node.state())

    async def _overview(self, request: web.Request, operator: str) -> web.Response:
        return _json(self._node.overview())

    async def _history(self, request: web.Request, operator: str) -> web.Response:
        stored = await self._node.platform.list_changed(configuration.HISTORY_PREFIX)
        heads = [configuration.decode_head(item.value) for item in stored]
        return _json([_history_entry(head) for head in heads[-MAX_HISTORY_ENTRIES:]])

    async def _plan(self, request: web.Request, operator: str) -> web.Response:
        text = (await request.read()).decode(errors="replace")
        match intents.parse(text, request.query.get("source", "intent")):
            case Result(tag="ok", ok=intent):
                in_force = self._node.configuration
                plan = plans.make_plan(
                    in_force.intent, in_force.revision, intent, operator
                )
                return _json(plan)
            case Result(error=refusal):
                raise refusal
        raise AssertionError("unreachable")

    async def _confirm(self, request: web.Request, operator: str) -> web.Response:
        try:
            plan = msgspec.json.decode(await request.read(), type=Plan)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise InvalidRequest(
                f"the body is not a plan ({error}); make one with 'bankrack plan'"
            ) from error
        plan = msgspec.structs.replace(plan, operator=operator)
        match await plans.confirm(self._node.platform, plan):
            case Result(tag="ok", ok=document):
                self._node.confirmed(document)
                return _json({"revision": document.revision, "plan": plan.plan_id})
            case Result(error=refusal):
                raise refusal
        raise AssertionError("unreachable")

    async def _drain(self, request: web.Request, operator: str) -> web.Response:
        self._node.begin_drain(f"operator {operator}")
        return _json({"in_flight": self._node.in_flight.total})


def _history_entry(head: Head) -> dict[str, t.Any]:
    return {
        "revision": head.revision,
        "operator": head.operator,
        "plan": head.plan_id,
        "confirmed_at": head.confirmed_at,
    }


def _json(value: t.Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
