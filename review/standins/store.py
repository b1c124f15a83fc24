"""Stand-in for the platform's metadata store: linearizable reads and watches."""

import asyncio
import base64
import json

from . import http1

PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.address = None
        self.is_down = False

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def put(self, key, document):
        """Writes an item; the write is acknowledged when this returns."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        await self.publish(item)

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        await self.publish({"key": key, "revision": self.revision, "removed": True})

    async def publish(self, event):
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (request := await http1.read_request(reader)) is not None:
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        era = [("Store-Era", "1")]
        if self.is_down:
            return http1.json_bytes(503, {}, era)
        prefix = request.query.get("prefix", "")
        if request.path == "/pomeloramp/kv-key":
            item = self.items.get(request.query.get("key"))
            if item is None:
                return http1.json_bytes(404, {"current_rev": self.revision}, era)
            return http1.json_bytes(200, {**item, "current_rev": self.revision}, era)
        if request.path == "/pomeloramp/kv-range":
            after = request.query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            entries = [self.items[key] for key in keys[:PAGE_ITEMS]]
            document = {"entries": entries, "more_pages": len(keys) > PAGE_ITEMS, "current_rev": self.revision}
            return http1.json_bytes(200, document, era)
        if request.path == "/pomeloramp/kv-watch":
            after, wait_s = int(request.query["after"]), int(request.query["wait_ms"]) / 1000
            events = await self.events_after(prefix, after, wait_s)
            return http1.json_bytes(200, {"events": events, "current_rev": self.revision}, era)
        return http1.json_bytes(404, {}, era)

    async def events_after(self, prefix, after, wait_s):
        def events():
            return [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(events), wait_s)
            except asyncio.TimeoutError:
                pass
        return events()
