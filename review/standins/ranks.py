"""Stand-in for the model servers of one rank group, which begin each pass together.

It follows PROTOCOL.md: report, picked, and the orders prepare, arm, disarm, hold and go, with epochs and
fencing numbers. Two kinds of trouble can be switched on: orders that get no answer and are carried out
late, and second answers that arrive where the next answer is expected.
"""

import asyncio
import json
import random
import time

from . import http1

PASS_S = 0.04
COPY_S = 0.06
CHOICES_PER_PASS = 40
LATE_S = (2.0, 12.0)


class Trouble:
    """Shares of orders and answers that are in trouble; all zero for none."""

    def __init__(self, late_orders=0.0, second_answers=0.0, seed=0):
        self.late_orders = late_orders
        self.second_answers = second_answers
        self.second_answer_ranks = set()
        self.random = random.Random(seed)

    def is_late(self):
        return self.random.random() < self.late_orders

    def has_second_answer(self, rank):
        return rank in self.second_answer_ranks and self.random.random() < self.second_answers


class Rank:
    def __init__(self, group, number):
        self.group = group
        self.number = number
        self.address = None
        self.born = int(time.time() * 1000)
        self.version = 0
        self.highest_version = 0
        self.experts = [[e for e in range(group.experts) if e % group.size == number] for _ in range(group.sets)]
        self.prepared = None
        self.copying = None
        self.armed = None
        self.held = None
        self.fence = 0
        self.seq = 0
        self.counts = [0] * (group.sets * group.experts)

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        second_answer = None
        try:
            while (request := await http1.read_request(reader)) is not None:
                if second_answer is not None:
                    self.group.note(f"rank {self.number}: second answer of {second_answer[0]} sent where the "
                                    f"answer of {request.method} {request.target} {short(request)} is expected")
                    writer.write(second_answer[1])
                    await writer.drain()
                    second_answer = None
                answer = self.answer(request)
                if answer is None:
                    # The order gets no answer; the caller closes the connection when it gives up.
                    continue
                writer.write(answer)
                await writer.drain()
                if self.group.trouble.has_second_answer(self.number):
                    second_answer = (f"{request.method} {request.target}", answer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, request):
        # Servers echo the id of a request, so that a second answer can be told from the one expected.
        request_id = request.header("x-request-id")
        echo = [("X-Request-Id", request_id)] if request_id else []
        if request.path == "/pomeloramp/report":
            return http1.json_bytes(200, self.report(), echo)
        if request.path == "/pomeloramp/picked":
            document = {"step": self.group.step, "epoch": self.group.epoch}
            if "lists" in request.query:
                document["map"] = {"version": self.version, "experts": self.experts}
                document["prepared"] = self.prepared and {"version": self.prepared[0], "experts": self.prepared[1]}
            else:
                document["counts"] = self.counts
            return http1.json_bytes(200, document, echo)
        if request.path == "/pomeloramp/order" and request.method == "POST":
            order = json.loads(request.body)
            if self.group.trouble.is_late():
                asyncio.get_running_loop().create_task(self.carry_out_late(order))
                return None
            status = self.order(order)
            self.group.note(f"rank {self.number}: {short(request)} answered {status}")
            return http1.json_bytes(status, {}, echo)
        return http1.json_bytes(404, {}, echo)

    async def carry_out_late(self, order):
        delay_s = self.group.trouble.random.uniform(*LATE_S)
        text = {key: value for key, value in order.items() if key != "map"}
        self.group.note(f"rank {self.number}: {text} not answered, carried out {delay_s:.1f} s later")
        await asyncio.sleep(delay_s)
        status = self.order(order)
        self.group.note(f"rank {self.number}: {text} carried out late, result {status}")

    def report(self):
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": self.copying is not None, "seq": self.seq, "queued": 0, "running": 1, "kv_used": 1000,
                "kv_total": 280000, "handles": 0, "born": self.born, "pace": 1.0, "size": self.group.size,
                "group": {"name": "g", "epoch": self.group.epoch, "rank": self.number, "state": "open"},
                "step": self.group.step, "map": self.version, "prepared": self.prepared and self.prepared[0],
                "armed": self.armed and {"version": self.armed[0], "step": self.armed[1]}, "held": self.held}

    def order(self, order):
        """Carries out an order; returns the status of its answer."""
        if order.get("fence", 0) < self.fence:
            return 412
        self.fence = max(self.fence, order.get("fence", 0))
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        operation = {"prepare": self.prepare, "arm": self.arm, "disarm": self.disarm, "hold": self.hold,
                     "go": self.go}.get(order["op"])
        if operation is None:
            return 400
        status = operation(order)
        self.seq += status == 202
        return status

    def prepare(self, order):
        version, experts = order["version"], [ranks[self.number] for ranks in order["map"]]
        if version <= self.highest_version or self.armed is not None:
            return 409
        for new, old in zip(experts, self.experts):
            if len(set(new) - set(old)) > self.group.spare or len(new) > self.group.places:
                return 409
        self.highest_version = version
        self.copying = asyncio.get_running_loop().create_task(self.copy(version, experts))
        return 202

    async def copy(self, version, experts):
        await asyncio.sleep(COPY_S)
        if version == self.highest_version:
            self.prepared, self.copying = (version, experts), None

    def arm(self, order):
        version, step = order["version"], order["step"]
        if self.armed is not None:
            return 200 if self.armed == (version, step) else 409
        if self.prepared is None or self.prepared[0] != version or step <= self.group.step:
            return 409
        self.armed = (version, step)
        return 202

    def disarm(self, order):
        if self.version == order["version"]:
            return 409
        if self.armed is not None and self.armed[0] == order["version"]:
            self.armed = None
            return 202
        return 200

    def hold(self, order):
        if order["step"] <= self.group.step or self.held not in (None, order["step"]):
            return 409
        status = 200 if self.held is not None else 202
        self.held = order["step"]
        return status

    def go(self, order):
        if self.held is None:
            return 200
        if self.held != order["step"]:
            return 409
        self.held = None
        return 202

    def begin_pass(self, step):
        if self.armed is not None and self.armed[1] == step:
            self.version, self.experts = self.prepared
            self.prepared = self.armed = None
        for number in range(self.group.sets):
            for _ in range(CHOICES_PER_PASS):
                expert = self.group.choose()
                self.counts[number * self.group.experts + expert] += 1


