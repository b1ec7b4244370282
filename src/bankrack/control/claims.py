"""Claims of idempotency keys, by which a request with a key runs at most once.

A claim is a record in a stored document, one for each time bucket and shard of
keys.  It is written by compare-and-swap before the request is sent; safety
depends on the swap alone.  The claims of a shard are sent to one node, chosen
by rendezvous hashing, which writes them in batches.  When that node does not
answer, the receiving node writes the claim itself, with the same attempt id.

Each record holds the id of the attempt that made it.  When the response to a
write is lost, the document is read again and the attempt in it decides.
"""

import asyncio
import collections
import hashlib
import logging
import os
import time
import typing as t

import msgspec

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control.keyvalue import Change
from bankrack.control.keyvalue import Condition
from bankrack.control.keyvalue import Delete
from bankrack.control.keyvalue import Platform
from bankrack.control.keyvalue import Put
from bankrack.control.keyvalue import Unchanged
from bankrack.control.keyvalue import ValueBelow
from bankrack.control.membership import rendezvous
from bankrack.control.messages import ClaimReply
from bankrack.control.messages import ClaimRequest
from bankrack.control.peers import Peers
from bankrack.exceptions import AlreadyClaimed
from bankrack.exceptions import InvariantViolated
from bankrack.exceptions import LimitExceeded
from bankrack.exceptions import PeerUnavailable
from bankrack.exceptions import PlatformDataInvalid
from bankrack.exceptions import PlatformUnavailable
from bankrack.exceptions import RequestKeyRefused
from bankrack.wire import requestkeys

PREFIX = "claims/"
FLOOR_KEY = "claims/floor"
SHARDS = 8
BUCKET_SECONDS = 10
RETENTION_SECONDS = 600
"""Maximum age of a key; the claims of older keys may be deleted."""
CLOCK_TOLERANCE_SECONDS = 60
"""How far a key's time may lie in the future, in seconds."""
COMMIT_INTERVAL_SECONDS = 0.15
"""Minimum time between two writes of a shard, in which claims are batched."""
CLAIM_TIMEOUT_SECONDS = 3.0
PEER_TIMEOUT_SECONDS = 1.5
MAX_COMMIT_ATTEMPTS = 6
RETRY_PAUSE_SECONDS = 0.05
CLAIM_ID_BYTES = 16
ATTEMPT_BYTES = 8
RECORD_BYTES = CLAIM_ID_BYTES + ATTEMPT_BYTES
MAX_DOCUMENT_BYTES = 900 * 1024
MAX_CACHED_DOCUMENTS = 128
FLOOR_INTERVAL_SECONDS = 60.0
RETRY_AFTER_SECONDS = 5.0
_logger = logging.getLogger(__name__)


class Claim(msgspec.Struct, frozen=True):
    """An attempt's claim of a key.

    :param bucket: time bucket of the key.
    :param claim_id: hash of workspace and key.
    :param attempt: random id of the attempt to send the request.
    """

    bucket: int
    claim_id: bytes
    attempt: bytes

    @property
    def shard(self) -> int:
        """The shard of the claim within its bucket."""
        return self.claim_id[0] % SHARDS

    @property
    def document_key(self) -> str:
        """The key of the document that stores the claim."""
        return f"{PREFIX}{self.bucket:010d}/{self.shard}"


class ClaimDocument:
    """A stored document, which maps claim ids to attempts."""

    __slots__ = ("attempts_by_claim", "mod_revision")

    def __init__(
        self, attempts_by_claim: dict[bytes, bytes], mod_revision: int
    ) -> None:
        self.attempts_by_claim = attempts_by_claim
        self.mod_revision = mod_revision

    @classmethod
    def decode(cls, data: bytes, mod_revision: int) -> "ClaimDocument":
        """Decode a stored document.

        :raises PlatformDataInvalid: the size is no multiple of a record's.
        """
        if len(data) % RECORD_BYTES:
            raise PlatformDataInvalid(
                f"a claims document of {len(data)} bytes does not decode; make sure "
                f"that no other program writes under {PREFIX}"
            )
        attempts = {
            data[at : at + CLAIM_ID_BYTES]: data[
                at + CLAIM_ID_BYTES : at + RECORD_BYTES
            ]
            for at in range(0, len(data), RECORD_BYTES)
        }
        return cls(attempts, mod_revision)


class PendingClaim:
    """A claim that waits for its shard's next write."""

    __slots__ = ("claim", "future")

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def resolve(self, granted: bool) -> None:
        """Complete the claim; ``granted`` tells whether its attempt holds it."""
        if not self.future.done():
            self.future.set_result(granted)

    def fail(self, error: Exception) -> None:
        """Complete the claim with an error."""
        if not self.future.done():
            self.future.set_exception(error)


