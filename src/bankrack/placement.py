"""Placement: which engine loads which models, adapters and versions.

A pure function of the intent, so that every node computes the same.  Where an
engine has room for all that is asked of it, it loads all; else what is asked
for most gets the most engines, and everything gets one at least.
"""

import msgspec

from bankrack.intent import Intent
from bankrack.intent import Service
from bankrack.intent import Upstream


class Placement(msgspec.Struct, frozen=True):
    """What each engine is to load, by its name.

    :param unplaced: names of services that no engine has room for.
    """

    models_by_upstream: dict[str, frozenset[str]]
    unplaced: tuple[str, ...] = ()

    def serves(self, upstream: str, service: Service) -> bool:
        """Tell whether an engine is to load what a service needs."""
        return service.engine_model in self.models_by_upstream.get(upstream, ())


def place(intent: Intent) -> Placement:
    """Place all services of an intent on its engines."""
    chosen: dict[str, set[str]] = {
        upstream.name: set()
        for upstream in intent.upstreams_by_name.values()
        if upstream.kind == "engine"
    }
    unplaced = []
    wanted = _demand_by_model(intent)
    first_round = sorted(wanted.values(), key=lambda s: (-s.demand, s.engine_model))
    for service in first_round:
        upstream = _best_engine(intent, service, chosen)
        if upstream is None:
            unplaced.append(service.name)
        else:
            chosen[upstream.name].add(service.engine_model)
    _fill(intent, first_round, chosen)
    placed = {name: frozenset(models) for name, models in chosen.items()}
    return Placement(placed, tuple(unplaced))


def _demand_by_model(intent: Intent) -> dict[str, Service]:
    """One service for each model to load, with the demand of all that need it."""
    found: dict[str, Service] = {}
    for service in sorted(intent.services_by_name.values(), key=lambda s: s.name):
        if service.kind != "model":
            continue
        known = found.get(service.engine_model)
        demand = service.demand + (known.demand if known else 0.0)
        found[service.engine_model] = msgspec.structs.replace(service, demand=demand)
    return found


def _best_engine(
    intent: Intent, service: Service, chosen: dict[str, set[str]]
) -> Upstream | None:
    """The engine with the most room that does not have it yet."""
    candidates = [
        upstream
        for upstream in intent.upstreams_of(service)
        if service.engine_model not in chosen[upstream.name]
        and len(chosen[upstream.name]) < upstream.model_slots
    ]
    return min(
        candidates,
        key=lambda u: (len(chosen[u.name]) - u.model_slots, u.name),
        default=None,
    )


def _fill(intent: Intent, services: list[Service], chosen: dict[str, set[str]]) -> None:
    """Give the engines' remaining room to what has the most demand a copy."""
    copies = {service.engine_model: 1 for service in services}
    open_services = list(services)
    while open_services:
        service = max(
            open_services, key=lambda s: (s.demand / copies[s.engine_model], s.name)
        )
        upstream = _best_engine(intent, service, chosen)
        if upstream is None:
            open_services.remove(service)
            continue
        chosen[upstream.name].add(service.engine_model)
        copies[service.engine_model] += 1
