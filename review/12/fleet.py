"""Stand-ins for the platform's store, a group of two model servers, and callers, around real agents and an entry.

The group follows PROTOCOL.md: it begins a pass when no rank holds it, a rank switches to an armed map as its step
begins, orders carry `fence` and `epoch`, and an order without an answer is carried out seconds later.
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

RANKS = 2
SETS = 2
EXPERTS = 16
PLACEMENTS = 9
SPARE = 3
IN_DEMAND = 5
SLOTS = 12
EPOCH = 1
PASS_S = 0.036
COPY_S = 0.015
EVENTS = 24
CALLERS = 16
# applied_late: "carried out 2 to 12 s later"
MIN_LATE_S = 2.0
MAX_LATE_S = 12.0
# "A process that exits or is killed is restarted after a short delay."
RESTART_S = 1.6
LENGTH_S = 105.0
CALM_LENGTH_S = 25.0
SHIFT_S = 5.0

PROCESS = os.getpid()
NET = f"127.{1 + PROCESS // 250 % 250}.{1 + PROCESS % 250}"
START = time.monotonic()
BORN_MS = int(time.time() * 1000)
record = open(FOLDER / "record.txt", "w", encoding="utf-8")


def note(text):
    record.write(f"{time.monotonic() - START:8.3f} {text}\n")
    record.flush()


def server_ip(rank):
    return f"{NET}.{rank + 1}"


ENTRY_IP = f"{NET}.100"
STORE = f"{NET}.200:8223"


# --- HTTP -----------------------------------------------------------------------------------------------------------


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def answer(status, body, headers=()):
    body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} x", "Content-Type: application/json", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(ip, port, handle):
    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if not await handle(request, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    await asyncio.start_server(connection, ip, port)


# --- The platform's store -------------------------------------------------------------------------------------------


def config():
    route = {
        "name": "r1", "host": "a.example", "prefix": "/draft/", "kind": "streaming", "resumable": True,
        "timeout_ms": 8000, "target_latency_ms": 500, "target_gap_ms": 120, "priority": 1, "service": "s1",
        "max_attempts": 2, "public": True, "sticky": True,
    }
    engine = {
        "slots": SLOTS, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "read_per_s": 61400.0,
        "usual": {"prompt": 700.0, "answer": 96.0}, "sets": SETS, "experts": EXPERTS, "placements": PLACEMENTS,
        "spare": SPARE, "expert_mb": 10.0, "link_mbps": 8000.0, "expert_share": 0.85,
    }
    service = {"name": "s1", "health_path": "/health", "max_conns": 348, "engine": engine}
    return {"version": 1, "routes": [route], "services": [service]}


def server_item(rank):
    return {
        "service": "s1", "address": f"{server_ip(rank)}:8228", "zone": "zone-1", "version": "v1", "slots": SLOTS,
        "state": "ready", "cold_remaining_ms": 0, "seq": 0, "born": BORN_MS,
    }


def store_items():
    items = [("op/config", config())]
    items += [(f"servers/i-m{rank}", server_item(rank)) for rank in range(RANKS)]
    return [
        {"key": key, "value": b64encode(json.dumps(value).encode()).decode(), "revision": number, "created": number,
         "lease": 0}
        for number, (key, value) in enumerate(items, start=1)
    ]


async def store(request, writer):
    _, target, _, _ = request
    items = store_items()
    query = {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}
    prefix = query.get("prefix", "")
    if target.startswith("/pomeloramp/kv-range"):
        entries = [item for item in items if item["key"].startswith(prefix)]
        body = {"entries": entries, "more_pages": False, "current_rev": len(items)}
    elif target.startswith("/pomeloramp/kv-watch"):
        await asyncio.sleep(int(query["wait_ms"]) / 1000)
        body = {"events": [], "current_rev": len(items)}
    else:
        body = {}
    writer.write(answer(200, body, [("Store-Era", 0)]))
    await writer.drain()
    return True


# --- The group of model servers -------------------------------------------------------------------------------------


def first_map():
    rank_lists = [[e for e in range(EXPERTS) if e % RANKS == rank] for rank in range(RANKS)]
    return [rank_lists for _ in range(SETS)]


class Rank:
    def __init__(self, number):
        self.number = number
        self.version = 0
        self.map = first_map()
        self.copied = None  # (version, map, time at which the copy is complete)
        self.armed = None  # (version, step)
        self.held = None
        self.highest_version = 0
        self.highest_fence = 0
        self.seq = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.streams = []

    def prepared(self):
        if self.copied and self.copied[2] <= time.monotonic():
            return self.copied[0]
        return None

    def carry_out(self, order, step):
        """Carries out an order now and returns its status."""
        fence = order.get("fence")
        if fence is not None and fence < self.highest_fence:
            return 412
        self.highest_fence = max(self.highest_fence, fence or 0)
        if order.get("epoch", EPOCH) != EPOCH or order.get("expect", self.seq) != self.seq:
            return 409
        status = getattr(self, order["op"])(order, step)
        self.seq += status == 202
        return status

    def prepare(self, order, _step):
        own = [sets[self.number] for sets in order["map"]]
        new = [set(own[s]) - set(self.map[s][self.number]) for s in range(SETS)]
        if order["version"] <= self.highest_version or self.armed or max(map(len, new)) > SPARE:
            return 409
        self.highest_version = order["version"]
        self.copied = (order["version"], order["map"], time.monotonic() + COPY_S * sum(map(len, new)))
        return 202

    def arm(self, order, step):
        wanted = (order["version"], order["step"])
        if self.armed == wanted:
            return 200
        if self.prepared() != order["version"] or order["step"] <= step:
            return 409
        self.armed = wanted
        return 202

    def disarm(self, order, _step):
        if self.version == order["version"]:
            return 409
        if self.armed and self.armed[0] == order["version"]:
            self.armed = None
            return 202
        return 200

    def hold(self, order, step):
        if self.held == order["step"]:
            return 200
        if self.held is not None or order["step"] <= step:
            return 409
        self.held = order["step"]
        return 202

    def go(self, order, _step):
        if self.held is None:
            return 200
        if self.held != order["step"]:
            return 409
        self.held = None
        return 202

    def begin_pass(self, step):
        if self.armed and self.armed[1] <= step:
            self.version, self.map, _ = self.copied
            self.armed = self.copied = None


class Group:
    def __init__(self):
        self.ranks = [Rank(number) for number in range(RANKS)]
        self.step = 0
        self.switches = 0
        self.mixed = []
        self.random = random.Random(1)
        self.hot = [set(range(0, EXPERTS, RANKS)) for _ in range(SETS)]

    def shift_demand(self):
        """Puts experts of one rank in demand, in each set."""
        for number in range(SETS):
            of_rank = self.ranks[0].map[number][self.random.randrange(RANKS)]
            self.hot[number] = set(self.random.sample(of_rank, IN_DEMAND))
        note(f"other experts are in demand: {[sorted(hot) for hot in self.hot]}")

    async def run(self):
        while True:
            working = any(rank.streams for rank in self.ranks)
            is_held = any(rank.held == self.step + 1 for rank in self.ranks)
            if not working or is_held:
                await asyncio.sleep(0.002)
                continue
            self.begin_pass()
            await asyncio.sleep(PASS_S)

    def begin_pass(self):
        self.step += 1
        before = [rank.version for rank in self.ranks]
        for rank in self.ranks:
            rank.begin_pass(self.step)
        after = [rank.version for rank in self.ranks]
        if after != before:
            self.switches += 1
            note(f"pass {self.step} begins; maps of the ranks: {[hex(v) for v in after]}")
        if any(rank.version != after[0] or rank.map != self.ranks[0].map for rank in self.ranks):
            self.mixed.append(self.step)
            if len(self.mixed) <= 3:
                note(f"MAP broken: pass {self.step} begins, maps of the ranks: {[hex(v) for v in after]}")
        for rank in self.ranks:
            for stream in rank.streams[:SLOTS]:
                stream.put_nowait(self.step)
                for place in range(SETS * EXPERTS):
                    in_demand = place % EXPERTS in self.hot[place // EXPERTS]
                    rank.counts[place] += 32 if in_demand else 4


class ModelServer:
    def __init__(self, group, rank, trouble):
        self.group = group
        self.rank = rank
        self.trouble = trouble

    def report(self):
        rank = self.rank
        armed = rank.armed and {"version": rank.armed[0], "step": rank.armed[1]}
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": rank.seq,
            "queued": 0, "running": len(rank.streams), "kv_used": 0, "kv_total": 280000, "handles": 0,
            "born": BORN_MS, "pace": 1.0, "size": RANKS, "step": self.group.step, "map": rank.version,
            "prepared": rank.prepared(), "armed": armed, "held": rank.held,
            "group": {"name": "g-1", "epoch": EPOCH, "rank": rank.number, "state": "open"},
        }

    async def handle(self, request, writer):
        _, target, headers, body = request
        path = urlsplit(target).path
        if path == "/pomeloramp/report":
            writer.write(answer(200, self.report()))
        elif path == "/pomeloramp/picked" and "lists" in target:
            lists = {"version": self.rank.version, "experts": [s[self.rank.number] for s in self.rank.map]}
            writer.write(answer(200, {"map": lists, "prepared": None}))
        elif path == "/pomeloramp/picked":
            picked = {"step": self.group.step, "epoch": EPOCH, "counts": self.rank.counts}
            writer.write(answer(200, picked))
        elif path == "/pomeloramp/order":
            status = self.trouble.order(self.rank, json.loads(body))
            if status is None:
                await asyncio.sleep(MAX_LATE_S)  # no answer
                return False
            writer.write(answer(status, {}))
        elif path == "/health":
            writer.write(answer(200, {}, [("X-Instance-Id", f"i-m{self.rank.number}")]))
        else:
            return await self.stream(headers, writer)
        await writer.drain()
        return True

    async def stream(self, headers, writer):
        own_id = f"i-m{self.rank.number}"
        if headers.get("x-expect-instance", own_id) != own_id:
            writer.write(answer(421, {}))
            return True
        request_id = headers.get("x-request-id", "")
        passes = asyncio.Queue()
        self.rank.streams.append(passes)
        try:
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                     f"X-Request-Id: {request_id}", f"X-Response-Seal: {own_id}", "X-Weight-Versions: 1"]
            head = ("\r\n".join(lines) + "\r\n\r\n").encode()
            first = int(headers.get("last-event-id", 0)) + 1
            for number in range(first, EVENTS + 1):
                await passes.get()
                event = f"id: {number}\ndata: t\n\n".encode()
                writer.write(head + f"{len(event):x}\r\n".encode() + event + b"\r\n")
                head = b""
                await writer.drain()
            writer.write(head + b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.rank.streams.remove(passes)
        return True


# --- The disruption: orders without an answer, and agents that are killed at the same moment ------------------------


class Trouble:
    """Decides which orders get no answer, when they are carried out, and when the agents are killed.

    One round: the first prepares of a plan get no answer, and both agents are killed and start again. If the next
    planner numbers its map below that plan, then one `arm` for its map gets no answer, and the late prepare of the same
    rank is carried out.
    """

    def __init__(self, group):
        self.group = group
        self.agents = []
        self.phase = "calm"
        self.late = []  # [rank, order, time of receipt]
        self.first_version = None
        self.orders = 0
        self.unanswered = 0

    def begin_round(self):
        if TROUBLE and self.phase == "calm":
            self.phase = "waiting for a plan"
            self.first_version = None

    def order(self, rank, order):
        self.orders += 1
        is_late = TROUBLE and self.is_late(rank, order)
        text = f"rank {rank.number} gets {self.text(order)}"
        if is_late:
            self.unanswered += 1
            self.late.append([rank, order, time.monotonic()])
            note(f"{text}: no answer, to be carried out later")
            return None
        status = rank.carry_out(order, self.group.step)
        note(f"{text}: {status}")
        return status

    @staticmethod
    def text(order):
        version = f" {order['version']:#x}" if "version" in order else ""
        step = f" step {order['step']}" if "step" in order else ""
        return f"{order['op']}{version}{step} fence {order.get('fence', 0):#x}"

    def is_late(self, rank, order):
        operation = order["op"]
        if operation == "prepare" and self.phase == "waiting for a plan":
            self.first_version = order["version"]
            self.phase = "killing"
            asyncio.get_running_loop().create_task(self.kill_agents())
            return True
        if operation == "prepare" and self.phase == "killing":
            return order["version"] == self.first_version
        if operation == "prepare" and self.phase == "restarted" and order["version"] != self.first_version:
            is_lower = order["version"] < self.first_version
            note(f"the new plan has a {'lower' if is_lower else 'higher'} number than the one before the kill")
            self.phase = "next plan" if is_lower else "ending"
            return False
        if operation == "arm" and self.phase == "next plan" and order["version"] < self.first_version:
            late = [entry for entry in self.late if entry[0] is rank and entry[1]["op"] == "prepare"]
            if late and MIN_LATE_S <= time.monotonic() - late[0][2] <= MAX_LATE_S:
                self.phase = "ending"
                asyncio.get_running_loop().call_later(0.01, self.carry_out_late, late[0])
                return True
        return False

    def carry_out_late(self, entry):
        if entry in self.late:
            self.late.remove(entry)
            rank, order, received = entry
            status = rank.carry_out(order, self.group.step)
            age = time.monotonic() - received
            note(f"rank {rank.number} carries out {self.text(order)} {age:.2f} s late: {status}")

    async def kill_agents(self):
        await asyncio.sleep(0.05)
        note("both agents are killed")
        for agent in self.agents:
            agent.kill()
        await asyncio.sleep(RESTART_S)
        for agent in self.agents:
            await agent.start()
        self.phase = "restarted"
        note("both agents start again")

    async def run(self):
        """Carries out late orders whose time is over, and ends rounds."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            limit = MIN_LATE_S if self.phase in ("calm", "ending") else MAX_LATE_S - 1
            for entry in [entry for entry in self.late if now - entry[2] >= limit]:
                self.carry_out_late(entry)
            if self.phase == "ending" and not self.late:
                self.phase = "calm"
            if self.phase in ("restarted", "next plan") and not self.late:
                self.phase = "calm"


