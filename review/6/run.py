"""MAP: orders to engines over kept connections take an extra late answer for their own.

Eight model servers in one group, an agent beside each, two entries and clients that stream through them. The
servers hand out extra late answers and leave orders unanswered that they carry out late, both at the doses of
the site file. The group itself checks before each pass that all ranks have the same map.
"""

import asyncio
import json
import pathlib
import random
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))
import fleet2 as f  # noqa: E402

# The group of rcc-pomelo.
RANKS, SETS, EXPERTS, PLACEMENTS, SPARE, SLOTS = 16, 4, 64, 5, 2, 12
SERVICE = "draft-writer"
PLAY_S = 90.0
PASS_S = 0.036
EXPERT_SHARE = 0.85
EXPERT_MB, LINK_MBPS = 2500.0, 180000.0
COPY_S = EXPERT_MB * 8 / LINK_MBPS
SHIFT_S = 3.2
# Doses and lengths of the troubles "garble" (how "extra late") and "applied_late" of rcc-pomelo. Both come again
# and again, as BENCH.md and NEWS.md allow, with a pause between.
EXTRA_SERVERS, EXTRA_SHARE, EXTRA_S = 0.6, 0.03, 5.0
LATE_SHARE, LATE_S, LATE_FROM_S, LATE_TO_S = 0.35, 5.5, 2.0, 12.0
PAUSE_S = 0.5
CLIENTS, EVENTS = 10, 24
EPOCH = 1


def config():
    route = {
        "name": "r-draft", "host": "a.example", "prefix": "/draft/", "kind": "streaming", "timeout_ms": 8000,
        "target_latency_ms": 500, "priority": 1, "service": SERVICE, "max_attempts": 2, "public": False,
        "sticky": True, "resumable": True, "target_gap_ms": 120,
    }
    engine = {
        "slots": SLOTS, "kv_capacity": 280000, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905,
        "read_per_s": 61400.0, "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 97}, "sets": SETS,
        "experts": EXPERTS, "placements": PLACEMENTS, "spare": SPARE, "expert_mb": EXPERT_MB, "link_mbps": LINK_MBPS,
        "expert_share": EXPERT_SHARE, "form_ms": 600.0,
    }
    return {
        "version": 7, "routes": [route],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 348, "engine": engine}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": ["key-1"], "priority": 1}],
    }


