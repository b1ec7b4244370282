"""Plans of configuration changes, and their confirmation.

A plan is a value that the operator keeps; nodes store none.  Its confirmation
replaces the head of the configuration by a single compare-and-swap, which
succeeds only at the plan's base revision.
"""

import time
import typing as t
import uuid

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from bankrack.control import configuration
from bankrack.control.configuration import Document
from bankrack.control.configuration import Head
from bankrack.control.intent import Intent
from bankrack.control.keyvalue import Change
from bankrack.control.keyvalue import Platform
from bankrack.control.keyvalue import Put
from bankrack.control.keyvalue import Unchanged
from bankrack.control.placement import place
from bankrack.exceptions import BankrackError
from bankrack.exceptions import ConfirmConflict
from bankrack.exceptions import ConfirmUnknown
from bankrack.exceptions import PlatformUnavailable

MAX_BATCH_BYTES = 512 * 1024
MAX_BATCH_SECTIONS = 32
MAX_READ_BACK_ATTEMPTS = 3


class Effect(msgspec.Struct, frozen=True):
    """A change or a warning of a plan.

    :param action: ``add``, ``change``, ``remove``, ``load`` or ``warn``.
    :param kind: ``workspace``, ``service``, ``upstream`` or ``security``.
    :param detail: consequence of the change, for people.
    """

    action: str
    kind: str
    name: str
    detail: str = ""


class Plan(msgspec.Struct, frozen=True):
    """An intent with its changes from the configuration in force.

    :param base_revision: revision of that configuration.
    """

    plan_id: str
    base_revision: int
    operator: str
    effects: list[Effect]
    intent: Intent


def make_plan(current: Intent, revision: int, intent: Intent, operator: str) -> Plan:
    """Compare ``intent`` with the configuration in force."""
    effects = _differences(
        "workspace", current.workspaces_by_name, intent.workspaces_by_name
    )
    effects += _differences(
        "service", current.services_by_name, intent.services_by_name
    )
    effects += _differences(
        "upstream", current.upstreams_by_name, intent.upstreams_by_name
    )
    if current.handle_key != intent.handle_key:
        detail = "streams started before the change cannot be resumed"
        effects.append(Effect("change", "security", "handle_key", detail))
    effects += _placement_changes(current, intent)
    effects += _unserved(intent)
    return Plan(uuid.uuid4().hex, revision, operator, effects, intent)


async def confirm(platform: Platform, plan: Plan) -> Result[Document, BankrackError]:
    """Put ``plan`` in force.

    Exactly one of several plans with the same base revision succeeds.  When the
    response to a write is lost, the head is read back and the plan's id decides.
    """
    document = _document(plan)
    try:
        current = await platform.get(configuration.CURRENT_KEY)
    except PlatformUnavailable as error:
        return Error(error)
    head = configuration.decode_head(current.value) if current else None
    revision = head.revision if head else 0
    if revision > plan.base_revision:
        return await _read_back(platform, plan, document)
    if revision < plan.base_revision:
        return Error(_conflict_error(plan, head))
    known = set(head.hashes_by_section.values()) if head else set()
    swap = Unchanged(configuration.CURRENT_KEY, current.mod_revision if current else 0)
    try:
        await _write_sections(platform, document, known)
    except PlatformUnavailable as error:
        return Error(error)
    try:
        if await platform.transact([swap], _head_changes(document)):
            return Ok(document)
    except PlatformUnavailable:
        pass
    return await _read_back(platform, plan, document)


def _document(plan: Plan) -> Document:
    sections = configuration.split(plan.intent)
    hashes = {name: configuration.content_hash(data) for name, data in sections.items()}
    head = Head(
        revision=plan.base_revision + 1,
        plan_id=plan.plan_id,
        operator=plan.operator,
        confirmed_at=time.time(),
        hashes_by_section=hashes,
    )
    by_hash = {hashes[name]: data for name, data in sections.items()}
    return Document(head, by_hash)