# --- Processes ------------------------------------------------------------------------------------------------------


class Daemon:
    def __init__(self, role, settings, folder):
        self.role = role
        self.path = folder / f"{settings['node']}.json"
        self.path.write_text(json.dumps(settings))
        self.log = open(folder / f"{settings['node']}.log", "ab")
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            str(DAEMON), "--platform", self.role, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"POMELORAMP_CONFIG": str(self.path), "PATH": os.environ.get("PATH", "")},
        )

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)


def settings(node, ip, **fields):
    bounds = {
        "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_ratio": 0.2,
        "retry_slack": 90, "retry_window_s": 10, "fence_required": True, "ttl_max_s": 5,
    }
    return {
        "node": node, "ip": ip, "zone": "zone-1", "region": "r", "internal_port_range": [7340, 7355],
        "seeds": [f"{ENTRY_IP}:8229"], "bootstrap": True, "heartbeat_ms": 1200, "bounds": bounds,
        "platform": {"address": STORE, "form": "read"}, **fields,
    }


def entry_settings():
    ports = {"front": 8227, "ready": 8220, "control": 8229, "directory": 8224}
    listen = {name: f"{ENTRY_IP}:{port}" for name, port in ports.items()}
    return settings("front-1", ENTRY_IP, role="entry", machine_class="front", listen=listen)