class Rank:
    """One model server of the group, by the page PROTOCOL.md."""

    def __init__(self, group, number):
        self.group, self.number = group, number
        self.map = {"version": 0, "experts": [[[e for e in range(EXPERTS) if e % RANKS == r] for r in range(RANKS)]
                                              for _ in range(SETS)]}
        self.prepared = None  # (map, complete at)
        self.armed = None  # (version, step)
        self.held = None
        self.highest_version = self.highest_fence = self.seq = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.streams = []
        self.is_garbling = False

    def copied(self):
        if self.prepared and time.monotonic() >= self.prepared[1]:
            return self.prepared[0]["version"]
        return None

    def report(self):
        armed = {"version": self.armed[0], "step": self.armed[1]} if self.armed else None
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": self.seq,
            "queued": max(0, len(self.streams) - SLOTS), "running": min(SLOTS, len(self.streams)), "kv_used": 0,
            "kv_total": 280000, "handles": 0, "pace": 1.0, "born": self.group.born, "size": RANKS,
            "group": {"name": "g-1", "epoch": EPOCH, "rank": self.number, "state": "open"},
            "step": self.group.step, "map": self.map["version"], "prepared": self.copied(), "armed": armed,
            "held": self.held,
        }

    def order(self, order):
        fence = order.get("fence")
        if fence is not None:
            if fence < self.highest_fence:
                return 412
            self.highest_fence = fence
        if order.get("epoch", EPOCH) != EPOCH or order.get("expect", self.seq) != self.seq:
            return 409
        operation = {"prepare": self.prepare, "arm": self.arm, "disarm": self.disarm, "hold": self.hold,
                     "go": self.go}.get(order.get("op"))
        status = operation(order) if operation else 400
        self.seq += status == 202
        return status

    def prepare(self, order):
        version, experts = order["version"], order["map"]
        own = [set(experts[s][self.number]) for s in range(SETS)]
        new = [len(own[s] - set(self.map["experts"][s][self.number])) for s in range(SETS)]
        if version <= self.highest_version or self.armed or max(new) > SPARE:
            return 409
        self.highest_version = version
        self.prepared = ({"version": version, "experts": experts}, time.monotonic() + COPY_S * sum(new))
        return 202

    def arm(self, order):
        wanted = (order["version"], order["step"])
        if self.armed == wanted:
            return 200
        if self.copied() != order["version"] or order["step"] <= self.group.step:
            return 409
        self.armed = wanted
        return 202

    def disarm(self, order):
        if self.map["version"] == order["version"]:
            return 409
        if self.armed and self.armed[0] == order["version"]:
            self.armed = None
            return 202
        return 200

    def hold(self, order):
        if self.held == order["step"]:
            return 200
        if self.held is not None or order["step"] <= self.group.step:
            return 409
        self.held = order["step"]
        return 202

    def go(self, order):
        if self.held == order["step"]:
            self.held = None
            return 202
        return 409 if self.held is not None else 200

    def begin_pass(self, step):
        if self.armed and self.armed[1] <= step:
            self.map, self.prepared, self.armed = self.prepared[0], None, None

    async def serve(self, reader, writer):
        extra = None
        while True:
            request = await f.read_request(reader)
            if extra:
                # An extra response may arrive late, at the point where the next response is expected.
                writer.write(extra)
                self.group.extras += 1
                self.group.log(f"rank {self.number}: extra late answer before that to {request.method} {request.path}")
                extra = None
            if request.path.startswith("/draft/"):
                await self.stream(request, writer)
                return
            answer = await self.answer(request)
            if answer is None:
                await writer.drain()
                await reader.read()
                return
            writer.write(answer)
            await writer.drain()
            if self.is_garbling and random.random() < EXTRA_SHARE:
                extra = answer

    async def answer(self, request):
        echo = [("X-Request-Id", request.headers["x-request-id"])] if "x-request-id" in request.headers else []
        if request.path == "/pomeloramp/report":
            return f.json_answer(200, self.report(), echo)
        if request.path == "/pomeloramp/picked":
            if "lists" in request.query:
                lists = {"version": self.map["version"], "experts": [s[self.number] for s in self.map["experts"]]}
                return f.json_answer(200, {"map": lists, "prepared": None}, echo)
            return f.json_answer(200, {"step": self.group.step, "epoch": EPOCH, "counts": self.counts}, echo)
        if request.path == "/pomeloramp/order":
            order = json.loads(request.body)
            short = {name: value for name, value in order.items() if name != "map"}
            if self.group.orders_are_late and random.random() < LATE_SHARE:
                delay = random.uniform(LATE_FROM_S, LATE_TO_S)
                self.group.log(f"rank {self.number}: order {short} gets no answer, is carried out in {delay:.1f} s")
                asyncio.get_running_loop().call_later(delay, self.carry_out_late, order, short)
                return None
            status = self.order(order)
            self.group.log(f"rank {self.number}: order {short} answered {status}, last pass {self.group.step}")
            return f.json_answer(status, {}, echo)
        if request.path == "/health":
            return f.json_answer(200, {}, echo)
        return f.json_answer(404, {}, echo)

    def carry_out_late(self, order, short):
        status = self.order(order)
        self.group.log(f"rank {self.number}: late order {short} carried out: {status}, last pass {self.group.step}")

    async def stream(self, request, writer):
        if request.headers.get("x-expect-instance") != f"i-m{self.number}":
            writer.write(f.answer_bytes(421))
            return
        if len(self.streams) >= SLOTS + 6:
            writer.write(f.answer_bytes(503, b"", [("X-Not-Executed", "1")]))
            return
        head = ["HTTP/1.1 200 OK", f"X-Request-Id: {request.headers.get('x-request-id')}", "X-Response-Seal: s",
                "X-Weight-Versions: 1", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        events = asyncio.Queue()
        self.streams.append(events)
        end = time.monotonic() + int(request.headers.get("x-deadline-ms", 8000)) / 1000
        try:
            number = int(request.headers.get("last-event-id", 0))
            while number < EVENTS:
                await asyncio.wait_for(events.get(), max(0.001, end - time.monotonic()))
                number += 1
                event = f"id: {number}\ndata: e{number}\n\n".encode()
                if head:
                    writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
                    head = None
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        except asyncio.TimeoutError:
            if head:
                writer.write(f.answer_bytes(504))
        finally:
            self.streams.remove(events)


class Group:
    def __init__(self, record):
        self.record, self.step, self.born = record, 0, int(time.time() * 1000)
        self.ranks = [Rank(self, number) for number in range(RANKS)]
        self.weights, self.mixed, self.switches, self.extras = [], [], 0, 0
        self.orders_are_late = False
        self.shift()

    def log(self, text):
        self.record.line(text)

    def shift(self):
        ranks = [random.randrange(RANKS) for _ in range(SETS)]
        self.skews = {}
        self.weights = [[8 if e % RANKS == ranks[s] else 1 for e in range(EXPERTS)] for s in range(SETS)]

    def skew(self):
        """Returns the work of the most loaded rank as a multiple of the mean."""
        version = self.ranks[0].map["version"]
        if version not in self.skews:
            self.skews[version] = self.new_skew()
        return self.skews[version]

    def new_skew(self):
        total = 0.0
        for number, weights in enumerate(self.weights):
            experts = self.ranks[0].map["experts"][number]
            holders = [sum(e in own for own in experts) for e in range(EXPERTS)]
            loads = [sum(weights[e] / holders[e] for e in own) for own in experts]
            total += max(loads) / (sum(weights) / RANKS)
        return total / SETS

    async def shift_demand(self):
        while True:
            await asyncio.sleep(SHIFT_S)
            self.shift()

    async def trouble(self):
        while True:
            garbling = random.sample(self.ranks, int(EXTRA_SERVERS * RANKS))
            for rank in garbling:
                rank.is_garbling = True
            self.orders_are_late = True
            self.log(f"for {LATE_S} s orders are carried out late; for {EXTRA_S} s the servers of ranks "
                     f"{sorted(rank.number for rank in garbling)} give extra answers")
            await asyncio.sleep(EXTRA_S)
            for rank in garbling:
                rank.is_garbling = False
            await asyncio.sleep(LATE_S - EXTRA_S)
            self.orders_are_late = False
            await asyncio.sleep(PAUSE_S)

    async def run(self):
        while True:
            step = self.step + 1
            is_idle = not any(rank.streams for rank in self.ranks)
            if is_idle or any(rank.held == step for rank in self.ranks):
                await asyncio.sleep(0.002)
                continue
            before = self.ranks[0].map["version"]
            self.step = step
            for rank in self.ranks:
                rank.begin_pass(step)
            versions = [rank.map["version"] for rank in self.ranks]
            self.switches += versions[0] != before
            if any(rank.map != self.ranks[0].map for rank in self.ranks):
                if not self.mixed:
                    self.record.say(f"MAP broken: pass {step} begins with maps {[hex(v) for v in versions]}")
                self.mixed.append(step)
            for rank in self.ranks:
                active = rank.streams[:SLOTS]
                for events in active:
                    events.put_nowait(None)
                for number, weights in enumerate(self.weights):
                    for expert, weight in enumerate(weights):
                        rank.counts[number * EXPERTS + expert] += 4 * weight * len(active)
            await asyncio.sleep(PASS_S * (1 - EXPERT_SHARE + EXPERT_SHARE * self.skew()))


async def client(fleet, entries, name, counts):
    number = 0
    while True:
        number += 1
        request_id = f"{name}-{number}"
        entry = random.choice(entries)
        answer = await f.call(entry.ip, f.FRONT, "POST", f"/draft/{request_id}", {
            "Host": "a.example", "X-Request-Id": request_id, "X-Model": "m", "X-Token-Usage": "700,96",
            "X-Prefix-Hash": f"c{number % 9}:40,{random.getrandbits(32):x}:660", "X-Deadline-Ms": "8000",
            "Authorization": "Bearer key-1"}, b"prompt", timeout=9)
        counts[answer.status] = counts.get(answer.status, 0) + 1
        fleet.record.line(f"client: {request_id} at {entry.node}: {answer.status}, whole {answer.is_whole}, "
                          f"{answer.body.count(b'id: ')} events")
        await asyncio.sleep(0.05)


async def main(fleet):
    await fleet.start_store()
    await fleet.store.put("op/config", config())
    group = Group(fleet.record)
    hosts = [20 + number for number in range(RANKS)]
    for rank, host in zip(group.ranks, hosts):
        await f.Listener(fleet.ip(host), f.SERVER, rank.serve).start()
        await fleet.store.put(f"servers/i-m{rank.number}", {
            "service": SERVICE, "address": f"{fleet.ip(host)}:{f.SERVER}", "zone": "zone-1", "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": group.born, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}], "size": RANKS})
    entries = [fleet.entry(host, [1, 2]) for host in (1, 2)]
    agents = [fleet.agent(host, SERVICE, [1, 2]) for host in hosts]
    for daemon in entries + agents:
        daemon.start()
    await fleet.wait_until_ready(entries)
    counts = {}
    tasks = [asyncio.create_task(group.run()), asyncio.create_task(group.shift_demand())]
    tasks += [asyncio.create_task(client(fleet, entries, f"c{number}", counts)) for number in range(CLIENTS)]
    await asyncio.sleep(4)
    calm_switches = group.switches
    if f.TROUBLE:
        tasks.append(asyncio.create_task(group.trouble()))
    end = time.monotonic() + PLAY_S
    while time.monotonic() < end and not group.mixed:
        await asyncio.sleep(0.1)
    if group.mixed:
        await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    fleet.record.say(f"{fleet.record.now():.1f} s, {group.step} passes, {group.switches} changes of map ({calm_switches} "
                     f"before the trouble), {group.extras} extra answers, answers to clients {counts}, "
                     f"{len(group.mixed)} passes with two maps")
    if calm_switches == 0 and group.switches == 0:
        raise f.CaseFailed("the group never changed its map")
    return bool(group.mixed)


f.run_case(CASE, main)
