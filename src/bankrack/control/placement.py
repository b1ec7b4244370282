"""Placement of models, adapters and versions on engines.

It is a pure function of the intent, so that all nodes compute the same.  An
engine with enough slots loads all models that it can serve.  The slots of other
engines are assigned by demand, but first to models without any engine.
"""

import msgspec

from bankrack.control.intent import Intent
from bankrack.control.intent import Service
from bankrack.control.intent import Upstream


class Placement(msgspec.Struct, frozen=True):
    """The models that each engine must load.

    :param unplaced: names of services whose model no engine has a slot for.
    """

    models_by_upstream: dict[str, frozenset[str]]
    unplaced: tuple[str, ...] = ()

    def serves(self, upstream: str, service: Service) -> bool:
        """Tell whether the service's model is placed on an engine."""
        return service.engine_model in self.models_by_upstream.get(upstream, ())


def place(intent: Intent) -> Placement:
    """Place the models of all services of an intent on its engines."""
    wanted = _demand_by_model(intent)
    chosen: dict[str, set[str]] = {}
    limited: list[Upstream] = []
    for upstream in intent.upstreams_by_name.values():
        if upstream.kind != "engine":
            continue
        wanted_models = _wanted_on(upstream, wanted)
        if len(wanted_models) <= upstream.model_slots:
            chosen[upstream.name] = wanted_models
        else:
            chosen[upstream.name] = set()
            limited.append(upstream)
    copies = {model: 0 for model in wanted}
    for models in chosen.values():
        for model in models:
            copies[model] += 1
    if limited:
        _fill_limited_engines(limited, list(wanted.values()), chosen, copies)
    placed = {name: frozenset(models) for name, models in chosen.items()}
    missing = {model for model, count in copies.items() if count == 0}
    unplaced = sorted(
        service.name
        for service in intent.services_by_name.values()
        if service.kind == "model" and service.engine_model in missing
    )
    return Placement(placed, tuple(unplaced))


def _wanted_on(upstream: Upstream, wanted: dict[str, Service]) -> set[str]:
    if upstream.leaving:
        return set()
    return {
        name for name, service in wanted.items() if service.model in upstream.models
    }


def _demand_by_model(intent: Intent) -> dict[str, Service]:
    """Return one service for each model, with the demand of all that use it."""
    found: dict[str, Service] = {}
    for service in sorted(intent.services_by_name.values(), key=lambda s: s.name):
        if service.kind != "model":
            continue
        known = found.get(service.engine_model)
        demand = service.demand + (known.demand if known else 0.0)
        found[service.engine_model] = msgspec.structs.replace(service, demand=demand)
    return found


def _fill_limited_engines(
    engines: list[Upstream],
    services: list[Service],
    chosen: dict[str, set[str]],
    copies: dict[str, int],
) -> None:
    """Assign the slots of engines that have fewer slots than wanted models.

    Models without a copy come first, then those with the most demand per copy.
    """
    open_services = list(services)
    while open_services:
        service = max(open_services, key=lambda s: _urgency(s, copies))
        upstream = _engine_with_most_slots(engines, service, chosen)
        if upstream is None:
            open_services.remove(service)
            continue
        chosen[upstream.name].add(service.engine_model)
        copies[service.engine_model] += 1


def _urgency(service: Service, copies: dict[str, int]) -> tuple[bool, float, str]:
    count = copies[service.engine_model]
    return (count == 0, service.demand / max(1, count), service.name)


def _engine_with_most_slots(
    engines: list[Upstream], service: Service, chosen: dict[str, set[str]]
) -> Upstream | None:
    """Return the engine without the model that has the most free slots."""
    candidates = [
        upstream
        for upstream in engines
        if service.model in upstream.models
        and service.engine_model not in chosen[upstream.name]
        and len(chosen[upstream.name]) < upstream.model_slots
    ]
    return min(
        candidates,
        key=lambda u: (len(chosen[u.name]) - u.model_slots, u.name),
        default=None,
    )