class ShardWriter:
    """Writes the claims of one shard in batches.

    :param commit_seconds: minimum time between two writes.
    """

    def __init__(self, platform: Platform, *, commit_seconds: float) -> None:
        self._platform = platform
        self._commit_seconds = commit_seconds
        self._waiting: list[PendingClaim] = []
        self._task: asyncio.Task[None] | None = None
        self._documents_by_key: collections.OrderedDict[str, ClaimDocument] = (
            collections.OrderedDict()
        )
        self._last_commit = 0.0
        self.commits = 0
        self.conflicts = 0

    async def claim(self, claim: Claim) -> bool:
        """Write ``claim``; tell whether its attempt holds the key."""
        waiting = PendingClaim(claim)
        self._waiting.append(waiting)
        if self._task is None:
            self._task = asyncio.create_task(self._drain())
        return await waiting.future

    async def _drain(self) -> None:
        """Write batches until no claim waits."""
        try:
            while self._waiting:
                pause = self._last_commit + self._commit_seconds - boottime()
                if pause > 0:
                    await asyncio.sleep(pause)
                self._last_commit = boottime()
                batch, self._waiting = self._waiting, []
                await self._decide(batch)
        finally:
            self._task = None

    async def _decide(self, batch: list[PendingClaim]) -> None:
        try:
            await self._commit(batch)
        except (PlatformUnavailable, PlatformDataInvalid, LimitExceeded) as error:
            for waiting in batch:
                waiting.fail(error)
        except Exception as error:
            _logger.exception("event=claim_commit_failed")
            for waiting in batch:
                waiting.fail(error)

    async def _commit(self, batch: list[PendingClaim]) -> None:
        """Retry until every claim of the batch is recorded in its document."""
        failure: PlatformUnavailable | None = None
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                await self._load(batch)
                unclaimed = self._resolve_recorded(batch)
                if not unclaimed:
                    return
                if await self._write(unclaimed):
                    continue
                self.conflicts += 1
                await self._ensure_floor(unclaimed)
            except PlatformUnavailable as error:
                failure = error
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
            self._discard_documents(batch)
        raise failure or PlatformUnavailable(
            f"the claim still conflicts with other writers after {MAX_COMMIT_ATTEMPTS} "
            "attempts; try again",
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def _load(self, batch: list[PendingClaim]) -> None:
        for key in sorted({waiting.claim.document_key for waiting in batch}):
            if key in self._documents_by_key:
                self._documents_by_key.move_to_end(key)
                continue
            found = await self._platform.get(key)
            if found is None:
                document = ClaimDocument({}, 0)
            else:
                document = ClaimDocument.decode(found.value, found.mod_revision)
            self._documents_by_key[key] = document
        while len(self._documents_by_key) > MAX_CACHED_DOCUMENTS:
            self._documents_by_key.popitem(last=False)

    def _resolve_recorded(self, batch: list[PendingClaim]) -> list[PendingClaim]:
        """Resolve claims that are recorded already; return the others."""
        unclaimed = []
        for waiting in batch:
            claim = waiting.claim
            document = self._documents_by_key[claim.document_key]
            holder = document.attempts_by_claim.get(claim.claim_id)
            if holder is None:
                unclaimed.append(waiting)
            else:
                waiting.resolve(holder == claim.attempt)
        return unclaimed

    async def _write(self, unclaimed: list[PendingClaim]) -> bool:
        """Add the claims to their documents in one transaction.

        Returns whether the transaction succeeded.
        """
        added_by_key: dict[str, dict[bytes, bytes]] = {}
        for waiting in unclaimed:
            claim = waiting.claim
            added = added_by_key.setdefault(claim.document_key, {})
            added.setdefault(claim.claim_id, claim.attempt)
        lowest = min(waiting.claim.bucket for waiting in unclaimed)
        conditions: list[Condition] = [ValueBelow(FLOOR_KEY, _floor_value(lowest))]
        changes: list[Change] = []
        for key, added in added_by_key.items():
            document = self._documents_by_key[key]
            conditions.append(Unchanged(key, document.mod_revision))
            records = {**document.attempts_by_claim, **added}
            data = b"".join(claim + attempt for claim, attempt in records.items())
            if len(data) > MAX_DOCUMENT_BYTES:
                raise LimitExceeded(
                    f"too many Idempotency-Keys within {BUCKET_SECONDS} s; create each "
                    "key at the time of its request",
                    retry_after=float(BUCKET_SECONDS),
                )
            changes.append(Put(key, data))
        self.commits += 1
        revision = await self._platform.transact(conditions, changes)
        if not revision:
            return False
        for key, added in added_by_key.items():
            document = self._documents_by_key[key]
            document.attempts_by_claim.update(added)
            document.mod_revision = revision
        return True

    async def _ensure_floor(self, unclaimed: list[PendingClaim]) -> None:
        """Create the floor if it is missing; refuse claims below it."""
        floor = await self._platform.get(FLOOR_KEY)
        if floor is None:
            create = Put(FLOOR_KEY, _floor_value(0))
            await self._platform.transact([Unchanged(FLOOR_KEY, 0)], [create])
            return
        for waiting in list(unclaimed):
            if _floor_value(waiting.claim.bucket) <= floor.value:
                waiting.fail(_too_old_error())

    def _discard_documents(self, batch: list[PendingClaim]) -> None:
        batch[:] = [waiting for waiting in batch if not waiting.future.done()]
        for waiting in batch:
            self._documents_by_key.pop(waiting.claim.document_key, None)


class Claims:
    """Claims keys for this node's requests and, as a writer, for its peers'.

    The floor is the stored time bucket up to which claims are refused, so that
    the documents below it can be deleted safely.

    :param writers: names the nodes that may write for others, this one included.
    :param wall_clock: time in seconds, compared with the time of keys.
    :param commit_seconds: minimum time between two writes of a shard.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        peers: Peers,
        writers: t.Callable[[], t.Sequence[str]],
        wall_clock: t.Callable[[], float] = time.time,
        commit_seconds: float = COMMIT_INTERVAL_SECONDS,
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._writers = writers
        self._wall_clock = wall_clock
        self.shard_writers = [
            ShardWriter(platform, commit_seconds=commit_seconds) for _ in range(SHARDS)
        ]
        peers.handle(ClaimRequest, self._claim_for_peer)

    def claimer(self, workspace: str, key: str) -> t.Callable[[], t.Awaitable[None]]:
        """Return a function that claims the key, to be called before sending.

        It may be called once.

        :raises RequestKeyRefused: the key is too old or in the future.
        """
        self._check_time(key)
        used = False

        async def claim() -> None:
            nonlocal used
            if used:
                raise InvariantViolated("an attempt claimed its key twice")
            used = True
            await self._claim(workspace, key)

        return claim

    async def raise_floor(self) -> None:
        """Delete expired documents and refuse the claims of their buckets."""
        oldest = self._wall_clock() - 2 * RETENTION_SECONDS
        value = _floor_value(int(oldest // BUCKET_SECONDS))
        floor = await self._platform.get(FLOOR_KEY)
        if floor is not None and floor.value >= value:
            return
        unchanged = Unchanged(FLOOR_KEY, floor.mod_revision if floor else 0)
        old = Delete(f"{PREFIX}0", f"{PREFIX}{value.decode()}/")
        await self._platform.transact([unchanged], [Put(FLOOR_KEY, value), old])

    async def run_floor_updates(self) -> None:
        """Raise the floor periodically on one of the nodes, until cancelled."""
        while True:
            await asyncio.sleep(FLOOR_INTERVAL_SECONDS)
            if rendezvous(FLOOR_KEY, self._writers()) != self._peers.name:
                continue
            try:
                await self.raise_floor()
            except (PlatformUnavailable, PlatformDataInvalid) as error:
                logs.event(_logger, "claim_floor_failed", error=error.code)

    async def _claim(self, workspace: str, key: str) -> None:
        claim = Claim(
            bucket=int(requestkeys.seconds(key) // BUCKET_SECONDS),
            claim_id=_claim_id(workspace, key),
            attempt=os.urandom(ATTEMPT_BYTES),
        )
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                granted = await self._route(claim)
        except TimeoutError as error:
            raise PlatformUnavailable(
                "the Idempotency-Key was not claimed within "
                f"{CLAIM_TIMEOUT_SECONDS} s, so the request was not sent; send it with "
                "a new key",
                retry_after=RETRY_AFTER_SECONDS,
            ) from error
        if not granted:
            raise AlreadyClaimed(
                "a request with this Idempotency-Key was accepted before and is not "
                "run again; use its response, or create a new key for a new request"
            )

    async def _route(self, claim: Claim) -> bool:
        """Claim through the shard's designated writer, else directly."""
        writer = rendezvous(f"{PREFIX}{claim.shard}", self._writers())
        if writer not in ("", self._peers.name):
            request = ClaimRequest(claim.bucket, claim.claim_id, claim.attempt)
            try:
                reply = await self._peers.request(
                    writer, request, timeout=PEER_TIMEOUT_SECONDS
                )
                if isinstance(reply, ClaimReply):
                    return reply.granted
            except PeerUnavailable as error:
                logs.event(_logger, "claim_writer_failed", peer=writer, error=error)
        return await self.shard_writers[claim.shard].claim(claim)

    async def _claim_for_peer(self, sender: str, request: ClaimRequest) -> ClaimReply:
        claim = Claim(request.bucket, request.claim_id, request.attempt)
        return ClaimReply(await self.shard_writers[claim.shard].claim(claim))

    def _check_time(self, key: str) -> None:
        age = self._wall_clock() - requestkeys.seconds(key)
        if age > RETENTION_SECONDS:
            raise _too_old_error()
        if age < -CLOCK_TOLERANCE_SECONDS:
            raise RequestKeyRefused(
                "the time of the Idempotency-Key is in the future; correct the "
                "client's clock"
            )


def _claim_id(workspace: str, key: str) -> bytes:
    text = f"{workspace}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=CLAIM_ID_BYTES).digest()


def _floor_value(bucket: int) -> bytes:
    return b"%010d" % bucket


def _too_old_error() -> RequestKeyRefused:
    return RequestKeyRefused(
        f"the Idempotency-Key is older than {RETENTION_SECONDS} s; create a new key if "
        "the first request is known not to have run"
    )
