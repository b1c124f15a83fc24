"""Stand-ins for the cases of the second review: the platform's store, a small deployment of the project's
own programs on loopback addresses, HTTP servers and clients. Python's standard library only.

Every address is a loopback address. All processes that are started here are killed when a case ends.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "release" / "pomelorampd"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case may take 120 s.
LONGEST_S = 110
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
    "strict_revoke": False, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 90,
    "recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "stall_ms": 1500, "fence_required": True, "ttl_max_s": 5,
}
FRONT, READY, CONTROL, DIRECTORY, SERVER, STORE = 8227, 8220, 8229, 8224, 8228, 8223
INNER_PORTS = [7340, 7355]


class CaseFailed(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


def loopback_net():
    """Returns the first three parts of a loopback net whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, SERVER, STORE):
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port))
            return net
        except OSError:
            continue
    raise CaseFailed("no free loopback addresses")


class Daemon:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, role, settings, folder):
        self.role = role
        self.node = settings["node"]
        self.settings = settings
        self.path = pathlib.Path(folder) / f"{self.node}.json"
        self.log_path = pathlib.Path(folder) / f"{self.node}.log"
        self.process = None

    def write_settings(self):
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.settings))
        fresh.replace(self.path)

    def start(self):
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["POMELORAMP_CONFIG"] = str(self.path)
        if "RUST_LOG" in os.environ:
            environment["RUST_LOG"] = os.environ["RUST_LOG"]
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [str(PROGRAM), "--platform", self.role], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def log_with(self, text):
        if not self.log_path.exists():
            return []
        return [line for line in self.log_path.read_text(errors="replace").splitlines() if text in line]


class Fleet:
    """The store, entries and agents of one case."""

    def __init__(self, case_folder):
        if not PROGRAM.exists():
            raise CaseFailed(f"{PROGRAM.relative_to(ROOT)} is not built")
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = loopback_net()
        self.daemons = []
        self.store = Store(self.record)

    def ip(self, host):
        return f"{self.net}.{host}"

    async def start_store(self, host=250):
        return await self.store.listen(self.ip(host), STORE)

    def entry(self, host, seeds):
        ip = self.ip(host)
        daemon = Daemon("entry", self.settings(host, "front", {
            "serves": ["front", "control", "directory"],
            "listen": {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}",
                       "directory": f"{ip}:{DIRECTORY}"},
        }, seeds), self.folder)
        daemon.ip = ip
        self.daemons.append(daemon)
        return daemon

    def agent(self, host, service, seeds):
        settings = self.settings(host, "side", {
            "serves": ["side"], "listen": {}, "app": f"{self.ip(host)}:{SERVER}", "service": service}, seeds)
        daemon = Daemon("endpoint", settings, self.folder)
        daemon.ip = self.ip(host)
        self.daemons.append(daemon)
        return daemon

    def settings(self, host, machine_class, own, seeds):
        memory = 260 if machine_class == "front" else 128
        return {
            "node": f"{machine_class}-{host}", "role": machine_class, "machine_class": machine_class,
            "ip": self.ip(host), "zone": "zone-1", "region": "r", "zones": {"zone-1": "r"},
            "internal_port_range": INNER_PORTS, "seeds": [f"{self.ip(seed)}:{CONTROL}" for seed in seeds],
            "bootstrap": True, "counts_as_loss": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": memory, "max_fds": 4200, "link_mbps": 1000.0},
            "data_dir": None, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "platform", "experts"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": dict(BOUNDS),
            "platform": {"address": self.store.address, "form": "read", "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
            **own,
        }

    async def wait_until_ready(self, entries, timeout=20):
        end = time.monotonic() + timeout
        for entry in entries:
            while True:
                answer = await call(entry.ip, READY, "GET", "/pomeloramp/ready", {}, timeout=1)
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CaseFailed(f"{entry.node} is not ready")
                await asyncio.sleep(0.05)

    def close(self):
        for daemon in self.daemons:
            daemon.kill()
        self.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, main):
    """Runs `main(fleet)`, which returns whether the rule was broken, and exits."""
    fleet, code = None, NOT_RUN
    try:
        fleet = Fleet(case_folder)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        loop = asyncio.new_event_loop()
        is_broken = loop.run_until_complete(asyncio.wait_for(main(fleet), LONGEST_S))
        code = BROKEN if is_broken else HELD
    except CaseFailed as error:
        print(f"the case could not run: {error}")
        code = NOT_RUN
    except Exception:  # Whatever else goes wrong here says nothing about the rule.
        traceback.print_exc()
        print("the case could not run")
        code = NOT_RUN
    finally:
        if fleet:
            fleet.close()
    # The stand-ins' connections are still open; nothing of them is waited for.
    sys.stdout.flush()
    os._exit(code)