def agent_settings(rank):
    ip = server_ip(rank)
    return settings(f"side-{rank}", ip, role="agent", machine_class="side", listen={}, app=f"{ip}:8228", service="s1")


# --- Callers --------------------------------------------------------------------------------------------------------


class Callers:
    def __init__(self):
        self.outcomes = {}

    async def run(self, number):
        generator = random.Random(number)
        while True:
            request_id = f"{generator.getrandbits(64):016x}"
            try:
                outcome = await asyncio.wait_for(self.call(request_id), 9)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                outcome = type(error).__name__
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            if outcome != "complete":
                await asyncio.sleep(0.3)

    @staticmethod
    async def call(request_id):
        reader, writer = await asyncio.open_connection(ENTRY_IP, 8227)
        try:
            lines = ["POST /draft/x HTTP/1.1", "Host: a.example", f"X-Request-Id: {request_id}", "X-Model: m",
                     "X-Token-Usage: 700,96", "X-Deadline-Ms: 8000", "Content-Length: 2"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n{}").encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = head.split(" ")[1]
            if status != "200":
                return f"status {status}"
            body = await reader.readuntil(b"0\r\n\r\n")
            return "complete" if body.count(b"id: ") == EVENTS else "incomplete"
        finally:
            writer.close()


# --- The run --------------------------------------------------------------------------------------------------------


async def main():
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    with tempfile.TemporaryDirectory() as folder:
        group = Group()
        trouble = Trouble(group)
        daemons = []
        try:
            return await play(Path(folder), group, trouble, daemons)
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


async def play(folder, group, trouble, daemons):
    loop = asyncio.get_running_loop()
    await serve(*STORE.rsplit(":", 1), store)
    for rank in group.ranks:
        await serve(server_ip(rank.number), 8228, ModelServer(group, rank, trouble).handle)
    entry = Daemon("entry", entry_settings(), folder)
    agents = [Daemon("endpoint", agent_settings(rank), folder) for rank in range(RANKS)]
    daemons += [entry, *agents]
    trouble.agents = agents
    for daemon in daemons:
        await daemon.start()
    await asyncio.sleep(2)
    callers = Callers()
    tasks = [loop.create_task(callers.run(number)) for number in range(CALLERS)]
    tasks += [loop.create_task(group.run()), loop.create_task(trouble.run())]
    end = time.monotonic() + (LENGTH_S if TROUBLE else CALM_LENGTH_S)
    next_shift = time.monotonic() + SHIFT_S
    while time.monotonic() < end and not group.mixed:
        await asyncio.sleep(0.1)
        if time.monotonic() >= next_shift and trouble.phase == "calm":
            next_shift = time.monotonic() + SHIFT_S
            trouble.begin_round()
            group.shift_demand()
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    note(f"callers: {callers.outcomes}")
    note(f"orders: {trouble.orders}, without an answer: {trouble.unanswered}")
    note(f"passes: {group.step}, changes of map: {group.switches}, mixed passes: {len(group.mixed)}")
    if group.mixed:
        return 1
    if group.switches < 2 or callers.outcomes.get("complete", 0) < 20:
        note("the run is no test: too few changes of map or calls")
        return 2
    return 0


if __name__ == "__main__":
    code = 2
    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        note(f"the case could not run: {error!r}")
    note(f"exit {code}")
    sys.exit(code)
