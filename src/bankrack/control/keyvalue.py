"""Client of the platform's key-value service.

Uses the JSON gateway of the etcd v3 protocol (``/v3/kv/range``, ``/v3/kv/txn``,
``/v3/lease/*``) for compare-and-swap by transaction, leases, and reads of the
changes since a revision.  A failed call raises
:class:`~bankrack.exceptions.PlatformUnavailable`; after a failed write the
caller must read back, since the write may have taken effect.
"""

import base64
import binascii
import itertools
import typing as t

import aiohttp
import msgspec

from bankrack.exceptions import PlatformDataInvalid
from bankrack.exceptions import PlatformUnavailable

CALL_TIMEOUT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 5.0


class KeyValue(msgspec.Struct, frozen=True):
    """A stored key and value.

    :param mod_revision: the store's revision at its last change.
    """

    key: str
    value: bytes
    mod_revision: int


class Unchanged(msgspec.Struct, frozen=True):
    """Condition that the key's last change was ``mod_revision``; 0 if absent."""

    key: str
    mod_revision: int


class ValueBelow(msgspec.Struct, frozen=True):
    """Condition that the key's value sorts before ``value``."""

    key: str
    value: bytes


Condition = Unchanged | ValueBelow


class Put(msgspec.Struct, frozen=True):
    """Store ``value`` under ``key``, bound to ``lease`` unless 0."""

    key: str
    value: bytes
    lease: int = 0


class Delete(msgspec.Struct, frozen=True):
    """Delete ``key``, or with ``end`` all keys from ``key`` to before ``end``."""

    key: str
    end: str = ""


Change = Put | Delete


class Platform:
    """A client of the platform's key-value service.

    :param urls: base URLs of the service, used in turn.
    :param prefix: prepended to every key.
    :param call_timeout: longest time of a call, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: t.Sequence[str],
        *,
        prefix: str = "",
        call_timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._session = session
        self._urls = tuple(urls)
        self._prefix = prefix
        self._timeout = aiohttp.ClientTimeout(total=call_timeout)
        self._positions = itertools.cycle(range(len(self._urls)))
        self.reads = 0
        self.writes = 0
        self.failures = 0

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        found = await self._range({"key": self._encode_key(key)})
        return found[0] if found else None

    async def list_changed(
        self, prefix: str, *, since: int = 0, limit: int = 0
    ) -> list[KeyValue]:
        """Read the keys under ``prefix`` that changed after revision ``since``.

        :param limit: maximum number of keys, 0 for all.
        """
        body = {
            "key": self._encode_key(prefix),
            "range_end": self._encode_key(_range_end(prefix)),
            "min_mod_revision": str(since + 1),
            "limit": str(limit),
        }
        return await self._range(body)

    async def transact(
        self, conditions: t.Sequence[Condition], changes: t.Sequence[Change]
    ) -> int:
        """Apply all ``changes`` if all ``conditions`` hold.

        Returns the revision of the changes, 0 if a condition did not hold.
        """
        body = {
            "compare": [self._compare(condition) for condition in conditions],
            "success": [self._operation(change) for change in changes],
        }
        self.writes += 1
        decoded = await self._call("/v3/kv/txn", body)
        if decoded.get("succeeded") is not True:
            return 0
        header = decoded.get("header", {})
        return _integer(header, "revision") if isinstance(header, dict) else 0

    async def grant_lease(self, seconds: int) -> int:
        """Create a lease that expires after ``seconds``; return its id."""
        self.writes += 1
        decoded = await self._call("/v3/lease/grant", {"TTL": str(seconds)})
        return _integer(decoded, "ID")

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease; return its seconds to live, 0 if it has expired."""
        self.writes += 1
        decoded = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        result = decoded.get("result", {})
        return _integer(result, "TTL") if isinstance(result, dict) else 0

    async def _range(self, body: dict[str, str]) -> list[KeyValue]:
        self.reads += 1
        decoded = await self._call("/v3/kv/range", body)
        kvs = decoded.get("kvs", [])
        if not isinstance(kvs, list):
            raise _undecodable_error("kvs")
        return [self._key_value(item) for item in kvs]

    async def _call(self, path: str, body: t.Mapping[str, t.Any]) -> dict[str, t.Any]:
        url = self._urls[next(self._positions)] + path
        try:
            async with self._session.post(
                url, json=body, timeout=self._timeout
            ) as response:
                data = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.failures += 1
            raise _unavailable_error(type(error).__name__) from error
        if status != 200:
            self.failures += 1
            raise _unavailable_error(f"status {status}")
        try:
            decoded = msgspec.json.decode(data)
        except msgspec.DecodeError as error:
            raise _undecodable_error(path) from error
        if not isinstance(decoded, dict):
            raise _undecodable_error(path)
        return decoded

    def _encode_key(self, key: str) -> str:
        return _base64((self._prefix + key).encode())

    def _key_value(self, item: t.Any) -> KeyValue:
        try:
            key = base64.b64decode(item["key"], validate=True).decode()
            value = base64.b64decode(item.get("value", ""), validate=True)
            revision = int(item["mod_revision"])
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise _undecodable_error("key-value pair") from error
        return KeyValue(key.removeprefix(self._prefix), value, revision)

    def _compare(self, condition: Condition) -> dict[str, str]:
        match condition:
            case Unchanged(key, revision):
                return {
                    "key": self._encode_key(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(revision),
                }
            case ValueBelow(key, value):
                return {
                    "key": self._encode_key(key),
                    "target": "VALUE",
                    "result": "LESS",
                    "value": _base64(value),
                }

    def _operation(self, change: Change) -> dict[str, t.Any]:
        match change:
            case Put(key, value, lease):
                put = {"key": self._encode_key(key), "value": _base64(value)}
                if lease:
                    put["lease"] = str(lease)
                return {"request_put": put}
            case Delete(key, end):
                delete = {"key": self._encode_key(key)}
                if end:
                    delete["range_end"] = self._encode_key(end)
                return {"request_delete_range": delete}


def _base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _range_end(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _integer(decoded: t.Mapping[str, t.Any], key: str) -> int:
    try:
        return int(decoded.get(key, 0))
    except (TypeError, ValueError) as error:
        raise _undecodable_error(key) from error


def _unavailable_error(reason: str) -> PlatformUnavailable:
    return PlatformUnavailable(
        f"the platform's key-value service did not answer ({reason}); try again",
        retry_after=RETRY_AFTER_SECONDS,
    )


def _undecodable_error(location: str) -> PlatformDataInvalid:
    return PlatformDataInvalid(
        f"the key-value service's response does not decode at {location}; check the "
        "service's version"
    )
