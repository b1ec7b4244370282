"""The operators' intent: workspaces, services, upstreams and keys.

An intent is written in TOML, planned against the configuration in force and
confirmed as a whole.  All values are immutable once read.
"""

import typing as t

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from bankrack import tables
from bankrack.exceptions import InvalidDocument

ANY = "*"


class Workspace(msgspec.Struct, frozen=True):
    """A customer and its limits.

    :param token_sha256: hash of the token that authenticates its callers.
    :param share: weight in fair shares of the engines.
    :param max_in_flight: maximum of concurrent requests.
    """

    name: str
    token_sha256: str
    share: float = 1.0
    max_in_flight: int = 200


class Service(msgspec.Struct, frozen=True):
    """A service that callers name in a request.

    :param kind: ``model`` for runs on engines, ``plain`` for ordinary HTTP.
    :param priority: 0 is the highest.
    :param queue_seconds: maximum time that a request waits for an upstream.
    :param demand: weight in the placement of its model on engines.
    :param workspaces: names of the workspaces that may use it, or ``*``.
    """

    name: str
    kind: str = "model"
    model: str = ""
    adapter: str = ""
    version: str = ""
    priority: int = 1
    queue_seconds: float = 10.0
    max_output_tokens: int = 4096
    demand: float = 1.0
    workspaces: tuple[str, ...] = (ANY,)

    @property
    def engine_model(self) -> str:
        """The model's name on engines: the adapter, else the model, and version."""
        parts = [self.adapter or self.model]
        if self.version:
            parts.append(self.version)
        return "@".join(parts)


class Upstream(msgspec.Struct, frozen=True):
    """An engine or a plain HTTP server.

    :param memory_tokens: size of the engine's cache, in tokens.
    :param model_slots: number of models and adapters that it can load at once.
    :param checks_fence: whether it refuses orders with an older fence.
    :param leaving: whether the operator is taking it out of service.
    """

    name: str
    address: str
    kind: str = "engine"
    region: str = ""
    hall: str = ""
    services: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    memory_tokens: int = 24000
    model_slots: int = 8
    checks_fence: bool = True
    leaving: bool = False


class Intent(msgspec.Struct, frozen=True):
    """The complete configuration as declared by the operators.

    :param handle_key: key that signs the handles of resumable streams.
    """

    workspaces_by_name: dict[str, Workspace] = {}
    services_by_name: dict[str, Service] = {}
    upstreams_by_name: dict[str, Upstream] = {}
    handle_key: str = ""

    def serves(self, upstream: Upstream, service: Service) -> bool:
        """Tell whether ``upstream`` may run requests of ``service``."""
        if service.kind == "plain":
            return upstream.kind == "plain" and service.name in upstream.services
        return upstream.kind == "engine" and service.model in upstream.models

    def upstreams_of(self, service: Service) -> list[Upstream]:
        """List the upstreams of ``service`` that are not leaving."""
        return [
            upstream
            for upstream in self.upstreams_by_name.values()
            if not upstream.leaving and self.serves(upstream, service)
        ]


def parse(text: str, source: str = "intent") -> Result[Intent, InvalidDocument]:
    """Validate an intent given as TOML text."""
    match tables.parse(text, source):
        case Result(tag="ok", ok=root):
            intent = _read(root)
            if root.problems:
                return Error(InvalidDocument(root.problems))
            return Ok(intent)
        case Result(error=problems):
            return Error(InvalidDocument(problems))
    raise AssertionError("unreachable")


def _read(root: tables.Table) -> Intent:
    security = root.table("security")
    handle_key = security.text("handle_key")
    if len(handle_key) < 32:
        security.add_problem(
            "handle_key", "a short key", "32 characters or more", "create a new key"
        )
    security.reject_unknown_keys()
    workspaces = [_workspace(table) for table in root.tables("workspaces")]
    services = [_service(table) for table in root.tables("services")]
    upstreams = [_upstream(table) for table in root.tables("upstreams")]
    root.reject_unknown_keys()
    intent = Intent(
        workspaces_by_name=_by_name(root, "workspaces", workspaces),
        services_by_name=_by_name(root, "services", services),
        upstreams_by_name=_by_name(root, "upstreams", upstreams),
        handle_key=handle_key,
    )
    _check_references(root, intent)
    return intent


class _Named(t.Protocol):
    @property
    def name(self) -> str: ...


N = t.TypeVar("N", bound=_Named)


def _by_name(root: tables.Table, key: str, items: list[N]) -> dict[str, N]:
    found: dict[str, N] = {}
    for item in items:
        if item.name in found:
            root.add_problem(
                key, item.name, "a name used once", "rename one of the two"
            )
        found[item.name] = item
    return found


def _workspace(table: tables.Table) -> Workspace:
    workspace = Workspace(
        name=table.name("name"),
        token_sha256=table.text("token_sha256"),
        share=table.number("share", 1.0, minimum=0.01, maximum=1000.0),
        max_in_flight=table.integer("max_in_flight", 200, minimum=1, maximum=100000),
    )
    tables.check_token_hash(table, "token_sha256", workspace.token_sha256)
    table.reject_unknown_keys()
    return workspace


def _service(table: tables.Table) -> Service:
    service = Service(
        name=table.name("name"),
        kind=table.choice("kind", ("model", "plain"), "model"),
        model=table.text("model", ""),
        adapter=table.text("adapter", ""),
        version=table.text("version", ""),
        priority=table.integer("priority", 1, minimum=0, maximum=9),
        queue_seconds=table.number("queue_seconds", 10.0, minimum=0.0, maximum=3600.0),
        max_output_tokens=table.integer(
            "max_output_tokens", 4096, minimum=1, maximum=1000000
        ),
        demand=table.number("demand", 1.0, minimum=0.0, maximum=1000000.0),
        workspaces=table.names("workspaces", (ANY,)),
    )
    if service.kind == "model" and not service.model:
        table.add_problem(
            "model", "", "the name of a model", "set the model that it needs"
        )
    table.reject_unknown_keys()
    return service


def _upstream(table: tables.Table) -> Upstream:
    upstream = Upstream(
        name=table.name("name"),
        address=table.address("address"),
        kind=table.choice("kind", ("engine", "plain"), "engine"),
        region=table.text("region", ""),
        hall=table.text("hall", ""),
        services=table.names("services"),
        models=table.names("models"),
        memory_tokens=table.integer(
            "memory_tokens", 24000, minimum=100, maximum=100000000
        ),
        model_slots=table.integer("model_slots", 8, minimum=1, maximum=10000),
        checks_fence=table.flag("checks_fence", True),
        leaving=table.flag("leaving", False),
    )
    table.reject_unknown_keys()
    return upstream


def _check_references(root: tables.Table, intent: Intent) -> None:
    for service in intent.services_by_name.values():
        for name in service.workspaces:
            if name != ANY and name not in intent.workspaces_by_name:
                root.add_problem(
                    f"services.{service.name}.workspaces",
                    name,
                    "a declared workspace",
                    "declare it under [[workspaces]]",
                )
    for upstream in intent.upstreams_by_name.values():
        for name in upstream.services:
            if name not in intent.services_by_name:
                root.add_problem(
                    f"upstreams.{upstream.name}.services",
                    name,
                    "a declared service",
                    "declare it under [[services]]",
                )
