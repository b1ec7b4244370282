"""Follows changes of the configuration and of the list of VMs.

The head of the configuration is polled, and read at once when a peer's
heartbeat contains a higher revision.  While the platform is unavailable, the
document is requested from the peer with the highest revision.
"""

import asyncio
import contextlib
import logging
import random

import msgspec

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control import configuration
from bankrack.control.configuration import Configuration
from bankrack.control.configuration import Document
from bankrack.control.configuration import Head
from bankrack.control.keyvalue import Platform
from bankrack.control.membership import Membership
from bankrack.control.messages import DocumentReply
from bankrack.control.messages import DocumentRequest
from bankrack.control.peers import Peers
from bankrack.exceptions import BankrackError
from bankrack.exceptions import PlatformDataInvalid
from bankrack.exceptions import PlatformUnavailable

POLL_SECONDS = 2.0
PEER_TIMEOUT_SECONDS = 1.0
MAX_READ_AGE_SECONDS = 4.5
"""Age above which the last read is repeated before a request is sent."""
VM_PREFIX = "vms/"
LEAVING = "leaving"
ENTRY = "entry"
MAX_CONCURRENT_SECTION_READS = 16
_logger = logging.getLogger(__name__)


class VmRecord(msgspec.Struct, frozen=True):
    """One VM of the platform's list, which lags behind reality.

    :param role: ``entry`` or ``upstream``.
    :param address: ``ip:port`` of its listener for peers, or of its upstream.
    """

    role: str = ""
    address: str = ""
    state: str = "live"


class VmList:
    """The platform's list of VMs, as last read."""

    def __init__(self) -> None:
        self.records_by_name: dict[str, VmRecord] = {}
        self.revision = 0
        self.invalid = 0
        self._leaving_addresses: frozenset[str] = frozenset()

    def leaving(self, name: str, address: str) -> bool:
        """Tell whether a VM with this name or address is listed as leaving."""
        record = self.records_by_name.get(name)
        if record is not None and record.state == LEAVING:
            return True
        return address in self._leaving_addresses

    def merge(self, name: str, data: bytes) -> None:
        """Add or replace a record; one that does not decode is only counted."""
        try:
            record = msgspec.json.decode(data, type=VmRecord)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.invalid += 1
            return
        self.records_by_name[name] = record
        self._leaving_addresses = frozenset(
            r.address for r in self.records_by_name.values() if r.state == LEAVING
        )


class Follower:
    """Reads the platform and applies changes to the node."""

    def __init__(
        self,
        *,
        platform: Platform,
        configuration_in_force: Configuration,
        peers: Peers,
        membership: Membership,
        vms: VmList,
    ) -> None:
        self._platform = platform
        self._configuration = configuration_in_force
        self._peers = peers
        self._membership = membership
        self._vms = vms
        self._head_revision = 0
        self._read_requested = asyncio.Event()
        self.last_successful_read_at = 0.0
        self.last_read_at = 0.0
        self._read_lock = asyncio.Lock()
        self.platform_up = False
        peers.handle(DocumentRequest, self._handle_document_request)

    async def ensure_fresh(self) -> None:
        """Read the platform if the last read is too old.

        Otherwise a node that was paused would act on an outdated configuration.
        """
        if not self._is_read_outdated():
            return
        async with self._read_lock:
            if self._is_read_outdated():
                await self._timed_read()

    def _is_read_outdated(self) -> bool:
        return boottime() - self.last_read_at > MAX_READ_AGE_SECONDS

    def request_read(self) -> None:
        """Read the platform without waiting for the next poll."""
        self._read_requested.set()

    async def run(self) -> None:
        """Poll the platform until cancelled."""
        while True:
            self._read_requested.clear()
            await self.refresh()
            pause = POLL_SECONDS * random.uniform(0.8, 1.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._read_requested.wait()

    async def refresh(self) -> None:
        """Read once, from the platform or else from a peer."""
        async with self._read_lock:
            await self._timed_read()

    async def _timed_read(self) -> None:
        started = boottime()
        await self._read()
        # Set only after the read, so that a paused node waits for its result.
        self.last_read_at = started

    async def _read(self) -> None:
        try:
            await self._read_head()
            await self._read_vms()
            self.platform_up = True
            self.last_successful_read_at = boottime()
        except PlatformUnavailable:
            self.platform_up = False
            await self._read_peer()
        except PlatformDataInvalid as error:
            logs.event(
                _logger, "platform_data_invalid", level=logging.ERROR, error=error
            )
            await self._read_peer()

    async def _read_head(self) -> None:
        found = await self._platform.list_changed(
            configuration.CURRENT_KEY, since=self._head_revision, limit=1
        )
        if not found:
            return
        head = configuration.decode_head(found[0].value)
        if head.revision > self._configuration.revision:
            self.adopt(await self._fetch(head), source="platform")
        self._head_revision = found[0].mod_revision

    async def _fetch(self, head: Head) -> Document:
        """Read the sections that the document in force does not contain."""
        held = self._configuration.document
        sections = {} if held is None else dict(held.sections_by_hash)
        wanted = set(head.hashes_by_section.values())
        missing = sorted(wanted - sections.keys())
        for start in range(0, len(missing), MAX_CONCURRENT_SECTION_READS):
            part = missing[start : start + MAX_CONCURRENT_SECTION_READS]
            reads = [
                self._platform.get(configuration.SECTION_PREFIX + digest)
                for digest in part
            ]
            for digest, found in zip(part, await asyncio.gather(*reads), strict=True):
                if found is not None:
                    sections[digest] = found.value
        kept = {digest: sections[digest] for digest in wanted if digest in sections}
        return Document(head, kept)

    def adopt(self, document: Document, *, source: str) -> None:
        """Put a document in force if it is newer."""
        if not self._configuration.adopt(document):
            return
        logs.event(
            _logger,
            "configuration_adopted",
            revision=document.revision,
            plan=document.head.plan_id,
            operator=document.head.operator,
            source=source,
        )

    async def _read_peer(self) -> None:
        revision, name = self._membership.highest_revision()
        if revision <= self._configuration.revision:
            return
        try:
            reply = await self._peers.request(
                name, DocumentRequest(), timeout=PEER_TIMEOUT_SECONDS
            )
            if isinstance(reply, DocumentReply) and reply.document is not None:
                self.adopt(reply.document, source=name)
        except BankrackError as error:
            logs.event(_logger, "peer_document_failed", peer=name, error=error.code)

    async def _handle_document_request(
        self, sender: str, body: DocumentRequest
    ) -> DocumentReply:
        return DocumentReply(self._configuration.document)

    async def _read_vms(self) -> None:
        changed = await self._platform.list_changed(VM_PREFIX, since=self._vms.revision)
        for item in changed:
            name = item.key.removeprefix(VM_PREFIX)
            self._vms.merge(name, item.value)
            self._vms.revision = max(self._vms.revision, item.mod_revision)
            record = self._vms.records_by_name.get(name)
            if record is not None and record.role == ENTRY:
                self._peers.set_peer(name, record.address)
