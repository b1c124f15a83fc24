"""A small deployment: a store, entries and servers, with a record of what happens."""

import asyncio
import json
import os
import sys
import tempfile
import time
import traceback

from . import http1, process
from .store import Store

BEGIN_TIMEOUT_S = 15.0
# A case ends within 120 s, whatever happens in it.
CASE_TIMEOUT_S = 112.0
# Added to a result, so that run.sh can tell it from the exit codes of Python itself.
RESULT_BASE = 10


class Fleet:
    def __init__(self, record, folder):
        self.started = time.monotonic()
        self.record = record
        self.folder = folder
        self.network = process.free_network()
        self.store = Store()
        self.entries = []
        self.addresses = []
        self.agents = []

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")

    def now(self):
        return time.monotonic() - self.started

    async def start_store(self):
        await self.store.start(f"{self.network}.1")

    def add_entries(self, count):
        ips = [f"{self.network}.{100 + number}" for number in range(count)]
        seeds = [f"{ip}:8229" for ip in ips[:3]]
        for number, ip in enumerate(ips):
            entry = process.entry(f"front-{number}", ip, self.store.address, seeds, self.folder)
            self.entries.append(entry)
            self.addresses.append(f"{ip}:8227")
            entry.start()

    async def is_entry_ready(self, number):
        address = self.addresses[number].rsplit(":", 1)[0] + ":8220"
        try:
            status, _, _ = await http1.call(address, "GET", "/pomeloramp/ready", [("Host", address)], timeout_s=1.0)
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def resolve(self, number):
        """Returns the addresses that an entry's directory names, or None if it does not answer."""
        address = self.addresses[number].rsplit(":", 1)[0] + ":8224"
        target = "/pomeloramp/resolve?name=a.example&region=region-1&zone=zone-1"
        try:
            status, _, body = await http1.call(address, "GET", target, [("Host", address)], timeout_s=1.0)
        except (OSError, EOFError, asyncio.TimeoutError):
            return None
        return json.loads(body).get("addrs") if status == 200 else None

    async def wait_until_ready(self):
        async def all_ready():
            return all([await self.is_entry_ready(number) for number in range(len(self.entries))])

        return await process.wait_until(all_ready, BEGIN_TIMEOUT_S)

    def end(self):
        for started in self.entries + self.agents:
            started.kill()


def main(run, folder, outcomes):
    """Runs a case: `run` is a coroutine function of a fleet and of whether there is trouble."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def play(record, settings_folder):
        fleet = Fleet(record, settings_folder)
        try:
            await fleet.start_store()
            return await asyncio.wait_for(run(fleet, is_troubled), CASE_TIMEOUT_S)
        finally:
            fleet.end()

    with open(os.path.join(folder, "record.txt"), "w") as record, tempfile.TemporaryDirectory() as settings_folder:
        try:
            code = asyncio.run(play(record, settings_folder))
        except Exception:
            traceback.print_exc(file=record)
            code = 2
        record.write(f"exit {code}: {outcomes[code]}\n")
    sys.exit(RESULT_BASE + code)
