"""Two entries that are stopped in turn (SIGTERM, SIGKILL after `grace_s`), one of which stands still as its SIGTERM comes.

Stand-ins: the platform's store, two servers that answer notes and drafts with streams of NOTE_S and DRAFT_S, and
callers that go by the directories as PROTOCOL.md says (section Ingress).
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from base64 import b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
DAEMON = ROOT / "target/release/pomelorampd"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SERVERS = 2
SLOTS = 100
NOTE_S = (2.0, 3.8)
NOTE_DEADLINE_S = 4.0
DRAFT_S = 6.0
DRAFT_DEADLINE_S = 8.0
EVENT_PAUSE_S = 0.1
GRACE_S = 8.0
CONTACT_S = 3.0
# node_freeze: the site file has for_s = 4.0
FREEZE_S = 2.0
# roll_term, gap_s: "each gap_s"
ROLL_GAP_S = 1.2
RESTART_S = 1.5
CALLER_LIFE_S = 8.0
NEW_CALLERS_PER_S = 14

PROCESS = os.getpid()
NET = f"127.{1 + PROCESS // 250 % 250}.{1 + PROCESS % 250}"
START = time.monotonic()
BORN_MS = int(time.time() * 1000)
ENTRY_IPS = [f"{NET}.100", f"{NET}.101"]
STORE = f"{NET}.200:8223"
record = open(FOLDER / "record.txt", "w", encoding="utf-8")


def now():
    return time.monotonic() - START


def note(text):
    record.write(f"{now():8.3f} {text}\n")
    record.flush()


# --- The platform's store and the servers ----------------------------------------------------------------------------


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0].split(" ")[1], headers, body


def answer(status, body, headers=()):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(address, handle):
    async def connection(reader, writer):
        try:
            while True:
                await handle(await read_request(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    await asyncio.start_server(connection, host, int(port))


def config():
    def route(name, prefix, timeout_s):
        return {
            "name": name, "host": "a.example", "prefix": prefix, "kind": "streaming", "timeout_ms": int(timeout_s * 1000),
            "target_latency_ms": 500, "target_gap_ms": 120, "priority": 1, "service": "s1", "max_attempts": 1,
            "public": True,
        }

    routes = [route("r1", "/note/", NOTE_DEADLINE_S), route("r2", "/draft/", DRAFT_DEADLINE_S)]
    return {"version": 1, "routes": routes, "services": [{"name": "s1", "health_path": "/health", "max_conns": 100}]}


def store_items():
    items = [("op/config", config())]
    for number in range(SERVERS):
        items.append((f"servers/i-{number}", {
            "service": "s1", "address": f"{NET}.{number + 1}:8228", "zone": "zone-1", "version": "v1", "slots": SLOTS,
            "state": "ready", "cold_remaining_ms": 0, "seq": 0, "born": BORN_MS,
        }))
    return [
        {"key": key, "value": b64encode(json.dumps(value).encode()).decode(), "revision": number, "created": number,
         "lease": 0}
        for number, (key, value) in enumerate(items, start=1)
    ]


async def store(request, writer):
    target, _, _ = request
    items = store_items()
    query = {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}
    if "kv-watch" in target:
        await asyncio.sleep(int(query["wait_ms"]) / 1000)
        body = {"events": [], "current_rev": len(items)}
    else:
        entries = [item for item in items if item["key"].startswith(query["prefix"])]
        body = {"entries": entries, "more_pages": False, "current_rev": len(items)}
    writer.write(answer(200, json.dumps(body).encode(), ["Store-Era: 0"]))


runs = {}  # request id -> [(arrival, end of the work or None)]


def server(own_id):
    async def handle(request, writer):
        target, headers, _ = request
        request_id = headers["x-request-id"]
        if headers.get("x-expect-instance", own_id) != own_id:
            writer.write(answer(421, b""))
            return
        run = [now(), None]
        runs.setdefault(request_id, []).append(run)
        fields = [f"X-Request-Id: {request_id}", f"X-Response-Seal: {own_id}"]
        work_s = DRAFT_S if target.startswith("/draft/") else random.Random(request_id).uniform(*NOTE_S)
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "Content-Type: text/event-stream", *fields]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, int(work_s / EVENT_PAUSE_S)):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: t\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        run[1] = now()

    return handle


# --- Entries ---------------------------------------------------------------------------------------------------------


class Entry:
    def __init__(self, number, folder):
        self.number = number
        self.ip = ENTRY_IPS[number]
        self.path = folder / f"front-{number}.json"
        self.path.write_text(json.dumps(self.settings()))
        self.log = open(folder / f"front-{number}.log", "ab")
        self.process = None
        self.terminated = None
        self.ended = None
        self.woken = None

    def settings(self):
        ports = {"front": 8227, "ready": 8220, "control": 8229, "directory": 8224}
        bounds = {
            "contact_ms": int(CONTACT_S * 1000), "drain_ms": 2000, "grace_s": GRACE_S, "config_apply_ms": 2000,
            "retry_ratio": 0.2, "retry_slack": 90, "retry_window_s": 10, "ttl_max_s": 5,
        }
        return {
            "node": f"front-{self.number}", "role": "entry", "machine_class": "front", "ip": self.ip, "zone": "zone-1",
            "region": "r", "listen": {name: f"{self.ip}:{port}" for name, port in ports.items()},
            "internal_port_range": [7340, 7355], "seeds": [f"{ip}:8229" for ip in ENTRY_IPS], "bootstrap": True,
            "heartbeat_ms": 1200, "bounds": bounds, "platform": {"address": STORE, "form": "read"},
        }

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            str(DAEMON), "--platform", "entry", cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"POMELORAMP_CONFIG": str(self.path), "PATH": os.environ.get("PATH", "")},
        )

    async def freeze(self):
        note(f"entry {self.number} stands still (SIGSTOP)")
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        self.process.send_signal(signal.SIGCONT)
        self.woken = now()
        note(f"entry {self.number} goes on (SIGCONT)")

    async def stop_and_start(self):
        """Planned work: SIGTERM, SIGKILL after `grace_s`, and a new start."""
        self.terminated = now()
        note(f"entry {self.number} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
            self.ended = now()
            note(f"entry {self.number} has ended by itself")
        except asyncio.TimeoutError:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.ended = now()
            note(f"entry {self.number} gets SIGKILL, {GRACE_S} s after SIGTERM")
        await asyncio.sleep(RESTART_S)
        await self.start()
        note(f"entry {self.number} starts again")

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGKILL)


# --- Callers ---------------------------------------------------------------------------------------------------------


class Attempt:
    def __init__(self, request_id, address, is_draft):
        self.request_id = request_id
        self.address = address
        self.path = "/draft/1" if is_draft else "/note/1"
        self.deadline_s = DRAFT_DEADLINE_S if is_draft else NOTE_DEADLINE_S
        self.sent = None
        self.ended = None
        self.outcome = None


attempts = []


async def get(address, path):
    reader, writer = await asyncio.open_connection(*address.rsplit(":", 1))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        return json.loads(await reader.read())
    finally:
        writer.close()


async def resolve(generator):
    """Returns the addresses and their lifetime, or None: up to three directories, one second for each."""
    for ip in generator.sample(ENTRY_IPS, len(ENTRY_IPS)):
        try:
            path = "/pomeloramp/resolve?name=a.example&region=r&zone=zone-1"
            found = await asyncio.wait_for(get(f"{ip}:8224", path), 1)
            if found.get("addrs"):
                return found["addrs"], found["ttl_s"]
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
    return None


async def caller(seed, stop):
    """A caller with calls one after another; each call may be tried a second time after a promise."""
    generator = random.Random(seed)
    addresses, until, failed = [], 0, set()
    end = now() + CALLER_LIFE_S
    while now() < end and not stop.is_set():
        if now() >= until:
            found = await resolve(generator)
            if found:
                addresses, until, failed = found[0], now() + found[1] * generator.choice([1, 1, 3]), set()
        usable = [address for address in addresses if address not in failed]
        if not usable:
            # It can't obtain a new response and keeps the one that it has.
            failed.clear()
            await asyncio.sleep(0.1)
            continue
        attempt = Attempt(f"{generator.getrandbits(64):016x}", generator.choice(usable), seed % 3 == 0)
        await send(attempt)
        if attempt.outcome in ("not connected", "not read"):
            failed.add(attempt.address)
        if attempt.outcome != "200":
            await asyncio.sleep(0.1)


async def send(attempt):
    body = b"x" * 100
    lines = [f"POST {attempt.path} HTTP/1.1", "Host: a.example", f"X-Request-Id: {attempt.request_id}",
             f"X-Deadline-Ms: {int(attempt.deadline_s * 1000)}", f"Content-Length: {len(body)}"]
    try:
        connecting = asyncio.open_connection(*attempt.address.rsplit(":", 1))
        reader, writer = await asyncio.wait_for(connecting, 1)
    except (OSError, asyncio.TimeoutError):
        attempt.outcome = "not connected"
        return
    attempts.append(attempt)
    try:
        attempt.sent = now()
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await asyncio.wait_for(read_answer(reader), attempt.deadline_s)
        attempt.outcome = head.decode("latin-1").split(" ")[1]
    except asyncio.TimeoutError:
        attempt.outcome = "late"
    except (OSError, asyncio.IncompleteReadError):
        attempt.outcome = "cut"
    finally:
        attempt.ended = now()
        writer.close()


async def read_answer(reader):
    """Reads a whole answer and returns its head."""
    head = await reader.readuntil(b"\r\n\r\n")
    fields = head.decode("latin-1").lower()
    if "content-length: " in fields:
        await reader.readexactly(int(fields.split("content-length: ")[1].split("\r\n")[0]))
        return head
    while size := int(await reader.readuntil(b"\r\n"), 16):
        await reader.readexactly(size + 2)
    await reader.readexactly(2)
    return head


# --- The rule --------------------------------------------------------------------------------------------------------


def lost(entries):
    """Returns the attempts that break LOST around planned work, with its bounds and excuses."""
    found = []
    for attempt in attempts:
        entry = entries[ENTRY_IPS.index(attempt.address.split(":")[0])]
        if attempt.outcome != "cut" or entry.terminated is None or attempt.sent is None:
            continue
        own = runs.get(attempt.request_id, [])
        passed_on = bool(own)
        in_window = entry.terminated <= attempt.ended <= entry.terminated + GRACE_S + 1
        # "with no unplanned disruption from contact_ms before the request to its end"
        disturbed = entry.woken is not None and attempt.sent < entry.woken + CONTACT_S
        # "the server was still at work in the last sixth of grace_s on a request sent no later than 3 s after SIGTERM"
        sent_early = attempt.sent <= entry.terminated + 3
        deadline_reached = attempt.ended >= attempt.sent + attempt.deadline_s
        if passed_on and in_window and not disturbed and not sent_early and not deadline_reached:
            found.append((attempt, entry, own))
    return found


async def play(folder, daemons):
    await serve(STORE, store)
    for number in range(SERVERS):
        await serve(f"{NET}.{number + 1}:8228", server(f"i-{number}"))
    entries = [Entry(number, folder) for number in range(len(ENTRY_IPS))]
    daemons += entries
    for entry in entries:
        await entry.start()
    await asyncio.sleep(2)
    stop = asyncio.Event()
    callers = []

    async def start_callers():
        number = 0
        while not stop.is_set():
            callers.append(asyncio.create_task(caller(number, stop)))
            number += 1
            await asyncio.sleep(1 / NEW_CALLERS_PER_S)

    starting = asyncio.create_task(start_callers())
    await asyncio.sleep(3)
    first = asyncio.create_task(entries[0].stop_and_start())
    await asyncio.sleep(ROLL_GAP_S - 0.1)
    freezing = asyncio.create_task(entries[1].freeze()) if TROUBLE else None
    await asyncio.sleep(0.1)
    second = asyncio.create_task(entries[1].stop_and_start())
    await asyncio.gather(first, second)
    if freezing:
        await freezing
    await asyncio.sleep(4)
    stop.set()
    await starting
    await asyncio.gather(*callers)
    outcomes = {}
    for attempt in attempts:
        run = runs.get(attempt.request_id, [])
        outcomes[attempt.outcome] = outcomes.get(attempt.outcome, 0) + 1
        note(f"{attempt.request_id} {attempt.path} to {attempt.address.split('.')[-1]} sent "
             f"{attempt.sent or 0:.3f} ended {attempt.ended:.3f}: {attempt.outcome}; runs {[[round(t, 3) if t else None for t in r] for r in run]}")
    note(f"attempts: {outcomes}")
    broken = lost(entries)
    for attempt, entry, own in broken:
        note(f"LOST broken: {attempt.request_id}, sent {attempt.sent - entry.terminated:.2f} s after SIGTERM of entry "
             f"{entry.number}, was passed on and cut {attempt.ended - entry.terminated:.2f} s after it")
    if broken:
        return 1
    return 0 if outcomes.get("200", 0) >= 20 else 2


async def main():
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    with tempfile.TemporaryDirectory() as folder:
        daemons = []
        try:
            return await play(Path(folder), daemons)
        finally:
            # Nothing may start a process once those that run are being ended.
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            for daemon in daemons:
                daemon.kill()
            for daemon in daemons:
                if daemon.process:
                    await daemon.process.wait()


if __name__ == "__main__":
    code = 2
    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        note(f"the case could not run: {error!r}")
    note(f"exit {code}")
    sys.exit(code)
