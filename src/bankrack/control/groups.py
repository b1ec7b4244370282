"""Groups of engines, each scheduled by one owner.

Up to :data:`GROUP_SIZE` engines with the same models form one group.  More are
split by hall and by a hash of their name, so that the number of engines for an
owner is independent of the size of the fleet.
"""

import hashlib
import typing as t

import msgspec

from bankrack.control.intent import Intent
from bankrack.control.intent import Service
from bankrack.control.intent import Upstream

GROUP_SIZE = 16


class Group(msgspec.Struct, frozen=True):
    """A group of engines; ``hall`` is empty if it is not bound to one hall."""

    name: str
    models: frozenset[str]
    hall: str
    upstreams_by_name: dict[str, Upstream]


def group_engines(intent: Intent) -> dict[str, Group]:
    """Divide the engines of an intent into groups, by group name."""
    engines_by_models: dict[frozenset[str], list[Upstream]] = {}
    for upstream in intent.upstreams_by_name.values():
        if upstream.kind == "engine":
            models = frozenset(upstream.models)
            engines_by_models.setdefault(models, []).append(upstream)
    groups: dict[str, Group] = {}
    for models, engines in engines_by_models.items():
        for group in _divide(models, engines):
            groups[group.name] = group
    return groups


def groups_of(groups: t.Mapping[str, Group], service: Service) -> list[Group]:
    """List the groups whose engines run the service's model."""
    return [group for group in groups.values() if service.model in group.models]


def _divide(models: frozenset[str], engines: list[Upstream]) -> list[Group]:
    label = "+".join(sorted(models))
    if len(engines) <= GROUP_SIZE:
        return [Group(label, models, "", _by_name(engines))]
    engines_by_hall: dict[str, list[Upstream]] = {}
    for engine in engines:
        engines_by_hall.setdefault(engine.hall, []).append(engine)
    groups = []
    for hall, members in engines_by_hall.items():
        count = -(-len(members) // GROUP_SIZE)
        parts: dict[int, list[Upstream]] = {}
        for member in members:
            parts.setdefault(_hash(member.name) % count, []).append(member)
        for number, part in parts.items():
            name = f"{label}/{hall}/{number}"
            groups.append(Group(name, models, hall, _by_name(part)))
    return groups


def _by_name(upstreams: list[Upstream]) -> dict[str, Upstream]:
    return {upstream.name: upstream for upstream in upstreams}


def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")