async def _write_sections(
    platform: Platform, document: Document, known: set[str]
) -> None:
    """Write new sections, in any order, as their keys are content hashes."""
    batch: list[Change] = []
    size = 0
    for digest, data in document.sections_by_hash.items():
        if digest in known:
            continue
        batch.append(Put(configuration.SECTION_PREFIX + digest, data))
        size += len(data)
        if size > MAX_BATCH_BYTES or len(batch) >= MAX_BATCH_SECTIONS:
            await platform.transact([], batch)
            batch = []
            size = 0
    if batch:
        await platform.transact([], batch)


def _head_changes(document: Document) -> list[Change]:
    data = configuration.encode_head(document.head)
    history = f"{configuration.HISTORY_PREFIX}{document.revision:012d}"
    return [Put(configuration.CURRENT_KEY, data), Put(history, data)]


async def _read_back(
    platform: Platform, plan: Plan, document: Document
) -> Result[Document, BankrackError]:
    history = f"{configuration.HISTORY_PREFIX}{document.revision:012d}"
    for _ in range(MAX_READ_BACK_ATTEMPTS):
        try:
            found = await platform.get(history)
        except PlatformUnavailable:
            continue
        if found is None:
            return Error(
                ConfirmUnknown(
                    "the key-value service's response was lost and the plan is not in "
                    "force yet; confirm the same plan again",
                    retry_after=2.0,
                )
            )
        head = configuration.decode_head(found.value)
        if head.plan_id == plan.plan_id:
            return Ok(document)
        return Error(_conflict_error(plan, head))
    return Error(
        ConfirmUnknown(
            "the key-value service does not answer, so it is unknown whether the plan "
            "is in force; confirm the same plan again, which is safe",
            retry_after=5.0,
        )
    )


def _conflict_error(plan: Plan, head: Head | None) -> ConfirmConflict:
    revision = head.revision if head else 0
    operator = head.operator if head else "nobody"
    return ConfirmConflict(
        f"operator {operator} confirmed revision {revision} since this plan was made "
        f"from revision {plan.base_revision}; make a new plan and confirm that"
    )


def _differences(
    kind: str,
    before: t.Mapping[str, msgspec.Struct],
    after: t.Mapping[str, msgspec.Struct],
) -> list[Effect]:
    effects = []
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            effects.append(
                Effect("remove", kind, name, "gets no new requests from then on")
            )
        elif name not in before:
            effects.append(Effect("add", kind, name))
        elif before[name] != after[name]:
            changed = _changed_fields(before[name], after[name])
            effects.append(Effect("change", kind, name, changed))
    return effects


def _changed_fields(before: msgspec.Struct, after: msgspec.Struct) -> str:
    names = []
    for field in before.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            secret = field == "token_sha256"
            names.append(field if secret else f"{field} {old} -> {new}")
    return ", ".join(names)


def _placement_changes(current: Intent, intent: Intent) -> list[Effect]:
    """Return the changes of models on engines, and services without a slot."""
    before = place(current).models_by_upstream
    placement = place(intent)
    effects = []
    for name, models in sorted(placement.models_by_upstream.items()):
        added = sorted(models - before.get(name, frozenset()))
        removed = sorted(before.get(name, frozenset()) - models)
        parts = [f"+{model}" for model in added] + [f"-{model}" for model in removed]
        if parts:
            effects.append(Effect("load", "upstream", name, " ".join(parts)))
    effects += [
        Effect("warn", "service", name, "no engine has a free slot for its model")
        for name in placement.unplaced
        if intent.upstreams_of(intent.services_by_name[name])
    ]
    return effects


def _unserved(intent: Intent) -> list[Effect]:
    return [
        Effect("warn", "service", service.name, "no upstream will serve it")
        for service in intent.services_by_name.values()
        if not intent.upstreams_of(service)
    ]
