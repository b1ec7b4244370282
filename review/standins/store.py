"""Stand-in of the platform's metadata store, as PROTOCOL.md tells it."""

import asyncio
import base64
import json
import time
import urllib.parse

import http1

PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases and a history, served over HTTP."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.silent_until = 0.0
        self.silent_for = lambda peer: False
        self.address = ""
        self._lease_number = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        asyncio.get_running_loop().create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for number, (ends_at, _) in list(self.leases.items()):
                if time.monotonic() > ends_at:
                    self._end_lease(number)

    def _end_lease(self, number):
        self.leases.pop(number, None)
        for key, item in list(self.items.items()):
            if item["lease"] == number:
                self.remove(key)

    def put(self, key, value, lease=0):
        """Write one key; returns its revision."""
        self.revision += 1
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        text = base64.b64encode(value).decode()
        made = self.items.get(key, {}).get("made", self.revision)
        item = {"tlsKey": key, "value": text, "revision": self.revision}
        item |= {"made": made, "lease": lease}
        self.items[key] = item
        self._note(dict(item))
        return self.revision

    def remove(self, key):
        """Remove one key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"tlsKey": key, "revision": self.revision, "gone": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await http1.read_request(reader)) is not None:
                if await self._is_silent():
                    return
                response = await self._answer(request)
                if await self._is_silent():
                    return
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _is_silent(self):
        """Once an answer is lost on a channel, that channel says nothing further."""
        if time.monotonic() < self.silent_until:
            await asyncio.sleep(3600)
            return True
        return False

    async def _answer(self, request):
        path, _, text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        body = json.loads(request.body) if request.body else {}
        name = path.removeprefix("/v1/")
        if name == "kv-range":
            return self._range(query)
        if name == "kv-key":
            item = self.items.get(query.get("tlsKey", ""))
            if item is None:
                return http1.encode_json(404, {"at": self.revision})
            return http1.encode_json(200, item | {"at": self.revision})
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            ttl = max(1.0, body["ttl_ms"] / 1000)
            self._lease_number += 1
            self.leases[self._lease_number] = (time.monotonic() + ttl, ttl)
            answer = {"lease": self._lease_number, "ttl_ms": int(ttl * 1000)}
            return http1.encode_json(200, answer)
        if name.startswith("kv-keep/"):
            number = int(name.removeprefix("kv-keep/"))
            if number not in self.leases:
                return http1.encode_json(404, {})
            ttl = self.leases[number][1]
            self.leases[number] = (time.monotonic() + ttl, ttl)
            return http1.encode_json(200, {"ttl_ms": int(ttl * 1000)})
        if name.startswith("kv-lease-end/"):
            number = int(name.removeprefix("kv-lease-end/"))
            if number not in self.leases:
                return http1.encode_json(404, {})
            self._end_lease(number)
            return http1.encode_json(200, {})
        return http1.encode_json(404, {})

    def _range(self, query):
        prefix, after = query.get("pathPrefix", ""), query.get("sinceRevision", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        answer = {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.revision}
        return http1.encode_json(200, answer)

    async def _watch(self, query):
        since = int(query.get("sinceRevision", "0"))
        prefix = query.get("pathPrefix", "")
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > since and event["tlsKey"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                answer = {"events": events, "at": self.revision}
                return http1.encode_json(200, answer)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        expected = body.get("expectedRevision", [])
        found = [self.items.get(row["tlsKey"], {"revision": 0}) for row in expected]
        if any(f["revision"] != r["revision"] for f, r in zip(found, expected)):
            items = [item for item in found if item["revision"]]
            answer = {"items": items, "at": self.revision}
            return http1.encode_json(412, answer)
        writes = body.get("put", [])
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return http1.encode_json(404, {})
        if any(w["tlsKey"].startswith(("op/", "servers/")) for w in writes):
            return http1.encode_json(403, {})
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["tlsKey"], value, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return http1.encode_json(200, {"revision": self.revision})