class Group:
    """The ranks of a group. A pass begins only when no rank holds it."""

    def __init__(self, size, sets, experts, places, spare, trouble, note, shift_s=3.2):
        self.size, self.sets, self.experts = size, sets, experts
        self.places, self.spare = places, spare
        self.trouble, self.note, self.shift_s = trouble, note, shift_s
        self.epoch, self.step = 1, 100
        self.random = random.Random(7)
        self.liked = [0]
        self.ranks = [Rank(self, number) for number in range(size)]
        self.changes = 0
        self.held_s = 0.0
        self.mixed = []

    def engine_document(self):
        return {"slots": 12, "kv_capacity": 280000, "kv_token_bytes": 35136, "link_mbps": 180000.0, "stride": 4,
                "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
                "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0,
                "usual": {"prompt": 835, "answer": 97}, "sets": self.sets, "experts": self.experts,
                "placements": self.places, "spare": self.spare, "expert_mb": 20.0, "expert_share": 0.85,
                "form_ms": 600.0}

    def choose(self):
        if self.random.random() < 0.7:
            return self.random.choice(self.liked)
        return self.random.randrange(self.experts)

    async def run(self):
        """Runs one pass after another; other experts are in demand after each `shift_s`."""
        next_shift = time.monotonic()
        while True:
            await asyncio.sleep(PASS_S)
            if time.monotonic() >= next_shift:
                next_shift += self.shift_s
                rank = self.random.randrange(self.size)
                self.liked = [e for e in range(self.experts) if e % self.size == rank]
            if any(rank.held == self.step + 1 for rank in self.ranks):
                self.held_s += PASS_S
                continue
            self.step += 1
            before = self.ranks[0].version
            for rank in self.ranks:
                rank.begin_pass(self.step)
            self.changes += self.ranks[0].version != before
            versions = [rank.version for rank in self.ranks]
            if len(set(versions)) > 1:
                if not self.mixed:
                    self.note(f"MAP broken: pass {self.step} begins with the versions {versions}")
                self.mixed.append((self.step, versions))


def short(request):
    if request.method != "POST":
        return ""
    order = json.loads(request.body)
    return str({key: value for key, value in order.items() if key not in ("map", "epoch")})
