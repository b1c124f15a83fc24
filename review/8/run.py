"""BUDGET: a part of prompts that crashes servers is not found where the servers go dark.

Three entries, sixteen model servers and a steady load of sound streams. Now and then a request comes with a part that
crashes each server that begins to write an answer on it. The crashed server falls silent: its open connections bring
nothing any more, and connections to it are not accepted. After some seconds it is back in a new incarnation, and the
old connections are reset. RESETS=1 plays the same with servers that reset their connections as they crash; the part
is found then.
"""

import asyncio
import os
import pathlib
import random
import socket
import struct
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))
import fleet2 as f  # noqa: E402

SERVICE = "draft-writer"
ENTRIES, SERVERS, SLOTS, PARTS = 3, 16, 12, 6
IS_SILENT = os.environ.get("RESETS") != "1"
BAD_PART = "bad00bad:30"
# A request with the bad part takes two servers down, 1.5 s apart, so that at most 2 of 16 are dark at once.
SOUND_EVERY_S, BAD_EVERY_S = 0.05, 5.0
CALM_S, PLAY_S = 4.0, 45.0
EVENTS, EVENT_S = 16, 0.036
DOWN_S = 3.0
# Clients abandon a stream after a gap of two seconds (PROTOCOL.md).
GAP_S, DEADLINE_S = 2.0, 8.0
MAX_LATE, CRASHES = 3, 5
CONTACT_S = f.BOUNDS["contact_ms"] / 1000


def config():
    route = {
        "name": "r-draft", "host": "a.example", "prefix": "/draft/", "kind": "streaming", "timeout_ms": 8000,
        "target_latency_ms": 500, "priority": 1, "service": SERVICE, "max_attempts": 2, "public": False,
        "sticky": True, "resumable": True, "target_gap_ms": 120,
    }
    return {
        "version": 7, "routes": [route],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 348}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": ["key-1"], "priority": 1}],
    }


