"""Stand-in for the application's servers, plain or streaming, with the configuration that names them."""

import asyncio
import time

from . import http1

HEARTBEAT_S = 1.2
KEY = "k-review"
HOST = "a.example"


class Crash(Exception):
    """Ends the process of a server in the middle of its work."""


class Server:
    """A server at a fixed address. Each start is a new incarnation with a new id.

    `work` is a coroutine function of this server, a request and a writer; it writes the whole answer.
    """

    def __init__(self, name, service, store, note, work, slots=6):
        self.name, self.service, self.store, self.note, self.work = name, service, store, note, work
        self.slots = slots
        self.starts = 0
        self.id = None
        self.listener = None
        self.connections = set()
        self.address = None
        self.host = None

    async def start(self, host):
        self.host = host
        port = int(self.address.rsplit(":", 1)[1]) if self.address else 0
        self.listener = await asyncio.start_server(self.serve, host, port)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        self.starts += 1
        self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        await self.report("ready")

    async def report(self, state):
        await self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": self.address, "zone": "zone-1", "version": "v1",
            "slots": self.slots, "state": state, "cold_remaining_ms": 0, "seq": self.starts, "born": self.born})

    def crash(self, down_s):
        """Ends the process; it starts again after `down_s`, and its old entry lapses by then."""
        self.note(f"server {self.id} crashes")
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        asyncio.get_running_loop().create_task(self.start_again(down_s, self.id))

    async def start_again(self, down_s, old_id):
        await asyncio.sleep(down_s)
        await self.store.remove(f"servers/{old_id}")
        await self.start(self.host)
        self.note(f"server {self.id} is back")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await http1.read_request(reader)) is not None:
                if request.header("x-expect-instance") not in (None, self.id):
                    writer.write(http1.answer_bytes(421, b"", [("X-Instance-Id", self.id)]))
                elif request.path == "/health":
                    writer.write(http1.answer_bytes(200, b"", [("X-Instance-Id", self.id)]))
                else:
                    await self.work(self, request, writer)
                await writer.drain()
        except (ConnectionError, Crash, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def answer(request, status, body=b"", headers=()):
    """Returns an answer that the server vouches for."""
    identity = [("X-Request-Id", request.header("x-request-id")), ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")]
    return http1.answer_bytes(status, body, [*identity, *headers])


def stream_head(request):
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
             f"X-Request-Id: {request.header('x-request-id')}", "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1",
             "X-Weight-Versions: 1"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))


LAST_CHUNK = b"0\r\n\r\n"


def route(name, prefix, kind, service, timeout_ms, attempts, **more):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": attempts,
            "public": False, "sticky": kind == "streaming", **more}


def config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 348, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "org-1", "api_keys": [KEY], "priority": 1}]}


def caller_headers(request_id, deadline_ms, **more):
    headers = [("Host", HOST), ("X-Request-Id", request_id), ("X-Deadline-Ms", str(deadline_ms)),
               ("Authorization", f"Bearer {KEY}")]
    return headers + [(name.replace("_", "-"), value) for name, value in more.items()]