# HTTP/1.1, as much of it as the stand-ins need.


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        pairs = (pair.partition("=") for pair in query.split("&") if pair)
        self.query = {name: value for name, _, value in pairs}


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


async def read_request(reader):
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ")
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def answer_bytes(status, body=b"", headers=()):
    reasons = {200: "OK", 202: "Accepted", 409: "Conflict", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_answer(status, value, headers=()):
    body = json.dumps(value).encode()
    return answer_bytes(status, body, [("Content-Type", "application/json"), *headers])


class Answer:
    """What a client has seen. `status` is zero if there was no answer."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_whole = 0, {}, b"", False


async def call(ip, port, method, target, headers, body=b"", timeout=10.0):
    """Sends one request over a connection of its own and reads the answer."""
    answer = Answer()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                answer.body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        elif "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        else:
            answer.body = await reader.read()
        answer.is_whole = True

    try:
        await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return answer


class Store:
    """The platform's store: linearizable reads, watches, and no lost writes."""

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.revision = {}, [], 1
        self.address = None
        self.listeners = []
        self.changed = None

    async def listen(self, ip, port):
        if self.changed is None:
            self.changed = asyncio.Condition()
        listener = Listener(ip, port, self.serve)
        await listener.start()
        self.listeners.append(listener)
        self.address = f"{ip}:{port}"
        return listener

    async def put(self, key, value):
        self.revision += 1
        text = value if isinstance(value, str) else json.dumps(value)
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(text.encode()).decode(), "revision": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        await self.publish(item)
        self.record.line(f"store acknowledges revision {self.revision}: {key} written")

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        await self.publish({"key": key, "revision": self.revision, "removed": True})
        self.record.line(f"store acknowledges revision {self.revision}: {key} removed")

    async def publish(self, event):
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            await asyncio.sleep(0.004)
            writer.write(json_answer(*await self.answer(request), [("Store-Era", "1")]))
            await writer.drain()

    async def answer(self, request):
        query = request.query
        prefix = query.get("prefix", "")
        if request.path == "/pomeloramp/kv-key":
            item = self.items.get(query.get("key"))
            return (200, {**item, "current_rev": self.revision}) if item else (404, {"current_rev": self.revision})
        if request.path == "/pomeloramp/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > query.get("after", ""))
            entries = [self.items[key] for key in keys[:500]]
            return 200, {"entries": entries, "more_pages": len(keys) > 500, "current_rev": self.revision}
        if request.path == "/pomeloramp/kv-watch":
            return 200, await self.watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        return 404, {}

    async def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s

        def events():
            return [event for event in self.history if event["revision"] > after and event["key"].startswith(prefix)]

        while not events() and time.monotonic() < end:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                break
        return {"events": events(), "current_rev": self.revision}


class Listener:
    """A TCP listener that can be closed with all its connections, and opened again."""

    def __init__(self, ip, port, serve):
        self.ip, self.port, self.serve = ip, port, serve
        self.server, self.tasks = None, {}

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.ip, self.port)

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks[task] = writer
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.pop(task, None)
            try:
                writer.close()
            except OSError:
                pass

    def stop(self):
        """Ends as a process that ends: the kernel closes its sockets."""
        self.server.close()
        for task, writer in list(self.tasks.items()):
            if writer.transport:
                writer.transport.close()
            task.cancel()