class Server:
    """One incarnation of a model server."""

    def __init__(self, fleet, number, play):
        self.fleet, self.number, self.play = fleet, number, play
        self.id, self.born, self.running = f"i-{number}", int(time.time() * 1000), 0
        self.is_down = False
        self.listener = f.Listener(fleet.ip(20 + number), f.SERVER, self.serve)

    async def start(self):
        await self.listener.start()
        await self.fleet.store.put(f"servers/{self.id}", {
            "service": SERVICE, "address": f"{self.listener.ip}:{f.SERVER}", "zone": "zone-1", "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": self.born, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}]})

    def crash(self, request_id):
        self.play.crashes.append(time.monotonic())
        self.play.down += 1
        self.play.most_down = max(self.play.most_down, self.play.down)
        self.fleet.record.line(f"crash {len(self.play.crashes)}: {self.id} crashes as it begins to answer {request_id}")
        self.is_down = True
        self.listener.server.close()
        if not IS_SILENT:
            self.reset_connections()
        asyncio.create_task(self.come_back())

    def reset_connections(self):
        for writer in list(self.listener.tasks.values()):
            if not writer.transport.is_closing():
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()

    def fall_silent(self):
        """Takes the address with a queue that is full, so that nobody's connection is accepted or refused."""
        address = (self.listener.ip, f.SERVER)
        silent = socket.socket()
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind(address)
        silent.listen(0)
        fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            fillers.append(filler)
        return [silent, *fillers]

    async def come_back(self):
        sockets = self.fall_silent() if IS_SILENT else []
        await asyncio.sleep(DOWN_S)
        self.play.down -= 1
        for one in sockets:
            one.close()
        self.reset_connections()
        await Server(self.fleet, self.number, self.play).start()

    async def live(self):
        """Returns while the server lives; a crashed one does nothing any more."""
        if self.is_down:
            await self.play.never.wait()

    async def serve(self, reader, writer):
        request = await f.read_request(reader)
        await self.live()
        request_id = request.headers.get("x-request-id")
        echo = [("X-Request-Id", request_id)]
        if request.headers.get("x-expect-instance") != self.id:
            writer.write(f.answer_bytes(421, b"", echo))
            return
        is_bad = BAD_PART in request.headers.get("x-prefix-hash", "").split(",")[:-1]
        if is_bad:
            self.play.bad_arrivals.append(time.monotonic())
            self.fleet.record.line(f"{self.id} gets {request_id}, which has the bad part")
        if self.running >= SLOTS:
            writer.write(f.answer_bytes(503, b"", [("X-Not-Executed", "1"), *echo]))
            return
        self.running += 1
        try:
            await asyncio.sleep(EVENT_S)
            await self.live()
            head = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}", "X-Response-Seal: s", "X-Weight-Versions: 1",
                    "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            await writer.drain()
            if is_bad and f.TROUBLE:
                self.crash(request_id)
                await self.live()
            for number in range(int(request.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
                event = f"id: {number}\ndata: e{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(EVENT_S)
                await self.live()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


class Play:
    def __init__(self, fleet):
        self.fleet = fleet
        self.crashes, self.bad_arrivals, self.counts = [], [], {"sound": {}, "bad": {}}
        self.entries, self.number = [], 0
        self.down = self.most_down = 0
        self.never = asyncio.Event()

    async def stream(self, entry, head):
        """Sends a request and reads its stream as a client does; returns the outcome."""
        writer, status, body = None, 0, b""
        end = time.monotonic() + DEADLINE_S
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(entry.ip, f.FRONT), 1)
            writer.write(head)
            while True:
                gap = min(GAP_S, end - time.monotonic())
                if status == 0:
                    line, headers = await asyncio.wait_for(f.read_head(reader), gap)
                    status = int(line.split(" ")[1])
                    if status != 200:
                        return str(status)
                size = int((await asyncio.wait_for(reader.readuntil(b"\r\n"), gap)).split(b";")[0], 16)
                body += (await asyncio.wait_for(reader.readexactly(size + 2), gap))[:size]
                if size == 0:
                    return "served" if body.count(b"id: ") == EVENTS else "200 whole, events missing"
        except asyncio.TimeoutError:
            return "abandoned after a gap"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return f"{status} broken off"
        finally:
            if writer:
                writer.close()

    async def send(self, kind):
        self.number += 1
        request_id = f"{kind}-{self.number}"
        parts = [f"{0xc0000000 + number:x}:30" for number in range(PARTS)]
        if kind == "bad":
            parts.insert(PARTS // 2, BAD_PART)
        parts.append(f"{random.getrandbits(32):x}:250")
        entry = random.choice(self.entries)
        body = request_id.encode()
        head = "\r\n".join([
            f"POST /draft/{request_id} HTTP/1.1", "Host: a.example", f"X-Request-Id: {request_id}", "X-Model: m",
            f"X-Token-Usage: {30 * (len(parts) - 1) + 250},64", f"X-Prefix-Hash: {','.join(parts)}",
            "X-Deadline-Ms: 8000", "Authorization: Bearer key-1", f"Content-Length: {len(body)}", "", ""])
        outcome = await self.stream(entry, head.encode() + body)
        self.counts[kind][outcome] = self.counts[kind].get(outcome, 0) + 1
        self.fleet.record.line(f"client: {request_id} at {entry.node}: {outcome}")

    async def load(self, kind, every_s):
        while True:
            asyncio.create_task(self.send(kind))
            await asyncio.sleep(every_s)


async def main(fleet):
    await fleet.start_store()
    await fleet.store.put("op/config", config())
    play = Play(fleet)
    for number in range(SERVERS):
        await Server(fleet, number, play).start()
    play.entries = [fleet.entry(host, [1, 2, 3]) for host in range(1, ENTRIES + 1)]
    for entry in play.entries:
        entry.start()
    await fleet.wait_until_ready(play.entries)
    # All machines are in touch before the first crash.
    sound = asyncio.create_task(play.load("sound", SOUND_EVERY_S))
    await asyncio.sleep(max(CALM_S, CONTACT_S + 0.5))
    fleet.record.say(f"requests with the bad part begin; crashed servers {'fall silent' if IS_SILENT else 'reset'}")
    bad = asyncio.create_task(play.load("bad", BAD_EVERY_S))
    await asyncio.sleep(PLAY_S)
    bad.cancel()
    sound.cancel()
    await asyncio.sleep(DEADLINE_S / 2)
    bound = play.crashes[CRASHES - 1] + CONTACT_S if len(play.crashes) >= CRASHES else None
    late = [at for at in play.bad_arrivals if bound and at > bound]
    fleet.record.say(f"{len(play.crashes)} crashes, {play.most_down} of {SERVERS} servers down at once; {len(play.bad_arrivals)} requests with the bad part reached servers, "
                     f"{len(late)} of them later than {CONTACT_S:.0f} s after the fifth crash; answers {play.counts}")
    if not play.counts["sound"].get("served"):
        raise f.CaseFailed("no sound request was served")
    if len(late) > MAX_LATE:
        fleet.record.say(f"BUDGET broken: {len(late)} requests with a part that crashes servers, {MAX_LATE} are allowed")
    return len(late) > MAX_LATE


f.run_case(CASE, main)
