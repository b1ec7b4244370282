"""Settings of one node, read from a TOML file and validated."""

import dataclasses
import pathlib
import typing as t

from expression import Error
from expression import Ok
from expression import Result

from bankrack import tables
from bankrack.exceptions import InvalidDocument

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@dataclasses.dataclass(slots=True, frozen=True)
class TlsSettings:
    """Certificate files of one listener; empty paths mean plain TCP."""

    certificate: str = ""
    private_key: str = ""
    authority: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one node; times in seconds, sizes in bytes.

    :param drain_notice: time that a draining node still accepts new requests, until
        the balancer has removed it.
    """

    body_bytes: int = 4 * 1024 * 1024
    requests_in_flight: int = 4000
    connect_timeout: float = 1.0
    token_timeout: float = 10.0
    first_token_timeout: float = 30.0
    resume_window: float = 8.0
    drain_notice: float = 5.0
    drain_timeout: float = 3600.0


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a node that it needs before it can reach the platform."""

    name: str
    region: str
    hall: str
    callers: str
    operators: str
    peers: str
    platform_urls: tuple[str, ...]
    platform_prefix: str
    peer_key: str
    seeds: tuple[str, ...]
    operator_tokens_by_name: dict[str, str]
    callers_tls: TlsSettings
    operators_tls: TlsSettings
    limits: Limits
    log_level: str
    admission: str


def load(path: str) -> Result[Settings, InvalidDocument]:
    """Read and validate the settings file at ``path``."""
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return parse(text, path)


def parse(text: str, source: str = "settings") -> Result[Settings, InvalidDocument]:
    """Validate settings given as TOML text."""
    match tables.parse(text, source):
        case Result(tag="ok", ok=root):
            settings = _read(root)
            if root.problems:
                return Error(InvalidDocument(root.problems))
            return Ok(settings)
        case Result(error=problems):
            return Error(InvalidDocument(problems))
    raise AssertionError("unreachable")


def _read(root: tables.Table) -> Settings:
    node = root.table("node")
    listen = root.table("listen")
    platform = root.table("platform")
    peers = root.table("peers")
    operators = root.table("operators")
    logs = root.table("logs")
    admission = root.table("admission")
    tls = root.table("tls")
    settings = Settings(
        name=node.name("name"),
        region=node.name("region"),
        hall=node.name("hall"),
        callers=listen.address("callers"),
        operators=listen.address("operators"),
        peers=listen.address("peers"),
        platform_urls=_urls(platform),
        platform_prefix=platform.text("prefix", "bankrack/"),
        peer_key=_peer_key(peers),
        seeds=peers.names("seeds"),
        operator_tokens_by_name=_token_hashes(operators),
        callers_tls=_tls(tls.table("callers")),
        operators_tls=_tls(tls.table("operators")),
        limits=_limits(root.table("limits")),
        log_level=logs.choice("level", LOG_LEVELS, "INFO"),
        admission=admission.choice("mode", ("owner", "alone"), "owner"),
    )
    for table in (root, node, listen, platform, peers, operators, logs, tls, admission):
        table.reject_unknown_keys()
    return settings


def _urls(platform: tables.Table) -> tuple[str, ...]:
    urls = platform.names("urls")
    if not urls:
        platform.add_problem(
            "urls", list(urls), "at least one URL", "name the platform"
        )
    for url in urls:
        if not url.startswith(("http://", "https://")):
            platform.add_problem(
                "urls", url, "an http or https URL", "write the scheme"
            )
    return urls


def _peer_key(peers: tables.Table) -> str:
    key = peers.text("key")
    if len(key) < 32:
        peers.add_problem(
            "key", "a short key", "32 characters or more", "make a new key"
        )
    return key


def _token_hashes(operators: tables.Table) -> dict[str, str]:
    hashes = operators.strings("tokens")
    for name, value in hashes.items():
        tables.check_token_hash(operators, f"tokens.{name}", value)
    return hashes


def _tls(table: tables.Table) -> TlsSettings:
    tls = TlsSettings(
        certificate=table.text("certificate", ""),
        private_key=table.text("private_key", ""),
        authority=table.text("authority", ""),
    )
    if bool(tls.certificate) != bool(tls.private_key):
        table.add_problem(
            "certificate", tls.certificate, "both files or neither", "name both files"
        )
    table.reject_unknown_keys()
    return tls


def _limits(table: tables.Table) -> Limits:
    default = Limits()
    values: dict[str, t.Any] = {}
    for field in dataclasses.fields(Limits):
        fallback = getattr(default, field.name)
        if isinstance(fallback, int):
            values[field.name] = table.integer(
                field.name, fallback, minimum=1, maximum=1 << 30
            )
        else:
            values[field.name] = table.number(
                field.name, fallback, minimum=0.01, maximum=86400.0
            )
    table.reject_unknown_keys()
    return Limits(**values)
